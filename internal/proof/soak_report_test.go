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
)

// faultLead is how long before the first and after the last line of a report faults are listed.
const faultLead = 10 * time.Second

// maxReportLines bounds the lines of a report.
const maxReportLines = 400

// logLine is a line of a node's log.
type logLine struct {
	time time.Time
	text string
}

// report adds the lines of all nodes' logs that contain the subject, and the faults that were active around them, to the
// test's log, in order of time.
func (c *soakCell) report(subject string) {
	lines := c.matchingLines(subject)
	if len(lines) == 0 {
		c.t.Logf("no line contains %s", subject)
		return
	}
	for _, line := range lines[:min(len(lines), maxReportLines)] {
		c.t.Log(line.text)
	}
	for _, fault := range c.faults.between(lines[0].time.Add(-faultLead), lines[len(lines)-1].time) {
		c.t.Log(fault)
	}
}

func (c *soakCell) matchingLines(subject string) []logLine {
	var lines []logLine
	for _, n := range c.nodes {
		for _, text := range n.process.matchingLines(c.t, subject) {
			var fields struct{ Time time.Time }
			if json.Unmarshal([]byte(text), &fields) == nil {
				lines = append(lines, logLine{fields.Time, text})
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
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
	for _, n := range c.nodes {
		data, err := os.ReadFile(n.process.outputPath)
		assert.NilError(c.t, err)
		assert.NilError(c.t, os.WriteFile(filepath.Join(dir, filepath.Base(n.process.outputPath)), data, 0o600))
	}
}
