package worker

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
)

// entry is one line of a recorded run log. Exactly one field is set.
type entry struct {
	Start   *Run   `json:"start,omitempty"`
	End     *Run   `json:"end,omitempty"`
	Request string `json:"request,omitempty"` // X-Request-Id
}

// RecordTo writes each further start, end and request to w at once, one JSON line each, so that the record outlives a
// killed process. It must be called before the log is in use.
func (l *RunLog) RecordTo(w io.Writer) { l.record = json.NewEncoder(w) }

// write adds a line to the record. The caller holds l.mu.
func (l *RunLog) write(e entry) {
	if l.record == nil {
		return
	}
	if err := l.record.Encode(e); err != nil {
		panic(errors.Wrap(err, "run log")) // a log with gaps would hide violations
	}
}

// Load adds what another process has recorded. Runs without an end are still running, unless that process was killed at
// the given time, which is zero otherwise.
func (l *RunLog) Load(r io.Reader, killed time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	type key struct {
		task    job.TaskID
		attempt int32
		worker  string
		start   int64
	}
	open := map[key]int{}
	keyOf := func(r *Run) key { return key{r.Task, r.Attempt, r.Worker, r.Start.UnixNano()} }
	for d := json.NewDecoder(r); ; {
		var e entry
		err := d.Decode(&e)
		switch {
		case errors.Is(err, io.EOF):
			for _, i := range open {
				l.runs[i].End = killed
			}
			return nil
		case err != nil:
			return errors.Wrap(err, "run log")
		case e.Start != nil:
			open[keyOf(e.Start)] = len(l.runs)
			l.runs = append(l.runs, *e.Start)
		case e.End != nil:
			i, found := open[keyOf(e.End)]
			if !found {
				return errors.Errorf("run log: %s ended without a start", e.End)
			}
			delete(open, keyOf(e.End))
			l.runs[i] = *e.End
		case e.Request != "":
			l.requests[e.Request]++
		}
	}
}
