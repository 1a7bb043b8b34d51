package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiastall/internal/core/resource"
)

// TestInitial guards against a division that depends on the order of partitions or loses the remainder.
func TestInitial(t *testing.T) {
	r := Initial("a", vec(10, 2, 9), []string{"z2", "z1", "z3", "z1"})
	assert.NilError(t, r.Check())
	assert.DeepEqual(t, r.Parts, map[string]resource.Vector{"z1": vec(4, 1, 3), "z2": vec(3, 1, 3), "z3": vec(3, 0, 3)})
	data, err := json.Marshal(r)
	assert.NilError(t, err)
	var decoded Record
	assert.NilError(t, json.Unmarshal(data, &decoded))
	assert.DeepEqual(t, r, decoded)
}

// TestMove guards against a move that increases the total allowance or is only partly applied.
func TestMove(t *testing.T) {
	for _, test := range []struct {
		name, from, to string
		amount         resource.Vector
		want           string
	}{
		{"all of a part", "z1", "z2", vec(5, 5, 5), ""},
		{"to a new partition", "z1", "z9", vec(1, 0, 0), ""},
		{"more than the part", "z1", "z2", vec(6, 0, 0), "has less"},
		{"from an unknown partition", "z9", "z2", vec(1, 0, 0), "has less"},
		{"negative", "z1", "z2", vec(-1, 1, 0), "negative"},
		{"empty", "z1", "z2", resource.Vector{}, "empty"},
		{"to itself", "z1", "z1", vec(1, 0, 0), "same"},
		{"to nowhere", "z1", "", vec(1, 0, 0), "no receiving partition"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := Initial("a", vec(10, 10, 10), []string{"z1", "z2"})
			moved, err := r.Move(test.from, test.to, test.amount)
			assert.DeepEqual(t, r, Initial("a", vec(10, 10, 10), []string{"z1", "z2"}))
			if test.want != "" {
				var move *MoveError
				assert.Assert(t, errors.As(err, &move))
				assert.ErrorContains(t, err, test.want)
				return
			}
			assert.NilError(t, err)
			assert.NilError(t, moved.Check())
			assert.Equal(t, moved.sum(), vec(10, 10, 10))
		})
	}
}

// TestEffective guards against an overflow when an allowance is scaled, and against a limit on an unlimited team.
func TestEffective(t *testing.T) {
	for _, test := range []struct {
		name   string
		record Record
		limit  resource.Vector
		want   resource.Vector
	}{
		{"same limit", Initial("a", vec(10, 10, 10), []string{"p", "q"}), vec(10, 10, 10), vec(5, 5, 5)},
		{"lower", Initial("a", vec(10, 10, 10), []string{"p", "q"}), vec(5, 0, 10), vec(2, 0, 5)},
		{"higher", Initial("a", vec(10, 10, 10), []string{"p", "q"}), vec(20, 20, 20), vec(5, 5, 5)},
		{"limit removed", Initial("a", vec(10, 10, 10), []string{"p", "q"}), LimitOf(nil), Unlimited},
		{"limit introduced", Initial("a", LimitOf(nil), []string{"p", "q"}), vec(1e12, 10, 1), vec(5e11, 5, 0)},
		{"corrupt record", Record{Parts: map[string]resource.Vector{"p": vec(9, 9, 9), "q": vec(-8, 0, 0)}}, vec(2, 1, 8), vec(2, 1, 8)},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := test.record.Effective(test.limit, "p")
			if test.limit != Unlimited {
				got.Accelerators = 0
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// TestCheck guards against invalid records that go undetected, such as one that allocates more than the limit.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name string
		r    Record
		want string
	}{
		{"sum above the limit", Record{Limit: vec(5, 5, 5), Parts: map[string]resource.Vector{"p": vec(3, 0, 0), "q": vec(3, 0, 0)}}, "sum of the parts"},
		{"negative part", Record{Limit: vec(5, 5, 5), Parts: map[string]resource.Vector{"p": vec(-1, 0, 0)}}, "part"},
		{"negative limit", Record{Limit: vec(-5, 5, 5)}, "negative"},
		{"limit out of range", Record{Limit: vec(UnlimitedAmount+1, 0, 0)}, "out of range"},
		{"overflow", Record{Limit: Unlimited, Parts: map[string]resource.Vector{"p": vec(1<<62, 0, 0), "q": vec(1<<62, 0, 0)}}, "above the limit"},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.ErrorContains(t, test.r.Check(), test.want)
			_, err := test.r.Move("p", "q", vec(1, 0, 0))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

var partitions = []string{"p0", "p1", "p2", "p3", "p4"}

// owner is a partition's owner with its view of the record and, while the outcome of its move is unknown, the amount it
// donated.
type owner struct {
	record  Record
	donated resource.Vector
}

// cell holds the stored record and the owners' views of it.
type cell struct {
	limit  resource.Vector
	stored Record
	owners map[string]*owner
}

func (c *cell) refresh(p string) { *c.owners[p] = owner{record: c.stored} }

// TestAllowanceSum guards against effective allowances that together exceed the team's limit at any moment. It plays
// random moves with lost requests and lost answers, late reads, and lowered and raised limits. Owners read the record
// again when they adopt a configuration.
func TestAllowanceSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := func(name string) resource.Vector {
			one := rapid.Int64Range(0, 40)
			return vec(one.Draw(t, name), one.Draw(t, name), one.Draw(t, name))
		}
		c := &cell{limit: amount("limit"), owners: map[string]*owner{}}
		c.stored = Initial("a", c.limit, partitions[:3])
		for _, p := range partitions {
			c.owners[p] = &owner{}
			c.refresh(p)
		}
		pick := func(name string) string { return rapid.SampledFrom(partitions).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(*rapid.T) { c.refresh(pick("partition")) },
			"move": func(t *rapid.T) {
				from, to := pick("from"), pick("to")
				donor, v := c.owners[from], amount("amount").Min(c.stored.Parts[from])
				moved, err := c.stored.Move(from, to, v)
				if err != nil || !sameRecord(donor.record, c.stored) {
					return // rejected, or the compare-and-swap fails
				}
				donor.donated = v // the owner lowers its bound before the write
				if rapid.Bool().Draw(t, "request arrives") {
					c.stored = moved
					if rapid.Bool().Draw(t, "answer arrives") {
						c.refresh(from)
					}
				}
			},
			"limit": func(t *rapid.T) {
				c.limit = amount("limit")
				for _, p := range partitions {
					c.refresh(p)
				}
			},
			"raise": func(t *rapid.T) {
				c.stored = c.stored.WithLimit(c.limit, partitions[:rapid.IntRange(1, 5).Draw(t, "partitions")])
			},
			"": func(t *rapid.T) {
				assert.NilError(t, c.stored.Check())
				var sum, read resource.Vector
				for _, p := range partitions {
					o := c.owners[p]
					sum = sum.Add(o.record.Effective(c.limit, p).Sub(o.donated).Max(resource.Vector{}))
					read = read.Add(c.stored.Effective(c.limit, p))
				}
				assert.Assert(t, sum.Fits(c.limit), "owners use %+v of %+v", sum, c.limit)
				assert.Assert(t, read.Fits(c.limit), "the record allows %+v of %+v", read, c.limit)
			},
		})
	})
}

func sameRecord(a, b Record) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return string(x) == string(y)
}

// Guards against taking a write that was followed by others for one that had no effect, or for one that is certain
// although it may have been dropped from the record.
func TestIncludesRecognisesFollowedWrites(t *testing.T) {
	base := Record{Team: "t", Writer: "base"}
	for _, test := range []struct {
		name            string
		record          Record
		included, known bool
	}{
		{"the last write", base.WrittenBy("own"), true, true},
		{"followed by another", base.WrittenBy("own").WrittenBy("x"), true, true},
		{"not written", base.WrittenBy("x").WrittenBy("y"), false, true},
		{"many writes", writtenTimes(base, maxEarlier+1), false, false},
	} {
		included, known := test.record.Includes("own", base)
		assert.Equal(t, included, test.included, test.name)
		assert.Equal(t, known, test.known, test.name)
	}
	_, known := writtenTimes(Record{}, maxEarlier).Includes("own", Record{})
	assert.Assert(t, known, "all writes since the record was created are listed")
	_, known = writtenTimes(Record{}, maxEarlier+1).Includes("own", Record{})
	assert.Assert(t, !known)
}

func writtenTimes(r Record, n int) Record {
	for i := range n {
		r = r.WrittenBy(fmt.Sprint("x", i))
	}
	return r
}
