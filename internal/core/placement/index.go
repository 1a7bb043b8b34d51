package placement

import "math/bits"

const (
	exactSlots = 8              // smaller numbers of free slots have a row each; from here on, one row per power of 2
	slotRows   = exactSlots + 4 // the last row holds 64 and more
	accelRows  = 8              // free accelerators; the last row holds 7 and more
	none       = int32(-1)      // index that stands for no worker, and root of an empty treap
)

// index finds the workers of one pool by free resources. The numbers of free slots and accelerators are small integers
// and select a row. A row is a treap ordered by free memory, and each node stores the largest free CPU of its subtree. A
// search for "memory at least m and CPU at least c" therefore prunes exactly and costs O(log n) per row.
type index struct {
	root [accelRows][slotRows]int32
	used [accelRows]uint64 // bit s is set if row s isn't empty
}

func newIndex() *index {
	x := &index{}
	for a := range x.root {
		for s := range x.root[a] {
			x.root[a][s] = none
		}
	}
	return x
}

// slotRow returns the row for a number of free slots.
func slotRow(slots int64) int {
	if slots <= exactSlots {
		return int(max(0, slots))
	}
	return min(slotRows-1, exactSlots+bits.Len64(uint64(slots))-bits.Len64(exactSlots))
}

// accelRow returns the row for a number of free accelerators.
func accelRow(accelerators int64) int { return int(max(0, min(accelerators, accelRows-1))) }

// treapNode is a worker's node in the treap of its row.
type treapNode struct {
	left, right int32
	priority    uint32
	cpu, memory int64 // free
	maxCPU      int64 // in the subtree, like maxMemory
	maxMemory   int64
	accel, slot uint8 // row
	indexed     bool
}

// treapPriority hashes a worker's index (Murmur3 finalizer), so that equal sets of workers form equal treaps.
func treapPriority(n int32) uint32 {
	h := uint32(n) + 0x9e3779b9
	h ^= h >> 16
	h *= 0x85ebca6b
	h ^= h >> 13
	h *= 0xc2b2ae35
	return h ^ h>>16
}

// less orders treap nodes by free memory, and by worker index for equal memory.
func (c *Cluster) less(a, b int32) bool {
	x, y := &c.treapNodes[a], &c.treapNodes[b]
	if x.memory != y.memory {
		return x.memory < y.memory
	}
	return a < b
}

// updateSubtreeMax recomputes the maxima of node n from its children.
func (c *Cluster) updateSubtreeMax(n int32) {
	x := &c.treapNodes[n]
	x.maxCPU, x.maxMemory = x.cpu, x.memory
	if x.left != none {
		x.maxCPU = max(x.maxCPU, c.treapNodes[x.left].maxCPU)
	}
	if x.right != none {
		x.maxCPU = max(x.maxCPU, c.treapNodes[x.right].maxCPU)
		x.maxMemory = c.treapNodes[x.right].maxMemory
	}
}

// split splits the treap at root into the nodes that sort before key and the rest.
func (c *Cluster) split(root, key int32) (before, rest int32) {
	if root == none {
		return none, none
	}
	x := &c.treapNodes[root]
	if c.less(root, key) {
		x.right, rest = c.split(x.right, key)
		c.updateSubtreeMax(root)
		return root, rest
	}
	before, x.left = c.split(x.left, key)
	c.updateSubtreeMax(root)
	return before, root
}

// merge joins two treaps, of which all nodes of a sort before those of b, and returns the root.
func (c *Cluster) merge(a, b int32) int32 {
	if a == none {
		return b
	}
	if b == none {
		return a
	}
	if c.treapNodes[a].priority > c.treapNodes[b].priority {
		c.treapNodes[a].right = c.merge(c.treapNodes[a].right, b)
		c.updateSubtreeMax(a)
		return a
	}
	c.treapNodes[b].left = c.merge(a, c.treapNodes[b].left)
	c.updateSubtreeMax(b)
	return b
}

// insert adds node n to the treap at root and returns the new root.
func (c *Cluster) insert(root, n int32) int32 {
	if root == none || c.treapNodes[n].priority > c.treapNodes[root].priority {
		c.treapNodes[n].left, c.treapNodes[n].right = c.split(root, n)
		c.updateSubtreeMax(n)
		return n
	}
	if c.less(n, root) {
		c.treapNodes[root].left = c.insert(c.treapNodes[root].left, n)
	} else {
		c.treapNodes[root].right = c.insert(c.treapNodes[root].right, n)
	}
	c.updateSubtreeMax(root)
	return root
}

// erase removes node n from the treap at root and returns the new root.
func (c *Cluster) erase(root, n int32) int32 {
	if root == n {
		return c.merge(c.treapNodes[n].left, c.treapNodes[n].right)
	}
	if c.less(n, root) {
		c.treapNodes[root].left = c.erase(c.treapNodes[root].left, n)
	} else {
		c.treapNodes[root].right = c.erase(c.treapNodes[root].right, n)
	}
	c.updateSubtreeMax(root)
	return root
}

// unindex removes worker n from its pool's index.
func (c *Cluster) unindex(n int32) {
	x := &c.treapNodes[n]
	if !x.indexed {
		return
	}
	ix := c.entries[n].pool.index
	root := &ix.root[x.accel][x.slot]
	*root = c.erase(*root, n)
	if *root == none {
		ix.used[x.accel] &^= 1 << x.slot
	}
	x.indexed = false
}

// reindex moves worker n to the row for its free resources. Leaving and quarantined workers aren't indexed.
func (c *Cluster) reindex(n int32) {
	c.unindex(n)
	e := &c.entries[n]
	if e.Leaving || e.Quarantined {
		return
	}
	free := e.free()
	accel, slot := accelRow(free.Accelerators), slotRow(free.Slots)
	c.treapNodes[n] = treapNode{
		left: none, right: none, priority: treapPriority(n), cpu: free.MilliCPU, memory: free.MemoryMB,
		maxCPU: free.MilliCPU, maxMemory: free.MemoryMB, accel: uint8(accel), slot: uint8(slot), indexed: true,
	}
	ix := e.pool.index
	ix.root[accel][slot] = c.insert(ix.root[accel][slot], n)
	ix.used[accel] |= 1 << slot
}

// search collects candidates for one request.
type search struct {
	request    *Request
	worstFit   bool // most free resources first, instead of least
	want       int  // candidates still wanted
	budget     int  // workers passing the filters that may still be examined in the current row
	spread     bool // at most one candidate per rack
	visited    int  // workers whose free resources were compared
	candidates []int32
}

// searchIndex searches the rows of an index, those with the least or the most free resources first, until it has enough
// candidates. It finds a worker if one passes the filters.
func (c *Cluster) searchIndex(ix *index, s *search) {
	minAccel := accelRow(s.request.Resources.Accelerators)
	minSlot := slotRow(s.request.Resources.Slots)
	for i := minAccel; i < accelRows; i++ {
		accel := i
		if s.worstFit {
			accel = accelRows - 1 - (i - minAccel)
		}
		for rows := ix.used[accel] >> minSlot << minSlot; rows != 0 && s.want > 0; {
			slot := bits.TrailingZeros64(rows)
			if s.worstFit {
				slot = bits.Len64(rows) - 1
			}
			rows &^= 1 << slot
			s.budget = rowCandidateLimit
			c.searchRow(ix.root[accel][slot], s)
		}
	}
}

// searchRow visits the nodes of a row that have enough memory and CPU, in the order of free memory.
func (c *Cluster) searchRow(n int32, s *search) {
	for n != none && s.want > 0 && s.budget > 0 {
		x := &c.treapNodes[n]
		s.visited++
		if x.maxCPU < s.request.Resources.MilliCPU || x.maxMemory < s.request.Resources.MemoryMB {
			return
		}
		if x.memory < s.request.Resources.MemoryMB {
			n = x.right
			continue
		}
		first, last := x.left, x.right
		if s.worstFit {
			first, last = last, first
		}
		c.searchRow(first, s)
		if s.want > 0 && s.budget > 0 && x.cpu >= s.request.Resources.MilliCPU {
			c.tryAdd(n, s)
		}
		n = last
	}
}

// tryAdd adds worker n to the candidates if it passes every filter. A worker that passes but isn't added, because it is
// a candidate already or its rack has one, still counts against the budget, which bounds the search.
func (c *Cluster) tryAdd(n int32, s *search) {
	e := &c.entries[n]
	if rejectedBy(&e.Worker, s.request) != "" {
		return
	}
	s.budget--
	if e.lastSearch == c.searchSeq || (s.spread && e.rack.lastSearch == c.searchSeq) {
		return
	}
	e.lastSearch, e.rack.lastSearch = c.searchSeq, c.searchSeq
	s.want--
	s.candidates = append(s.candidates, n)
}

// searchRacks adds one worker from each of the next few racks. The index doesn't distinguish racks, so a service in a
// large partition would otherwise have candidates in few of them.
func (c *Cluster) searchRacks(s *search) {
	count := len(c.racks)
	start := int(c.searchSeq%uint64(count)) * rackSampleSize
	for i := range min(rackSampleSize, count) {
		for _, n := range c.racks[(start+i)%count].workers {
			s.visited++
			s.budget, s.want = 1, 1
			if c.tryAdd(n, s); s.budget == 0 {
				break
			}
		}
	}
}
