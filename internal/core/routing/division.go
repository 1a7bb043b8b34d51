package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// grant is what a node was given from a version on.
type grant struct {
	version uint64
	amount  int32
}

// division divides an amount among nodes. A node may use the largest of the grants since the version that it has
// settled at, whichever of the answers reached it.
type division struct {
	name     string
	capacity int32
	bound    int32              // what was in use when the capacity was lowered; falls to capacity as the nodes settle
	grants   map[string][]grant // by node, ascending version, never empty
	// A former owner's grants may be in use while inherited. Until then only what nodes reported is divided.
	inherited bool
	adopted   int32
	reported  map[string]bool
}

func newDivision(name string) division {
	return division{name: name, grants: map[string][]grant{}, reported: map[string]bool{}}
}

// adopt lets a node keep what it held of a former owner's grants, as far as the capacity goes.
func (d *division) adopt(node string, amount int32, version uint64) {
	if !d.inherited || d.reported[node] {
		return
	}
	d.reported[node] = true
	if amount = min(amount, d.capacity-d.adopted); amount > 0 {
		d.adopted += amount
		d.set(node, d.current(node)+amount, version)
	}
}

// divisible returns the amount that may be divided now.
func (d *division) divisible() int32 {
	if d.inherited {
		return min(d.adopted, d.capacity)
	}
	return d.capacity
}

// current returns the node's latest grant.
func (d *division) current(node string) int32 {
	if g := d.grants[node]; len(g) > 0 {
		return g[len(g)-1].amount
	}
	return 0
}

// held returns the most that the node may still be using.
func (d *division) held(node string) int32 {
	var most int32
	for _, g := range d.grants[node] {
		most = max(most, g.amount)
	}
	return most
}

// total returns the most that all nodes may still be using.
func (d *division) total() int32 {
	var sum int32
	for node := range d.grants {
		sum += d.held(node)
	}
	return sum
}

// sound reports whether the nodes' use is within the capacity, or within what it was before it was lowered.
func (d *division) sound() bool { return d.total() <= max(d.capacity, d.bound) }

// resize changes the capacity.
func (d *division) resize(capacity int32) {
	if capacity < d.capacity {
		d.bound = d.total()
	}
	d.capacity = capacity
}

// settle drops the grants that ended at or before the version.
func (d *division) settle(node string, version uint64) {
	g := d.grants[node]
	for len(g) > 1 && g[1].version <= version {
		g = g[1:]
	}
	if len(g) == 1 && g[0].amount == 0 && g[0].version <= version {
		delete(d.grants, node)
		return
	}
	if len(g) > 0 {
		d.grants[node] = g
	}
}

func (d *division) set(node string, amount int32, version uint64) {
	if g := d.grants[node]; len(g) > 0 && g[len(g)-1].version == version {
		g[len(g)-1].amount = max(amount, g[len(g)-1].amount)
		return
	}
	d.grants[node] = append(d.grants[node], grant{version, amount})
}

// claim is a node's part in a division.
type claim struct {
	node   string
	weight int64
	amount int32
	rest   int64
	tie    uint64
}

// targets divides the capacity by weight. Ties are broken by a hash of node and name, so that small capacities are
// spread over the nodes.
func (d *division) targets(claims []claim) {
	var sum int64
	for _, c := range claims {
		sum += c.weight
	}
	if sum == 0 {
		return
	}
	capacity := d.divisible()
	left := capacity
	for i := range claims {
		c := &claims[i]
		share := int64(capacity) * c.weight
		c.amount, c.rest = int32(share/sum), share%sum
		c.tie = xxhash.Sum64String(c.node + "\x00" + d.name)
		left -= c.amount
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(b.rest, a.rest), cmp.Compare(a.tie, b.tie))
	})
	for i := range claims {
		if left > 0 && claims[i].weight > 0 {
			claims[i].amount++
			left--
		}
	}
}

// rebalance lowers the grants above their targets, and raises those below by what nobody may still be using. It
// returns the nodes whose grants changed.
func (d *division) rebalance(claims []claim, version uint64) []string {
	d.targets(claims)
	var changed []string
	for _, c := range claims {
		if c.amount < d.current(c.node) {
			d.set(c.node, c.amount, version)
			changed = append(changed, c.node)
		}
	}
	total := d.total()
	d.bound = min(d.bound, total)
	free := d.divisible() - total
	for _, c := range claims {
		// A raise up to what the node may use anyway costs nothing.
		now, held := d.current(c.node), d.held(c.node)
		to := min(c.amount, held+max(free, 0))
		if to <= now {
			continue
		}
		free -= max(to-held, 0)
		d.set(c.node, to, version)
		changed = append(changed, c.node)
	}
	return changed
}
