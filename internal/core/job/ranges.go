package job

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Ranges is a set of task indexes, kept as sorted, disjoint, non-adjacent intervals. The zero value is empty.
// It is encoded as text such as "0-99,105", so that a job whose tasks end roughly in order costs a few bytes.
type Ranges struct {
	spans []span
}

type span struct{ first, last int32 }

// Add puts index into the set.
func (r *Ranges) Add(index int32) {
	i := r.search(index)
	if i < len(r.spans) && r.spans[i].first <= index {
		return
	}
	joinsLeft := i > 0 && r.spans[i-1].last == index-1
	joinsRight := i < len(r.spans) && r.spans[i].first == index+1
	switch {
	case joinsLeft && joinsRight:
		r.spans[i-1].last = r.spans[i].last
		r.spans = append(r.spans[:i], r.spans[i+1:]...)
	case joinsLeft:
		r.spans[i-1].last = index
	case joinsRight:
		r.spans[i].first = index
	default:
		r.spans = append(r.spans, span{})
		copy(r.spans[i+1:], r.spans[i:])
		r.spans[i] = span{index, index}
	}
}

// search returns the position of the first span that ends at or after index.
func (r *Ranges) search(index int32) int {
	low, high := 0, len(r.spans)
	for low < high {
		mid := (low + high) / 2
		if r.spans[mid].last < index {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// Contains reports whether index is in the set.
func (r *Ranges) Contains(index int32) bool {
	i := r.search(index)
	return i < len(r.spans) && r.spans[i].first <= index
}

// Len returns the number of indexes in the set.
func (r *Ranges) Len() int32 {
	n := int32(0)
	for _, s := range r.spans {
		n += s.last - s.first + 1
	}
	return n
}

// Each calls f with every index in order.
func (r *Ranges) Each(f func(int32)) {
	for _, s := range r.spans {
		for i := s.first; i <= s.last; i++ {
			f(i)
		}
	}
}

// Union adds every index of other.
func (r *Ranges) Union(other Ranges) { other.Each(r.Add) }

// Equal reports whether both sets hold the same indexes.
func (r Ranges) Equal(other Ranges) bool { return slices.Equal(r.spans, other.spans) }

// Clone returns an independent copy.
func (r Ranges) Clone() Ranges { return Ranges{spans: append([]span(nil), r.spans...)} }

// String returns the text form.
func (r Ranges) String() string {
	var b strings.Builder
	for i, s := range r.spans {
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

// UnmarshalJSON implements json.Unmarshaler. It rejects unsorted and overlapping intervals.
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

// ParseRanges parses the text form.
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
			return Ranges{}, fmt.Errorf("ranges: bad interval %q", part)
		}
		r.spans = append(r.spans, span{int32(from), int32(to)})
		next = to + 2
	}
	return r, nil
}
