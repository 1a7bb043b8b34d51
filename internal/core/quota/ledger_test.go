package quota

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/resource"
)

// TestLedgerReserve guards against reservations above a team's allowance, and against denying a team a resource that it
// hasn't exhausted.
func TestLedgerReserve(t *testing.T) {
	for _, test := range []struct {
		name               string
		allowance, restore resource.Vector
		wanted             resource.Vector
		ok                 bool
	}{
		{"within", vec(4, 4, 4), vec(2, 2, 2), vec(2, 2, 2), true},
		{"one resource above", vec(4, 4, 4), vec(2, 2, 2), vec(2, 3, 2), false},
		{"without an allowance", resource.Vector{}, resource.Vector{}, vec(1, 0, 0), false},
		{"unlimited", Unlimited, vec(1000, 0, 0), vec(1e9, 1e9, 1e9), true},
		{"negative", vec(4, 4, 4), resource.Vector{}, vec(-1, 0, 0), false},
		{"above a lowered allowance", vec(1, 4, 4), vec(2, 0, 0), vec(1, 1, 0), false},
		{"another resource above a lowered allowance", vec(1, 4, 4), vec(2, 0, 0), vec(0, 1, 0), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewLedger()
			l.SetAllowance("a", test.allowance)
			l.Restore("a", test.restore)
			err := l.Reserve("a", test.wanted)
			if test.ok {
				assert.NilError(t, err)
				assert.Equal(t, l.Used("a"), test.restore.Add(test.wanted))
				return
			}
			var limit *LimitError
			assert.Assert(t, errors.As(err, &limit))
			assert.DeepEqual(t, *limit, LimitError{"a", test.wanted, test.allowance, test.restore})
			assert.Equal(t, l.Used("a"), test.restore)
		})
	}
}

// TestLedgerLowered guards against an excess that isn't reported after the allowance was lowered, and against a negative
// slack.
func TestLedgerLowered(t *testing.T) {
	l := NewLedger()
	l.SetAllowance("a", vec(4, 4, 4))
	assert.NilError(t, l.Reserve("a", vec(4, 2, 0)))
	l.SetAllowance("a", vec(3, 4, 4))
	l.SetAllowance("b", vec(1, 1, 1))
	assert.DeepEqual(t, l.Excess(), map[string]resource.Vector{"a": vec(1, 0, 0)})
	assert.Equal(t, l.Slack("a"), vec(0, 2, 4))
	l.Release("a", vec(1, 0, 0))
	assert.Equal(t, len(l.Excess()), 0)
	l.Release("a", vec(9, 0, 0))
	assert.Equal(t, l.Used("a"), vec(0, 2, 0))
	assert.Equal(t, l.OverReleased(), 1)
}
