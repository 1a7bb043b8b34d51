package estimate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/resource"
)

var host = resource.Vector{Slots: 8, MilliCPU: 16000, MemoryMB: 32000}

func size(cpu, memory int64) resource.Vector {
	return resource.Vector{Slots: 1, MilliCPU: cpu, MemoryMB: memory}
}

// TestReservation guards against reservations below the declared or the measured size, and above the capacity of a host.
// Measured values may be up to a sixteenth too large, the precision of the histogram.
func TestReservation(t *testing.T) {
	for _, test := range []struct {
		name               string
		seenDeclared, used resource.Vector
		declared, want     resource.Vector
	}{
		{"uses less", size(1000, 1000), size(500, 500), size(1000, 1000), size(1000, 1000)},
		{"uses twice the memory", size(1000, 1000), size(500, 2000), size(1000, 4000), size(1000, 8000)},
		{"nothing declared", size(0, 0), size(500, 2000), size(0, 0), size(500, 2000)},
		{"bounded by the host", size(1000, 1000), size(1000, 900000), size(1000, 1000), size(1000, 32000)},
		{"declared above the host", size(1000, 1000), size(1000, 2000), size(1000, 64000), size(1000, 64000)},
		{"nothing measured", size(1000, 1000), size(0, 0), size(7, 7), size(7, 7)},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(host)
			for range 20 {
				table.Observe("k", test.seenDeclared, test.used)
			}
			got := table.Reservation("k", test.declared)
			assert.Assert(t, test.want.Fits(got), "%+v is below %+v", got, test.want)
			for _, c := range [][2]int64{{got.MilliCPU, test.want.MilliCPU}, {got.MemoryMB, test.want.MemoryMB}} {
				assert.Assert(t, c[0] <= c[1]+c[1]/16, "%+v is far above %+v", got, test.want)
			}
			assert.Equal(t, got.Slots, test.declared.Slots)
			assert.Equal(t, table.Reservation("other", test.declared), test.declared)
		})
	}
}

// TestReservationPercentile guards against a reservation at the mean or at the maximum.
func TestReservationPercentile(t *testing.T) {
	table, rng := NewTable(host), rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		table.Observe("k", size(1000, 1000), size(1000, 1000+rng.Int64N(2000)))
	}
	got := table.Reservation("k", size(1000, 1000)).MemoryMB
	assert.Assert(t, got >= 2850 && got <= 3050, "reserved %d", got)
}

// TestDuration guards against estimates from too little data, and against a missing correction in either direction.
func TestDuration(t *testing.T) {
	for _, test := range []struct {
		name                                 string
		count                                int
		seenDeclared, actual, declared, want time.Duration
	}{
		{"too little data", 4, time.Minute, time.Hour, time.Minute, time.Minute},
		{"longer", 5, time.Minute, 3 * time.Minute, 10 * time.Minute, 30 * time.Minute},
		{"shorter", 50, time.Hour, time.Minute, time.Hour, time.Minute},
		{"nothing declared", 5, 0, 90 * time.Second, 0, 90 * time.Second},
		{"nothing known", 0, 0, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(host)
			for range test.count {
				table.ObserveDuration("k", test.seenDeclared, test.actual)
			}
			got := table.Duration("k", test.declared)
			// A sixteenth is the histogram's precision; a ratio below 1/16 is rounded to thousandths.
			assert.Assert(t, got >= test.want-test.want/16 && got <= test.want+test.want/16, "got %v", got)
		})
	}
}

// TestExpiry guards against sizes that stay large long after the work has changed, and against unbounded memory.
func TestExpiry(t *testing.T) {
	start := time.Unix(1e9, 0)
	table := NewTable(host)
	table.Expire(start)
	table.Observe("k", size(1000, 1000), size(1000, 8000))
	table.Expire(start.Add(25 * time.Hour))
	table.Observe("k", size(1000, 1000), size(1000, 2000))
	assert.Assert(t, table.Reservation("k", size(1000, 1000)).MemoryMB >= 8000)
	table.Expire(start.Add(50 * time.Hour))
	assert.Assert(t, table.Reservation("k", size(1000, 1000)).MemoryMB < 2200)
	table.Expire(start.Add(500 * time.Hour))
	assert.Equal(t, table.Keys(), 0)

	for i := range 2 * keyLimit {
		table.ObserveDuration(fmt.Sprint(i), 0, time.Second)
	}
	assert.Equal(t, table.Keys(), keyLimit)
	assert.Equal(t, table.Duration("0", 0), time.Duration(0))
}
