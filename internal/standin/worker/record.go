package worker

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/job"
)

// logEntry is one line of a streamed run log. Exactly one field is set.
type logEntry struct {
	Start   *Run   `json:"start,omitempty"`
	End     *Run   `json:"end,omitempty"`
	Request string `json:"request,omitempty"` // X-Request-Id
}

// StreamTo writes each further start, end and request to w immediately, one JSON line each, so that they
// survive a kill of the process. It must be called before the log is in use.
func (l *RunLog) StreamTo(w io.Writer) { l.stream = json.NewEncoder(w) }

// write adds a line to the stream. The caller holds l.mu.
func (l *RunLog) write(e logEntry) {
	if l.stream == nil {
		return
	}
	if err := l.stream.Encode(e); err != nil {
		panic(errors.Wrap(err, "write run log")) // a log with gaps would hide violations
	}
}

// LoadStream adds the stream of another process. Runs without an end are still running, unless that process was killed;
// killed is the time of that kill, and zero otherwise.
func (l *RunLog) LoadStream(r io.Reader, killed time.Time) error {
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
		var e logEntry
		err := d.Decode(&e)
		switch {
		case errors.Is(err, io.EOF):
			for _, i := range open {
				l.runs[i].End = killed
			}
			return nil
		case err != nil:
			return errors.Wrap(err, "read run log")
		case e.Start != nil:
			open[keyOf(e.Start)] = len(l.runs)
			l.runs = append(l.runs, *e.Start)
		case e.End != nil:
			i, found := open[keyOf(e.End)]
			if !found {
				return errors.Errorf("read run log: end of %s without a start", e.End)
			}
			delete(open, keyOf(e.End))
			l.runs[i] = *e.End
		case e.Request != "":
			l.requests[e.Request]++
		}
	}
}
