package knownred

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestParse guards against malformed entries that are ignored instead of rejected, so that a test could be skipped without
// a stated reason.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		text    string
		entries int
		fails   bool
	}{
		{"", 0, false},
		{"# comment\n\nTestA/b | go test -run TestA | 3 instead of 2 | issue 1\n", 1, false},
		{"TestA\n", 0, true},
		{"TestA | go test | seen\n", 0, true},
	} {
		entries, err := parse(test.text)
		assert.Equal(t, err != nil, test.fails, test.text)
		assert.Equal(t, len(entries), test.entries, test.text)
	}
}

// TestCheckRunsUnlistedTests guards against skipping tests whose full names aren't listed.
func TestCheckRunsUnlistedTests(t *testing.T) {
	Check(t)
	ran := false
	t.Run("unlisted", func(t *testing.T) {
		Check(t)
		ran = true
	})
	assert.Assert(t, ran)
}
