// Package explain finds the log lines about one job, task, worker or node in the logs of any number of nodes, and summarizes
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
	Fields  map[string]any `json:"fields"` // the other fields of the line
}

// Report is what the logs record about a subject.
type Report struct {
	Subject    string `json:"subject"`
	Conclusion string `json:"conclusion"`
	Lines      []Line `json:"lines"`
	Unreadable int    `json:"unreadable"` // lines that contain a { but no valid JSON record
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Read collects the lines about a subject from logs and orders them by time. Text in front of a line's JSON record, such as
// the name of a process, is ignored, and so are lines without a record.
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

// add parses a log line and adds it to the report if it concerns the subject. A decision's name becomes its message.
func (r *Report) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		r.Unreadable++
		return
	}
	if !concerns(r.Subject, fields) {
		return
	}
	l := Line{Node: popString(fields, "node"), Subject: popString(fields, "subject"), Message: popString(fields, "msg")}
	l.Time, _ = time.Parse(time.RFC3339Nano, popString(fields, "time"))
	if decision := popString(fields, "decision"); decision != "" {
		l.Message = decision
	}
	delete(fields, "level")
	delete(fields, "zone")
	l.Fields = fields
	r.Lines = append(r.Lines, l)
}

// concerns reports whether a line is about the subject itself, a step or task of it, or a decision for which the subject is
// the worker.
func concerns(subject string, fields map[string]any) bool {
	lineSubject, _ := fields["subject"].(string)
	worker, _ := fields["worker"].(string)
	return lineSubject == subject || strings.HasPrefix(lineSubject, subject+".") || worker == subject
}

// popString removes a field and returns its value, or an empty string if it isn't a string.
func popString(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	delete(fields, name)
	return value
}

// conclude returns a sentence that summarizes how the subject ended.
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
		firstStart := r.firstIndex("started")
		text := fmt.Sprintf("accepted, first start after %s, %v after %s", r.elapsed(accepted, firstStart), r.Lines[ended].Fields["phase"],
			r.elapsed(accepted, ended))
		if reason, _ := r.Lines[ended].Fields["reason"].(string); reason != "" {
			text += ": " + reason
		}
		return text + r.delays(counts)
	case accepted >= 0:
		return "accepted and not ended in these logs" + r.delays(counts)
	case counts["refused"] > 0:
		refused := r.Lines[r.firstIndex("refused")]
		return fmt.Sprintf("refused by %s: %v", refused.Node, refused.Fields["reason"])
	}
	last := r.Lines[len(r.Lines)-1]
	return fmt.Sprintf("last decision, on %s: %s", last.Node, last.Message)
}

// delays counts the decisions and failures that may have delayed a job.
func (r *Report) delays(counts map[string]int) string {
	var parts []string
	for _, cause := range []string{"run lost", "stands still", "intent taken back", "start rejected", "stopped", "advice failed"} {
		if counts[cause] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", cause, counts[cause]))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "; on the way: " + strings.Join(parts, ", ")
}

// firstIndex returns the index of the first line with a message, -1 if there is none.
func (r *Report) firstIndex(message string) int {
	return slices.IndexFunc(r.Lines, func(l Line) bool { return l.Message == message })
}

// elapsed formats the time between two lines, according to the clocks of their nodes. An index of -1 gives "never".
func (r *Report) elapsed(from, to int) string {
	if from < 0 || to < 0 {
		return "never"
	}
	return r.Lines[to].Time.Sub(r.Lines[from].Time).Round(time.Millisecond).String()
}

// WriteText writes the conclusion, the timeline and the number of unreadable lines.
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
