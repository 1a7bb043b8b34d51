package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const log = `  3.1 node-b {"time":"2026-12-04T10:00:01.300Z","level":"INFO","msg":"decision","node":"b","subject":"aa.0.0","decision":"started","run":2,"worker":"w2"}
{"time":"2026-12-04T10:00:01.000Z","level":"INFO","msg":"decision","node":"a","zone":"z","subject":"aa","decision":"accepted","queue":"q"}
{"time":"2026-12-04T10:00:01.100Z","level":"INFO","msg":"decision","node":"b","subject":"aa.0.0","decision":"start rejected","run":1,"worker":"w1"}
{"time":"2026-12-04T10:00:02.000Z","level":"INFO","msg":"decision","node":"b","subject":"aa","decision":"ended","phase":"completed","reason":""}
{"time":"2026-12-04T10:00:02.000Z","level":"INFO","msg":"decision","node":"b","subject":"aab","decision":"accepted"}
{"time":"2026-12-04T10:00:03.000Z","msg":"decision","node":"a","subject":"cc","decision":"refused","reason":"the store doesn't answer this node"}
{"time":"2026-12-04T10
plain text
`

// Guards against lines about other subjects, a wrong order of the lines, and a conclusion that contradicts them.
func TestRead(t *testing.T) {
	for _, c := range []struct {
		subject, conclusion string
		lines               int
	}{
		{"aa", "accepted, first start after 300ms, completed after 1s; on the way: start rejected 1", 4},
		{"cc", "refused by a: the store doesn't answer this node", 1},
		{"aab", "accepted and not ended in these logs", 1},
		{"w1", "last decision, on b: start rejected", 1},
		{"none", "no line is about none: it reached none of these nodes", 0},
	} {
		t.Run(c.subject, func(t *testing.T) {
			r, err := Read(c.subject, strings.NewReader(log))
			assert.NilError(t, err)
			assert.Equal(t, r.Conclusion, c.conclusion)
			assert.Equal(t, len(r.Lines), c.lines)
			assert.Equal(t, r.Unreadable, 1)
			var text strings.Builder
			assert.NilError(t, r.WriteText(&text))
			assert.Assert(t, strings.Contains(text.String(), c.conclusion))
		})
	}
}
