package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// grant is the amount that a node is granted from a version on.
type grant struct {
	version uint64
	amount  int32
}

// allocation divides a capacity among nodes. Because any of the responses since the version that a node has settled at
// may have reached it, the node may use the largest of the grants since that version.
type allocation struct {
	name       string
	capacity   int32
	totalBound int32              // total in use when the capacity was lowered; falls to capacity as the nodes settle
	grants     map[string][]grant // by node, ascending version, never empty
	// While inherited, grants of a previous owner may still be in use, and only the amount that nodes have reported is
	// divided.
	inherited    bool
	adoptedTotal int32
	reported     map[string]bool
}

func newAllocation(name string) allocation {
	return allocation{name: name, grants: map[string][]grant{}, reported: map[string]bool{}}
}

// adopt lets a node keep the grant that it reported from a previous owner, as far as the capacity allows. Only the
// first report of each node counts.
func (alloc *allocation) adopt(node string, amount int32, version uint64) {
	if !alloc.inherited || alloc.reported[node] {
		return
	}
	alloc.reported[node] = true
	if amount = min(amount, alloc.capacity-alloc.adoptedTotal); amount > 0 {
		alloc.adoptedTotal += amount
		alloc.setGrant(node, alloc.current(node)+amount, version)
	}
}

// allocatable returns the amount that may be divided among the nodes now.
func (alloc *allocation) allocatable() int32 {
	if alloc.inherited {
		return min(alloc.adoptedTotal, alloc.capacity)
	}
	return alloc.capacity
}

// current returns the node's latest grant.
func (alloc *allocation) current(node string) int32 {
	if g := alloc.grants[node]; len(g) > 0 {
		return g[len(g)-1].amount
	}
	return 0
}

// maxHeld returns the largest amount that the node may still be using.
func (alloc *allocation) maxHeld(node string) int32 {
	var most int32
	for _, g := range alloc.grants[node] {
		most = max(most, g.amount)
	}
	return most
}

// maxTotal returns the largest amount that all nodes together may still be using.
func (alloc *allocation) maxTotal() int32 {
	var sum int32
	for node := range alloc.grants {
		sum += alloc.maxHeld(node)
	}
	return sum
}

// withinCapacity reports whether the nodes' possible use is within the capacity, or within the use at the time when the
// capacity was lowered.
func (alloc *allocation) withinCapacity() bool {
	return alloc.maxTotal() <= max(alloc.capacity, alloc.totalBound)
}

// setCapacity changes the capacity. If it is lowered, the current use remains allowed until the nodes settle.
func (alloc *allocation) setCapacity(capacity int32) {
	if capacity < alloc.capacity {
		alloc.totalBound = alloc.maxTotal()
	}
	alloc.capacity = capacity
}

// dropSettled drops the node's grants that were superseded at or before the version.
func (alloc *allocation) dropSettled(node string, version uint64) {
	g := alloc.grants[node]
	for len(g) > 1 && g[1].version <= version {
		g = g[1:]
	}
	if len(g) == 1 && g[0].amount == 0 && g[0].version <= version {
		delete(alloc.grants, node)
		return
	}
	if len(g) > 0 {
		alloc.grants[node] = g
	}
}

func (alloc *allocation) setGrant(node string, amount int32, version uint64) {
	if g := alloc.grants[node]; len(g) > 0 && g[len(g)-1].version == version {
		g[len(g)-1].amount = max(amount, g[len(g)-1].amount)
		return
	}
	alloc.grants[node] = append(alloc.grants[node], grant{version, amount})
}

// nodeShare is a node's weight and resulting target in an allocation.
type nodeShare struct {
	node      string
	weight    int64
	target    int32
	remainder int64
	tieBreak  uint64
}

// computeTargets divides the capacity by weight, with the largest-remainder method. Ties are broken by a hash of node
// and name, so that small capacities are spread over the nodes.
func (alloc *allocation) computeTargets(shares []nodeShare) {
	var sum int64
	for _, share := range shares {
		sum += share.weight
	}
	if sum == 0 {
		return
	}
	capacity := alloc.allocatable()
	left := capacity
	for i := range shares {
		share := &shares[i]
		scaled := int64(capacity) * share.weight
		share.target, share.remainder = int32(scaled/sum), scaled%sum
		share.tieBreak = xxhash.Sum64String(share.node + "\x00" + alloc.name)
		left -= share.target
	}
	slices.SortFunc(shares, func(a, b nodeShare) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	for i := range shares {
		if left > 0 && shares[i].weight > 0 {
			shares[i].target++
			left--
		}
	}
}

// rebalance lowers the grants above their targets, and raises those below as far as there is capacity that no node may
// still be using. It returns the nodes whose grants changed.
func (alloc *allocation) rebalance(shares []nodeShare, version uint64) []string {
	alloc.computeTargets(shares)
	var changed []string
	for _, share := range shares {
		if share.target < alloc.current(share.node) {
			alloc.setGrant(share.node, share.target, version)
			changed = append(changed, share.node)
		}
	}
	total := alloc.maxTotal()
	alloc.totalBound = min(alloc.totalBound, total)
	free := alloc.allocatable() - total
	for _, share := range shares {
		// Raising a grant up to the amount that the node may still be using takes no free capacity.
		granted, maxHeld := alloc.current(share.node), alloc.maxHeld(share.node)
		next := min(share.target, maxHeld+max(free, 0))
		if next <= granted {
			continue
		}
		free -= max(next-maxHeld, 0)
		alloc.setGrant(share.node, next, version)
		changed = append(changed, share.node)
	}
	return changed
}
