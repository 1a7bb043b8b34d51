package quota

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/resource"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func vec(slots, cpu, memory int64) resource.Vector {
	return resource.Vector{Slots: slots, MilliCPU: cpu, MemoryMB: memory}
}

// TestShares guards against an order that ignores weights, other partitions' usage or the dominant resource.
func TestShares(t *testing.T) {
	type usage struct {
		weight        float64
		local, remote resource.Vector
	}
	for _, test := range []struct {
		name  string
		teams map[string]usage
		order []string
		ratio map[string]float64
	}{
		{"ties by name", map[string]usage{"b": {weight: 1}, "a": {weight: 1}}, []string{"a", "b"}, map[string]float64{"a": 0}},
		{"dominant resource", map[string]usage{
			"a": {weight: 1, local: vec(1, 50, 0)}, "b": {weight: 1, local: vec(40, 0, 0)},
		}, []string{"b", "a"}, map[string]float64{"a": 1, "b": 0.8}},
		{"weights", map[string]usage{
			"a": {weight: 3, local: vec(30, 0, 0)}, "b": {weight: 1, local: vec(20, 0, 0)},
		}, []string{"a", "b"}, map[string]float64{"a": 0.4, "b": 0.8}},
		{"remote usage counts", map[string]usage{
			"a": {weight: 1, local: vec(10, 0, 0), remote: vec(50, 0, 0)}, "b": {weight: 1, local: vec(20, 0, 0)},
		}, []string{"b", "a"}, map[string]float64{"a": 1.2}},
		{"no weight comes last", map[string]usage{
			"a": {weight: 0}, "b": {weight: 1, local: vec(100, 0, 0)}, "c": {weight: math.NaN()},
		}, []string{"b", "a", "c"}, map[string]float64{"a": math.Inf(1), "b": 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewShares()
			s.SetCapacity(vec(100, 100, 100))
			var names []string
			for name, u := range test.teams {
				names = append(names, name)
				s.SetWeight(name, u.weight)
				s.SetRemote(name, u.remote)
				s.AddLocal(name, u.local)
			}
			assert.DeepEqual(t, s.Order(names), test.order)
			for name, want := range test.ratio {
				assert.Assert(t, math.Abs(s.Ratio(name)-want) < 1e-9 || s.Ratio(name) == want, "ratio of %s is %v", name, s.Ratio(name))
				assert.Equal(t, s.OverShare(name), want > 1 && !s.Usage(name).IsZero())
			}
		})
	}
}

// TestRemoveTeam guards against the weight of a removed team lowering the shares of others.
func TestRemoveTeam(t *testing.T) {
	s := NewShares()
	s.SetCapacity(vec(10, 10, 10))
	s.SetWeight("a", 1)
	s.SetWeight("b", 1)
	s.AddLocal("a", vec(5, 0, 0))
	assert.Equal(t, s.Ratio("a"), 1.0)
	s.RemoveTeam("b")
	assert.Equal(t, s.Ratio("a"), 0.5)
	assert.Equal(t, s.Ratio("b"), 0.0)
}

// BenchmarkOrder measures the ordering of as many teams as the target size has.
func BenchmarkOrder(b *testing.B) {
	s := NewShares()
	s.SetCapacity(vec(10000, 10000, 10000))
	var names []string
	for i := range 190 {
		names = append(names, fmt.Sprintf("team%03d", i))
		s.SetWeight(names[i], 1+float64(i%7))
		s.AddLocal(names[i], vec(int64(i*7919%100), 0, 0))
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Order(names)
	}
}
