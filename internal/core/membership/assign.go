package membership

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Partition names a set of workers: <zone>/<number>.
type Partition string

// Zone returns the zone whose workers the partition holds.
func (p Partition) Zone() string {
	zone, _, _ := strings.Cut(string(p), "/")
	return zone
}

// SetPartitions sets the partitions of the cell. The limit on partitions per member depends on their number.
func (t *Table) SetPartitions(partitions []Partition) {
	t.partitions = slices.Compact(slices.Sorted(slices.Values(partitions)))
}

// Owner returns the intended owner of a partition, or "" if no member can own it.
func (t *Table) Owner(partition Partition, now time.Time) string {
	return t.assign(t.withPartition(partition), now, "")[partition]
}

// Successor returns the member that would own the partition if exclude didn't exist, to which exclude hands it over.
func (t *Table) Successor(partition Partition, exclude string, now time.Time) string {
	return t.assign(t.withPartition(partition), now, exclude)[partition]
}

// Assign returns the intended owner of each partition. Members whose tables agree get the same result.
func (t *Table) Assign(partitions []Partition, now time.Time) map[Partition]string {
	return t.assign(slices.Compact(slices.Sorted(slices.Values(partitions))), now, "")
}

func (t *Table) withPartition(p Partition) []Partition {
	if i, found := slices.BinarySearch(t.partitions, p); !found {
		return slices.Insert(slices.Clone(t.partitions), i, p)
	}
	return t.partitions
}

// candidate is a member that may own partitions.
type candidate struct {
	id, zone string
	load     int
}

// score returns the weighted rendezvous hash of the partition and the member; the highest score wins. The weight
// decreases with the number of partitions that the member already has, so that the members of a zone share its
// partitions.
func (c *candidate) score(p Partition) float64 {
	const scale = 1 << 53
	uniform := (float64(xxhash.Sum64String(string(p)+"\x00"+c.id)>>11) + 0.5) / scale
	return -1 / float64(1+c.load) / math.Log(uniform)
}

// assign implements Assign for sorted partitions without duplicates, and leaves out the member exclude.
func (t *Table) assign(partitions []Partition, now time.Time, exclude string) map[Partition]string {
	candidates, announced := t.candidates(now, exclude)
	owners := make(map[Partition]string, len(partitions))
	if len(candidates) == 0 {
		return owners
	}
	limit := (len(partitions)+len(candidates)-1)/len(candidates) + 1
	for _, c := range candidates {
		keepCurrentOwners(c, partitions, announced, limit, owners)
	}
	for _, p := range partitions {
		if owners[p] != "" {
			continue
		}
		best := slices.MaxFunc(candidates, func(a, b *candidate) int {
			return cmp.Or(compareBool(a.load < limit, b.load < limit), compareBool(a.zone == p.Zone(), b.zone == p.Zone()),
				cmp.Compare(a.score(p), b.score(p)), cmp.Compare(b.id, a.id))
		})
		owners[p] = best.id
		best.load++
	}
	return owners
}

// keepCurrentOwners assigns to the member the partitions that it announces as its own, up to the limit.
func keepCurrentOwners(c *candidate, partitions []Partition, announced map[Partition]string, limit int, owners map[Partition]string) {
	var held []Partition
	for _, p := range partitions {
		if announced[p] == c.id {
			held = append(held, p)
		}
	}
	slices.SortStableFunc(held, func(a, b Partition) int { return cmp.Compare(c.score(b), c.score(a)) })
	for _, p := range held[:min(len(held), limit)] {
		owners[p] = c.id
	}
	c.load = min(len(held), limit)
}

// candidates returns the members that may own partitions, ordered by ID, and the announced owner of each partition. If
// two members announce the same partition, the one with the higher score counts.
func (t *Table) candidates(now time.Time, exclude string) ([]*candidate, map[Partition]string) {
	records, _ := t.roster(now)
	announced := map[Partition]string{}
	var candidates []*candidate
	for _, r := range records {
		m := r.member
		if m.State != Live || m.ID == exclude {
			continue
		}
		c := &candidate{id: m.ID, zone: m.Zone}
		candidates = append(candidates, c)
		for _, s := range m.Partitions {
			p := Partition(s.Partition)
			rival := candidate{id: announced[p]}
			if rival.id == "" || c.score(p) > rival.score(p) {
				announced[p] = c.id
			}
		}
	}
	return candidates, announced
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
