package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/core/object"
)

func newValidate() *cobra.Command {
	return &cobra.Command{
		Use:   "validate DIR",
		Short: "Check the objects in a directory",
		Long: "Reads every .json and .jsonc file in a directory and reports all problems of the set with their file, line and object.\n" +
			"A set without problems can be published.\n\n" + exitHelp,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := loadSet(cmd, args[0])
			if err != nil {
				return err
			}
			if wantsJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), validation{Valid: true, Objects: len(set.Entries()), Problems: []object.Problem{}})
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d objects, no problems\n", len(set.Entries()))
			return err
		},
	}
}

// validation is the JSON output of validate, and of other commands that stop because a set has problems.
type validation struct {
	Valid    bool             `json:"valid"`
	Objects  int              `json:"objects"`
	Problems []object.Problem `json:"problems"`
}

// loadSet reads and validates the objects in a directory. Problems are printed to stderr, one per line.
func loadSet(cmd *cobra.Command, dir string) (object.Set, error) {
	files, err := readFiles(dir)
	if err != nil {
		return object.Set{}, err
	}
	return validateFiles(cmd, dir, files)
}

// validateFiles validates files that were read from a directory. Problems are printed to stderr, one per line.
func validateFiles(cmd *cobra.Command, dir string, files []object.File) (object.Set, error) {
	set, problems := object.Validate(files)
	if len(problems) == 0 {
		return set, nil
	}
	for _, p := range problems {
		fmt.Fprintln(cmd.ErrOrStderr(), p.Error())
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "%d problems in %s\n", len(problems), dir)
	if wantsJSON(cmd) {
		if err := printJSON(cmd.OutOrStdout(), validation{Objects: len(set.Entries()), Problems: problems}); err != nil {
			return object.Set{}, err
		}
	}
	return object.Set{}, &ExitError{Code: ExitInvalid, Err: errReported}
}

// readFiles reads the object files of a directory in the order of their names. It skips hidden files and
// subdirectories.
func readFiles(dir string) ([]object.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read objects")
	}
	var files []object.File
	for _, e := range entries {
		extension := filepath.Ext(e.Name())
		if e.IsDir() || strings.HasPrefix(e.Name(), ".") || extension != ".json" && extension != ".jsonc" {
			continue
		}
		path := filepath.Join(dir, e.Name())
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read objects")
		}
		files = append(files, object.File{Name: path, Data: data})
	}
	if len(files) == 0 {
		return nil, exitErrorf(ExitInvalid, "%s has no .json or .jsonc files", dir)
	}
	return files, nil
}
