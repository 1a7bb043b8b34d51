package object

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Encode returns the canonical JSON of a set: equal sets have the same bytes, whatever the order of their objects.
func Encode(s Set) ([]byte, error) {
	s.Zones, s.Pools, s.Teams = slices.Clone(s.Zones), slices.Clone(s.Pools), slices.Clone(s.Teams)
	s.Keys, s.Queues, s.Shares = slices.Clone(s.Keys), slices.Clone(s.Queues), slices.Clone(s.Shares)
	s.Limits, s.Services = slices.Clone(s.Limits), slices.Clone(s.Services)
	s.RetryPolicies = slices.Clone(s.RetryPolicies)
	s.sort()
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encode object set")
}

// Decode reads the output of Encode. Unknown fields are ignored, so that nodes of two versions can use the same set
// during an upgrade.
func Decode(data []byte) (Set, error) {
	var s Set
	if err := json.Unmarshal(data, &s); err != nil {
		return Set{}, errors.Wrap(err, "decode object set")
	}
	if s.Cell.Name == "" {
		return Set{}, errors.New("decode object set: the set has no cell")
	}
	return s, nil
}

// Digest returns the SHA-256 of an encoded set in hexadecimal digits.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Equal reports whether two sets have the same objects.
func (s Set) Equal(other Set) bool {
	a, errA := Encode(s)
	b, errB := Encode(other)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// Entry is an object of a set together with its kind and name.
type Entry struct {
	Meta
	Object any // a value of the kind's type
}

// Entries lists the objects of a set, by kind and name.
func (s Set) Entries() []Entry {
	var all []Entry
	if s.Cell.Name != "" {
		all = append(all, Entry{s.Cell.Meta, s.Cell})
	}
	all = appendEntries(all, s.Zones, func(o Zone) Meta { return o.Meta })
	all = appendEntries(all, s.Pools, func(o Pool) Meta { return o.Meta })
	all = appendEntries(all, s.Teams, func(o Team) Meta { return o.Meta })
	all = appendEntries(all, s.Keys, func(o Key) Meta { return o.Meta })
	all = appendEntries(all, s.Queues, func(o Queue) Meta { return o.Meta })
	all = appendEntries(all, s.Shares, func(o Share) Meta { return o.Meta })
	all = appendEntries(all, s.Limits, func(o Limit) Meta { return o.Meta })
	all = appendEntries(all, s.Services, func(o Service) Meta { return o.Meta })
	return appendEntries(all, s.RetryPolicies, func(o RetryPolicy) Meta { return o.Meta })
}

func appendEntries[T any](all []Entry, objects []T, meta func(T) Meta) []Entry {
	for _, o := range objects {
		all = append(all, Entry{meta(o), o})
	}
	return all
}
