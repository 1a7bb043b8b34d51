// Package explain finds the lines of one job, task, worker or configuration in the logs of any number of nodes, and says
// how it ended.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is a log line about the subject.
type Line struct {
	Time    time.Time      `json:"time"`
	Node    string         `json:"node"`
	Message string         `json:"message"`
	Subject string         `json:"subject"`
	Fields  map[string]any `json:"fields"` // what is left of the line
}

// Report is what the logs tell of a subject.
type Report struct {
	Subject    string `json:"subject"`
	Conclusion string `json:"conclusion"`
	Lines      []Line `json:"lines"`
	Unreadable int    `json:"unreadable"` // lines that aren't records of a log
}

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// Read collects the lines about a subject from logs, ordered by time. Text before a line's record, such as the name of a
// process, is passed over.
func Read(subject string, logs ...io.Reader) (Report, error) {
	r := Report{Subject: subject}
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			r.add(scanner.Bytes())
		}
		if err := scanner.Err(); err != nil {
			return r, errors.Wrap(err, "read log")
		}
	}
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	r.Conclusion = r.conclude()
	return r, nil
}

func (r *Report) add(text []byte) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(text[begin:], &fields); err != nil {
		r.Unreadable++
		return
	}
	if !about(r.Subject, fields) {
		return
	}
	l := Line{Node: take(fields, "node"), Subject: take(fields, "subject"), Message: take(fields, "msg")}
	l.Time, _ = time.Parse(time.RFC3339Nano, take(fields, "time"))
	if d := take(fields, "decision"); d != "" {
		l.Message = d
	}
	delete(fields, "level")
	delete(fields, "zone")
	l.Fields = fields
	r.Lines = append(r.Lines, l)
}

// about reports whether a line is about the subject: the subject itself, a step or task of it, or a decision on its worker.
func about(subject string, fields map[string]any) bool {
	of, _ := fields["subject"].(string)
	worker, _ := fields["worker"].(string)
	return of == subject || strings.HasPrefix(of, subject+".") || worker == subject
}

func take(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	delete(fields, name)
	return value
}

// conclude says in a sentence how the subject ended.
func (r *Report) conclude() string {
	if len(r.Lines) == 0 {
		return "no line is about " + r.Subject + ": it reached none of these nodes"
	}
	counts := map[string]int{}
	accepted, ended := -1, -1
	for i, l := range r.Lines {
		counts[l.Message]++
		switch {
		case l.Message == "accepted" && accepted < 0:
			accepted = i
		case l.Message == "ended":
			ended = i
		}
	}
	switch {
	case ended >= 0 && accepted >= 0:
		first := r.first("started")
		text := fmt.Sprintf("accepted, first start after %s, %v after %s", r.after(accepted, first), r.Lines[ended].Fields["phase"],
			r.after(accepted, ended))
		if reason, _ := r.Lines[ended].Fields["reason"].(string); reason != "" {
			text += ": " + reason
		}
		return text + r.detours(counts)
	case accepted >= 0:
		return "accepted and not ended in these logs" + r.detours(counts)
	case counts["refused"] > 0:
		refused := r.Lines[r.first("refused")]
		return fmt.Sprintf("refused by %s: %v", refused.Node, refused.Fields["reason"])
	}
	last := r.Lines[len(r.Lines)-1]
	return fmt.Sprintf("last decision, on %s: %s", last.Node, last.Message)
}

// detours counts what made a job late.
func (r *Report) detours(counts map[string]int) string {
	var found []string
	for _, d := range []string{"run lost", "stands still", "intent taken back", "start rejected", "stopped", "advice failed"} {
		if counts[d] > 0 {
			found = append(found, fmt.Sprintf("%s %d", d, counts[d]))
		}
	}
	if len(found) == 0 {
		return ""
	}
	return "; on the way: " + strings.Join(found, ", ")
}

func (r *Report) first(message string) int {
	return slices.IndexFunc(r.Lines, func(l Line) bool { return l.Message == message })
}

// after returns the time between two lines, by their nodes' clocks.
func (r *Report) after(from, to int) string {
	if from < 0 || to < 0 {
		return "never"
	}
	return r.Lines[to].Time.Sub(r.Lines[from].Time).Round(time.Millisecond).String()
}

// WriteText writes the conclusion and the timeline.
func (r Report) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s: %s\n", r.Subject, r.Conclusion); err != nil {
		return err
	}
	for _, l := range r.Lines {
		fields, err := json.Marshal(l.Fields)
		if err != nil {
			return errors.Wrap(err, "encode fields")
		}
		if _, err := fmt.Fprintf(w, "%s  %-20s %-24s %-22s %s\n", l.Time.Format("15:04:05.000"), l.Node, l.Subject, l.Message, fields); err != nil {
			return err
		}
	}
	if r.Unreadable > 0 {
		if _, err := fmt.Fprintf(w, "%d lines can't be read\n", r.Unreadable); err != nil {
			return err
		}
	}
	return nil
}
