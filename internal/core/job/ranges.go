package job

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Ranges is a set of task indexes, kept as sorted, disjoint, non-adjacent intervals. The zero value is empty. It is
// encoded as text such as "0-99,105", which takes only a few bytes for a job whose tasks end roughly in order.
type Ranges struct {
	intervals []interval
}

type interval struct{ first, last int32 }

// Add adds index to the set.
func (r *Ranges) Add(index int32) {
	i := r.firstEndingAtOrAfter(index)
	if i < len(r.intervals) && r.intervals[i].first <= index {
		return
	}
	joinsLeft := i > 0 && r.intervals[i-1].last == index-1
	joinsRight := i < len(r.intervals) && r.intervals[i].first == index+1
	switch {
	case joinsLeft && joinsRight:
		r.intervals[i-1].last = r.intervals[i].last
		r.intervals = append(r.intervals[:i], r.intervals[i+1:]...)
	case joinsLeft:
		r.intervals[i-1].last = index
	case joinsRight:
		r.intervals[i].first = index
	default:
		r.intervals = append(r.intervals, interval{})
		copy(r.intervals[i+1:], r.intervals[i:])
		r.intervals[i] = interval{index, index}
	}
}

// firstEndingAtOrAfter returns the position of the first interval that ends at or after index.
func (r *Ranges) firstEndingAtOrAfter(index int32) int {
	low, high := 0, len(r.intervals)
	for low < high {
		mid := (low + high) / 2
		if r.intervals[mid].last < index {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// Contains reports whether index is in the set.
func (r *Ranges) Contains(index int32) bool {
	i := r.firstEndingAtOrAfter(index)
	return i < len(r.intervals) && r.intervals[i].first <= index
}

// Len returns the number of indexes in the set.
func (r *Ranges) Len() int32 {
	n := int32(0)
	for _, s := range r.intervals {
		n += s.last - s.first + 1
	}
	return n
}

// Each calls f with each index in ascending order.
func (r *Ranges) Each(f func(int32)) {
	for _, s := range r.intervals {
		for i := s.first; i <= s.last; i++ {
			f(i)
		}
	}
}

// Union adds every index of other.
func (r *Ranges) Union(other Ranges) { other.Each(r.Add) }

// Equal reports whether both sets have the same indexes.
func (r Ranges) Equal(other Ranges) bool { return slices.Equal(r.intervals, other.intervals) }

// Clone returns an independent copy.
func (r Ranges) Clone() Ranges { return Ranges{intervals: append([]interval(nil), r.intervals...)} }

// String returns the text encoding.
func (r Ranges) String() string {
	var b strings.Builder
	for i, s := range r.intervals {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(int(s.first)))
		if s.last != s.first {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(int(s.last)))
		}
	}
	return b.String()
}

// MarshalJSON implements json.Marshaler.
func (r Ranges) MarshalJSON() ([]byte, error) { return json.Marshal(r.String()) }

// UnmarshalJSON implements json.Unmarshaler. It rejects unsorted, overlapping and adjacent intervals.
func (r *Ranges) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, "ranges")
	}
	parsed, err := ParseRanges(text)
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}

// ParseRanges parses the text encoding.
func ParseRanges(text string) (Ranges, error) {
	var r Ranges
	if text == "" {
		return r, nil
	}
	next := int64(0)
	for _, part := range strings.Split(text, ",") {
		first, last, isSpan := strings.Cut(part, "-")
		if !isSpan {
			last = first
		}
		from, err1 := strconv.ParseInt(first, 10, 32)
		to, err2 := strconv.ParseInt(last, 10, 32)
		if err1 != nil || err2 != nil || from < next || to < from {
			return Ranges{}, fmt.Errorf("ranges: interval %q is malformed, or not after the previous one", part)
		}
		r.intervals = append(r.intervals, interval{int32(from), int32(to)})
		next = to + 2
	}
	return r, nil
}
