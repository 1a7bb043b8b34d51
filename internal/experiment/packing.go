package experiment

import (
	"cmp"
	"slices"

	"sequoiastall/internal/core/resource"
)

// piece is a task as the offline bound sees it.
type piece struct {
	team string
	size resource.Vector
}

// packable returns how much of the pieces best fit decreasing places on empty workers, within the teams' limits. It
// knows all sizes in advance and may put every piece anywhere, which a scheduler can't.
func packable(pieces []piece, workers int, limits map[string]resource.Vector) resource.Vector {
	pieces = slices.Clone(pieces)
	slices.SortStableFunc(pieces, func(a, b piece) int {
		return cmp.Or(cmp.Compare(b.size.DominantShare(workerCapacity), a.size.DominantShare(workerCapacity)),
			cmp.Compare(b.size.Slots, a.size.Slots), cmp.Compare(b.size.MemoryMB, a.size.MemoryMB),
			cmp.Compare(b.size.MilliCPU, a.size.MilliCPU), compareStrings(a.team, b.team))
	})
	free := make([]resource.Vector, workers)
	for i := range free {
		free[i] = workerCapacity
	}
	left := map[string]resource.Vector{}
	for team, limit := range limits {
		left[team] = limit
	}
	var total resource.Vector
	full := map[resource.Vector]bool{} // sizes that fitted nowhere
	for _, p := range pieces {
		if limit, limited := left[p.team]; full[p.size] || (limited && !p.size.Fits(limit)) {
			continue
		}
		best, bestLeft := -1, 0.0
		for i := range free {
			if !p.size.Fits(free[i]) {
				continue
			}
			if rest := sumOfShares(free[i].Sub(p.size)); best < 0 || rest < bestLeft {
				best, bestLeft = i, rest
			}
		}
		if best < 0 {
			full[p.size] = true
			continue
		}
		free[best] = free[best].Sub(p.size)
		if limit, limited := left[p.team]; limited {
			left[p.team] = limit.Sub(p.size)
		}
		total = total.Add(p.size)
	}
	return total
}

func sumOfShares(v resource.Vector) float64 {
	return float64(v.Slots)/float64(workerCapacity.Slots) + float64(v.MilliCPU)/float64(workerCapacity.MilliCPU) +
		float64(v.MemoryMB)/float64(workerCapacity.MemoryMB)
}
