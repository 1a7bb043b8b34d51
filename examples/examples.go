// Package examples contains the sample sets of objects, one directory per deployment. They are embedded in the binary.
package examples

import (
	"embed"
	"path"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/object"
)

// ErrUnknown is the error for a name that no sample set has.
var ErrUnknown = errors.New("no such sample set")

//go:embed gatecare/*.jsonc frio-retorno/*.jsonc
var sets embed.FS

// Names returns the names of the sample sets.
func Names() []string { return []string{"gatecare", "frio-retorno"} }

// Files returns the files of a sample set. It fails with ErrUnknown if there is no set with that name.
func Files(name string) ([]object.File, error) {
	entries, err := sets.ReadDir(name)
	if err != nil || name == "." {
		return nil, errors.Wrapf(ErrUnknown, "%q", name)
	}
	var files []object.File
	for _, e := range entries {
		data, err := sets.ReadFile(path.Join(name, e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "read sample set")
		}
		files = append(files, object.File{Name: path.Join("examples", name, e.Name()), Data: data})
	}
	return files, nil
}
