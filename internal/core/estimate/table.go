// Package estimate corrects declared task sizes and run times by the measurements of past tasks.
package estimate

import (
	"container/list"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiastall/internal/core/resource"
)

const (
	// keyLimit bounds the memory use: above it the least recently observed key is evicted.
	keyLimit = 512
	// generationTime covers a daily load cycle. Two generations are kept, so that data expires after one to two of them.
	generationTime = 24 * time.Hour
	// sizePercentile is the percentile of the measured sizes that is reserved.
	sizePercentile = 95
	// durationPercentile is high enough that backfilled tasks rarely outlast their estimate, which would delay a gang.
	durationPercentile = 90
	// minDurations is the number of measured durations that is required to correct a declared one.
	minDurations = 5
)

// Table holds measurements by key. A key names a service, or a queue and a job name. A Table isn't safe for concurrent use.
type Table struct {
	capacity     resource.Vector // of a host
	byKey        map[string]*list.Element
	lru          *list.List // of *keyStats, most recently observed first
	lastRotation time.Time
}

// keyStats holds the measurements of one key.
type keyStats struct {
	key                   string
	cpu, memory, duration quantityStats
}

// NewTable returns an empty table. Measured sizes are bounded by the capacity of a host.
func NewTable(capacity resource.Vector) *Table {
	return &Table{capacity: capacity, byKey: map[string]*list.Element{}, lru: list.New()}
}

// SetCapacity sets the host capacity that bounds measured sizes.
func (t *Table) SetCapacity(capacity resource.Vector) { t.capacity = capacity }

// Expire discards measurements that are too old. It has to be called from time to time.
func (t *Table) Expire(now time.Time) {
	if t.lastRotation.IsZero() {
		t.lastRotation = now
	}
	if now.Sub(t.lastRotation) < generationTime {
		return
	}
	generations := 1
	if now.Sub(t.lastRotation) >= 2*generationTime {
		generations = 2
	}
	t.lastRotation = now
	for e := t.lru.Front(); e != nil; {
		next, k := e.Next(), e.Value.(*keyStats)
		for range generations {
			for _, q := range []*quantityStats{&k.cpu, &k.memory, &k.duration} {
				q.rotate()
			}
		}
		if k.cpu.empty() && k.memory.empty() && k.duration.empty() {
			t.evict(e)
		}
		e = next
	}
}

// Observe records one measurement of a task's usage. Only CPU and memory are recorded; amounts below 1 are ignored.
func (t *Table) Observe(key string, declared, used resource.Vector) {
	if used.MilliCPU <= 0 && used.MemoryMB <= 0 {
		return
	}
	k := t.touch(key)
	k.cpu.observe(declared.MilliCPU, used.MilliCPU)
	k.memory.observe(declared.MemoryMB, used.MemoryMB)
}

// Reservation returns the larger of the declared size and the 95th percentile of the measured sizes, which is bounded by
// the capacity of a host. A declared size above that capacity is returned unchanged.
func (t *Table) Reservation(key string, declared resource.Vector) resource.Vector {
	e := t.byKey[key]
	if e == nil {
		return declared
	}
	k := e.Value.(*keyStats)
	measured := resource.Vector{
		MilliCPU: k.cpu.percentile(declared.MilliCPU, sizePercentile),
		MemoryMB: k.memory.percentile(declared.MemoryMB, sizePercentile),
	}
	return declared.Max(measured.Min(t.capacity))
}

// ObserveDuration records the run time of a task that succeeded. A declared time of 0 means that it is unknown.
func (t *Table) ObserveDuration(key string, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	t.touch(key).duration.observe(declared.Milliseconds(), max(1, actual.Milliseconds()))
}

// Duration returns the declared time corrected by the 90th percentile of the measured times, or the declared time itself
// if there are too few measurements. It is 0 if no time was declared or measured.
func (t *Table) Duration(key string, declared time.Duration) time.Duration {
	e := t.byKey[key]
	if e == nil {
		return declared
	}
	q := &e.Value.(*keyStats).duration
	if q.count(declared.Milliseconds()) < minDurations {
		return declared
	}
	return time.Duration(q.percentile(declared.Milliseconds(), durationPercentile)) * time.Millisecond
}

// Keys returns the number of keys that have measurements.
func (t *Table) Keys() int { return len(t.byKey) }

// touch returns the entry of a key, which it creates if necessary, and makes it the most recently observed one.
func (t *Table) touch(key string) *keyStats {
	if e := t.byKey[key]; e != nil {
		t.lru.MoveToFront(e)
		return e.Value.(*keyStats)
	}
	if len(t.byKey) >= keyLimit {
		t.evict(t.lru.Back())
	}
	k := &keyStats{key: key}
	t.byKey[key] = t.lru.PushFront(k)
	return k
}

func (t *Table) evict(e *list.Element) {
	delete(t.byKey, e.Value.(*keyStats).key)
	t.lru.Remove(e)
}

// quantityStats holds the measurements of one quantity: their ratios to the declared amounts, because tasks of one key
// declare different sizes, and the amounts themselves where none was declared.
type quantityStats struct{ ratio, amount histogramWindow }

const (
	ratioUnit         = 1000      // a ratio of 1
	maxRatio          = 1_000_000 // a thousand times the declaration
	maxAmount         = 1 << 32   // 49 days in milliseconds, 4 million cores in thousandths
	significantDigits = 1         // decimal digits; keeps a histogram at a few KB
)

func (q *quantityStats) observe(declared, actual int64) {
	switch {
	case actual <= 0:
	case declared > 0:
		q.ratio.observe(float64(actual)/float64(declared)*ratioUnit, maxRatio)
	default:
		q.amount.observe(float64(actual), maxAmount)
	}
}

func (q *quantityStats) percentile(declared int64, p float64) int64 {
	if declared > 0 {
		return int64(float64(declared) * (float64(q.ratio.percentile(p, ratioUnit)) / ratioUnit))
	}
	return q.amount.percentile(p, 0)
}

func (q *quantityStats) count(declared int64) int64 {
	if declared > 0 {
		return q.ratio.count()
	}
	return q.amount.count()
}

func (q *quantityStats) rotate() {
	q.ratio.rotate()
	q.amount.rotate()
}

func (q *quantityStats) empty() bool { return q.ratio.count() == 0 && q.amount.count() == 0 }

// histogramWindow holds the histograms of the current and the previous generation.
type histogramWindow struct {
	current, previous *hdrhistogram.Histogram
	cachedPercentile  float64 // percentile that cachedValue holds; 0 after a change
	cachedValue       int64
}

func (w *histogramWindow) observe(value, maxValue float64) {
	if w.current == nil {
		w.current = hdrhistogram.New(1, int64(maxValue), significantDigits)
	}
	// Recording can't fail, because the value is kept within the histogram's range.
	_ = w.current.RecordValue(int64(max(1, min(value, maxValue))))
	w.cachedPercentile = 0
}

func (w *histogramWindow) percentile(p float64, fallback int64) int64 {
	if w.count() == 0 {
		return fallback
	}
	if w.cachedPercentile != p {
		w.cachedPercentile, w.cachedValue = p, w.merge().ValueAtPercentile(p)
	}
	return w.cachedValue
}

func (w *histogramWindow) merge() *hdrhistogram.Histogram {
	switch {
	case w.previous == nil:
		return w.current
	case w.current == nil:
		return w.previous
	}
	m := hdrhistogram.New(w.current.LowestTrackableValue(), w.current.HighestTrackableValue(), significantDigits)
	m.Merge(w.previous)
	m.Merge(w.current)
	return m
}

func (w *histogramWindow) count() int64 {
	total := int64(0)
	for _, h := range []*hdrhistogram.Histogram{w.current, w.previous} {
		if h != nil {
			total += h.TotalCount()
		}
	}
	return total
}

func (w *histogramWindow) rotate() { w.current, w.previous, w.cachedPercentile = nil, w.current, 0 }
