package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/object"
	"sequoiastall/internal/knownred"
)

// loadSet reads the object set of an example.
func loadSet(t testing.TB, name string) object.Set {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", name, "*.jsonc"))
	assert.NilError(t, err)
	var files []object.File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		files = append(files, object.File{Name: path, Data: data})
	}
	set, problems := object.Validate(files)
	assert.Equal(t, len(problems), 0, "%v", problems)
	return set
}

var (
	cells = []string{"gatecare", "frio-retorno"}
	seeds = []uint64{1, 2}
)

// TestBounds guards against a scheduling policy that misses a documented bound on a full cell, and against decisions
// worse than those of first fit in order of arrival.
func TestBounds(t *testing.T) {
	for _, name := range cells {
		for _, seed := range seeds {
			for _, partitions := range []int{1, 4} {
				t.Run(fmt.Sprintf("%s/partitions=%d/seed=%d", name, partitions, seed), func(t *testing.T) {
					t.Parallel()
					set := loadSet(t, name)
					r, err := Run(set, Options{Workers: DefaultWorkers, Seed: seed, Single: partitions == 1})
					assert.NilError(t, err)
					base := runFirstFit(set, Options{Workers: DefaultWorkers, Seed: seed})
					t.Log("\n" + Table([]Result{r, base}))
					checkBounds(t, &r, &base)
				})
			}
		}
	}
}

func checkBounds(t *testing.T, r, base *Result) {
	check := func(name string, ok bool, seen string, values ...any) {
		t.Run(name, func(t *testing.T) {
			knownred.Check(t)
			assert.Assert(t, ok, fmt.Sprintf(seen, values...))
		})
	}
	urgent := r.Class("urgent")
	check("urgent", urgent.Longest <= UrgentBound, "urgent work waited for %v", urgent.Longest)
	check("packing", r.Packing >= PackingBound, "packing is %.4f of the offline bound", r.Packing)
	check("share", r.ShareLargest <= ShareBound, "a team was %.4f of the cell from its share for a minute", r.ShareLargest)
	check("deadlines", r.Missed <= base.Missed, "%d deadlines of %d missed, %d by first fit", r.Missed, r.Deadlines, base.Missed)
	check("capacity", r.Overfull == 0 && len(r.Violations) == 0, "%d starts refused by workers, violated invariants: %v", r.Overfull, r.Violations)
	check("preemption", r.Attempts <= MaxStartsPerTask, "%.2f starts for each task", r.Attempts)
	gangs := r.Class("gang").Waiting
	check("gangs", gangs <= base.Class("gang").Waiting, "%d tasks of gangs never started, %d with first fit", gangs, base.Class("gang").Waiting)
}

// TestRepeatable guards against decisions that depend on map iteration order.
func TestRepeatable(t *testing.T) {
	set := loadSet(t, cells[1])
	o := Options{Workers: 32, Seed: 7}
	first, err := Run(set, o)
	assert.NilError(t, err)
	second, err := Run(set, o)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}

// TestBadInput guards against a panic on an object set that lacks what a trace needs.
func TestBadInput(t *testing.T) {
	set := loadSet(t, cells[0])
	_, err := Run(set, Options{Workers: 3, Seed: 1})
	assert.ErrorContains(t, err, "too few")
	set.Shares = nil
	_, err = Run(set, Options{Workers: 50, Seed: 1})
	assert.ErrorContains(t, err, "needs zones, teams and shares")
}
