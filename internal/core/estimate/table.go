// Package estimate learns from past tasks how far declared sizes and run times are from the actual ones.
package estimate

import (
	"container/list"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiastall/internal/core/resource"
)

const (
	// keyLimit bounds the memory: beyond it the key that was observed longest ago is forgotten.
	keyLimit = 512
	// generationTime covers a day's cycle of load. Two generations are kept, so that data is forgotten after one to two.
	generationTime = 24 * time.Hour
	// sizePercentile of the learned sizes is reserved.
	sizePercentile = 95
	// durationPercentile makes backfilled work that outlasts its estimate, and so delays a gang, rare.
	durationPercentile = 90
	// minDurations is the number of durations from which a declaration is corrected.
	minDurations = 5
)

// Table holds what was learned by key; a key names a queue and a service. It belongs to one goroutine.
type Table struct {
	capacity resource.Vector // of a host
	keys     map[string]*list.Element
	recent   *list.List // of *record, most recently observed first
	rotated  time.Time
}

// record is what was learned of one key.
type record struct {
	key                   string
	cpu, memory, duration measure
}

// NewTable returns an empty table. Learned sizes never exceed the capacity of a host.
func NewTable(capacity resource.Vector) *Table {
	return &Table{capacity: capacity, keys: map[string]*list.Element{}, recent: list.New()}
}

// SetCapacity changes the host capacity that bounds learned sizes.
func (t *Table) SetCapacity(capacity resource.Vector) { t.capacity = capacity }

// Advance forgets what is too old. It is to be called now and then.
func (t *Table) Advance(now time.Time) {
	if t.rotated.IsZero() {
		t.rotated = now
	}
	if now.Sub(t.rotated) < generationTime {
		return
	}
	generations := 1
	if now.Sub(t.rotated) >= 2*generationTime {
		generations = 2
	}
	t.rotated = now
	for e := t.recent.Front(); e != nil; {
		next, r := e.Next(), e.Value.(*record)
		for range generations {
			for _, m := range []*measure{&r.cpu, &r.memory, &r.duration} {
				m.rotate()
			}
		}
		if r.cpu.empty() && r.memory.empty() && r.duration.empty() {
			t.drop(e)
		}
		e = next
	}
}

// Observe records the largest use of a task. Only CPU and memory are measured; amounts below 1 tell nothing.
func (t *Table) Observe(key string, declared, used resource.Vector) {
	if used.MilliCPU <= 0 && used.MemoryMB <= 0 {
		return
	}
	r := t.touch(key)
	r.cpu.observe(declared.MilliCPU, used.MilliCPU)
	r.memory.observe(declared.MemoryMB, used.MemoryMB)
}

// Reservation returns the larger of the declared size and the 95th percentile of the learned ones, which is bounded by
// the capacity of a host. A declaration above that capacity stays as it is.
func (t *Table) Reservation(key string, declared resource.Vector) resource.Vector {
	e := t.keys[key]
	if e == nil {
		return declared
	}
	r := e.Value.(*record)
	learned := resource.Vector{
		MilliCPU: r.cpu.percentile(declared.MilliCPU, sizePercentile),
		MemoryMB: r.memory.percentile(declared.MemoryMB, sizePercentile),
	}
	return declared.Max(learned.Min(t.capacity))
}

// ObserveDuration records the run time of a task that succeeded. A declared time of 0 is unknown.
func (t *Table) ObserveDuration(key string, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	t.touch(key).duration.observe(declared.Milliseconds(), max(1, actual.Milliseconds()))
}

// Duration returns the declared time corrected by the 90th percentile of what was learned, or the declared time as long
// as too little is known. It is 0 if nothing is known and nothing declared.
func (t *Table) Duration(key string, declared time.Duration) time.Duration {
	e := t.keys[key]
	if e == nil {
		return declared
	}
	m := &e.Value.(*record).duration
	if m.count(declared.Milliseconds()) < minDurations {
		return declared
	}
	return time.Duration(m.percentile(declared.Milliseconds(), durationPercentile)) * time.Millisecond
}

// Keys returns the number of keys about which something is known.
func (t *Table) Keys() int { return len(t.keys) }

func (t *Table) touch(key string) *record {
	if e := t.keys[key]; e != nil {
		t.recent.MoveToFront(e)
		return e.Value.(*record)
	}
	if len(t.keys) >= keyLimit {
		t.drop(t.recent.Back())
	}
	r := &record{key: key}
	t.keys[key] = t.recent.PushFront(r)
	return r
}

func (t *Table) drop(e *list.Element) {
	delete(t.keys, e.Value.(*record).key)
	t.recent.Remove(e)
}

// measure learns one quantity: its ratio to the declared amount, and the amount itself where none was declared, because
// tasks of one key declare different sizes.
type measure struct{ ratio, amount series }

const (
	ratioUnit   = 1000      // a ratio of 1
	maxRatio    = 1_000_000 // a thousand times the declaration
	maxAmount   = 1 << 32   // 49 days in milliseconds, 4 million cores in thousandths
	significant = 1         // decimal digits; keeps a histogram at a few KB
)

func (m *measure) observe(declared, actual int64) {
	switch {
	case actual <= 0:
	case declared > 0:
		m.ratio.observe(float64(actual)/float64(declared)*ratioUnit, maxRatio)
	default:
		m.amount.observe(float64(actual), maxAmount)
	}
}

func (m *measure) percentile(declared int64, p float64) int64 {
	if declared > 0 {
		return int64(float64(declared) * (float64(m.ratio.percentile(p, ratioUnit)) / ratioUnit))
	}
	return m.amount.percentile(p, 0)
}

func (m *measure) count(declared int64) int64 {
	if declared > 0 {
		return m.ratio.count()
	}
	return m.amount.count()
}

func (m *measure) rotate() {
	m.ratio.rotate()
	m.amount.rotate()
}

func (m *measure) empty() bool { return m.ratio.count() == 0 && m.amount.count() == 0 }

// series is a histogram of the current and one of the previous generation.
type series struct {
	current, previous *hdrhistogram.Histogram
	asked             float64 // percentile of the cached value; 0 after a change
	cached            int64
}

func (s *series) observe(value, most float64) {
	if s.current == nil {
		s.current = hdrhistogram.New(1, int64(most), significant)
	}
	// The value is within the histogram's range, so that recording can't fail.
	_ = s.current.RecordValue(int64(max(1, min(value, most))))
	s.asked = 0
}

func (s *series) percentile(p float64, otherwise int64) int64 {
	if s.count() == 0 {
		return otherwise
	}
	if s.asked != p {
		s.asked, s.cached = p, s.merge().ValueAtPercentile(p)
	}
	return s.cached
}

func (s *series) merge() *hdrhistogram.Histogram {
	switch {
	case s.previous == nil:
		return s.current
	case s.current == nil:
		return s.previous
	}
	m := hdrhistogram.New(s.current.LowestTrackableValue(), s.current.HighestTrackableValue(), significant)
	m.Merge(s.previous)
	m.Merge(s.current)
	return m
}

func (s *series) count() int64 {
	total := int64(0)
	for _, h := range []*hdrhistogram.Histogram{s.current, s.previous} {
		if h != nil {
			total += h.TotalCount()
		}
	}
	return total
}

func (s *series) rotate() { s.current, s.previous, s.asked = nil, s.current, 0 }
