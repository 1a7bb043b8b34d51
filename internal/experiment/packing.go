package experiment

import (
	"cmp"
	"slices"

	"sequoiastall/internal/core/resource"
)

// packingItem is a task in the offline packing problem.
type packingItem struct {
	team string
	size resource.Vector
}

// bestFitDecreasing returns the total size of the items that best fit decreasing places on empty workers within the
// teams' limits. It gets all sizes in advance and may place every item on any worker, which a scheduler can't.
func bestFitDecreasing(items []packingItem, workers int, limits map[string]resource.Vector) resource.Vector {
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b packingItem) int {
		return cmp.Or(cmp.Compare(b.size.DominantShare(workerCapacity), a.size.DominantShare(workerCapacity)),
			cmp.Compare(b.size.Slots, a.size.Slots), cmp.Compare(b.size.MemoryMB, a.size.MemoryMB),
			cmp.Compare(b.size.MilliCPU, a.size.MilliCPU), compareStrings(a.team, b.team))
	})
	free := make([]resource.Vector, workers)
	for i := range free {
		free[i] = workerCapacity
	}
	remaining := map[string]resource.Vector{}
	for team, limit := range limits {
		remaining[team] = limit
	}
	var total resource.Vector
	unplaceable := map[resource.Vector]bool{} // sizes that fit on no worker
	for _, item := range items {
		if limit, limited := remaining[item.team]; unplaceable[item.size] || (limited && !item.size.Fits(limit)) {
			continue
		}
		best, bestRest := -1, 0.0
		for i := range free {
			if !item.size.Fits(free[i]) {
				continue
			}
			if rest := sumOfFractions(free[i].Sub(item.size)); best < 0 || rest < bestRest {
				best, bestRest = i, rest
			}
		}
		if best < 0 {
			unplaceable[item.size] = true
			continue
		}
		free[best] = free[best].Sub(item.size)
		if limit, limited := remaining[item.team]; limited {
			remaining[item.team] = limit.Sub(item.size)
		}
		total = total.Add(item.size)
	}
	return total
}

func sumOfFractions(v resource.Vector) float64 {
	return float64(v.Slots)/float64(workerCapacity.Slots) + float64(v.MilliCPU)/float64(workerCapacity.MilliCPU) +
		float64(v.MemoryMB)/float64(workerCapacity.MemoryMB)
}
