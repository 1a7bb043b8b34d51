package proof

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/standin/runcheck"
	"sequoiastall/internal/standin/workerproc"
)

// A report covers the time from reportLead before its moment to reportLag after it.
const (
	reportLead = 10 * time.Second
	reportLag  = time.Second
)

// maxReportLines bounds the lines of a report.
const maxReportLines = 400

// logLine is a line of a node's log.
type logLine struct {
	time time.Time
	text string
}

// reportViolation reports the job of a violation, and the workers that it names.
func (c *soakCell) reportViolation(v runcheck.Violation, at time.Time) {
	if v.Job != "" {
		c.report(v.Job, at)
	}
	for _, w := range c.workers {
		if strings.Contains(v.Text, " "+w.ID+" ") || strings.HasSuffix(v.Text, " "+w.ID) {
			c.report(fmt.Sprintf("%q", w.ID), at)
		}
	}
}

// report adds what all nodes and workers have said about a subject in the time before a moment and shortly after it, and
// the faults that were active, to the test's log, in order of time.
func (c *soakCell) report(subject string, at time.Time) {
	c.reportSince(subject, at.Add(-reportLead), at.Add(reportLag))
}

func (c *soakCell) reportSince(subject string, from, to time.Time) {
	lines := append(c.logLines(subject), c.eventLines(subject)...)
	lines = slices.DeleteFunc(lines, func(l logLine) bool { return l.time.Before(from) || l.time.After(to) })
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	for _, line := range lines[max(0, len(lines)-maxReportLines):] {
		c.t.Log(line.text)
	}
	for _, fault := range c.faults.between(from, to) {
		c.t.Log(fault)
	}
}

// eventLines returns the workers' events that name a subject.
func (c *soakCell) eventLines(subject string) []logLine {
	c.eventsMu.Lock()
	defer c.eventsMu.Unlock()
	var lines []logLine
	now, wall := workerproc.Now(), time.Now()
	for _, e := range c.events {
		text, err := json.Marshal(e)
		if err == nil && strings.Contains(string(text), subject) {
			at := wall.Add(e.At - now)
			lines = append(lines, logLine{at, fmt.Sprintf("%s %s", at.UTC().Format(time.RFC3339Nano), text)})
		}
	}
	return lines
}

// logLines returns the lines of the nodes' logs that contain a subject.
func (c *soakCell) logLines(subject string) []logLine {
	var lines []logLine
	for _, n := range c.nodes {
		for _, text := range n.process.matchingLines(c.t, subject) {
			var fields struct{ Time time.Time }
			if json.Unmarshal([]byte(text), &fields) == nil {
				lines = append(lines, logLine{fields.Time, text})
			}
		}
	}
	return lines
}

// keepLogs copies the nodes' logs and the list of faults of a failed seed to the directory that the flag names.
func (c *soakCell) keepLogs(seed uint64) {
	if *soakLogs == "" || !c.t.Failed() {
		return
	}
	dir := filepath.Join(*soakLogs, fmt.Sprint("seed-", seed))
	assert.NilError(c.t, os.MkdirAll(dir, 0o700))
	faults := c.faults.between(time.Time{}, time.Now())
	assert.NilError(c.t, os.WriteFile(filepath.Join(dir, "faults.txt"), []byte(strings.Join(faults, "\n")), 0o600))
	var events strings.Builder
	for _, line := range c.eventLines("") {
		events.WriteString(line.text + "\n")
	}
	assert.NilError(c.t, os.WriteFile(filepath.Join(dir, "events.txt"), []byte(events.String()), 0o600))
	for _, n := range c.nodes {
		data, err := os.ReadFile(n.process.outputPath)
		assert.NilError(c.t, err)
		assert.NilError(c.t, os.WriteFile(filepath.Join(dir, filepath.Base(n.process.outputPath)), data, 0o600))
	}
}
