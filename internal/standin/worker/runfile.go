package worker

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
)

// WriteFile writes all runs to a file, one JSON object per line, so that runs of several processes can be checked
// together.
func (l *RunLog) WriteFile(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create run log")
	}
	out := bufio.NewWriter(f)
	encoder := json.NewEncoder(out)
	for _, r := range l.Runs() {
		if err := encoder.Encode(r); err != nil {
			_ = f.Close()
			return errors.Wrap(err, "write run log")
		}
	}
	if err := out.Flush(); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "write run log")
	}
	return errors.Wrap(f.Close(), "close run log")
}

// ReadRuns reads a file that WriteFile wrote.
func ReadRuns(path string) ([]Run, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open run log")
	}
	defer func() { _ = f.Close() }()
	var runs []Run
	for d := json.NewDecoder(bufio.NewReader(f)); ; {
		var r Run
		switch err := d.Decode(&r); {
		case errors.Is(err, io.EOF):
			return runs, nil
		case err != nil:
			return nil, errors.Wrapf(err, "read run log %s", path)
		}
		runs = append(runs, r)
	}
}
