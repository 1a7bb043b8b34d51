package placement

import "sequoiastall/internal/core/resource"

// Names of the score plugins. Decisions report them as reasons.
const (
	ScorePacking = "packing"
	ScoreSpread  = "spread"
	ScoreWaiting = "waiting"
)

// spreadWeight is the weight for spreading a service over racks. It equals the largest policy weight, because the loss of
// a rack must not take down a service under any policy.
const spreadWeight = 1.0

// scoreInput holds the properties of a candidate that the score plugins use.
type scoreInput struct {
	free      [resourceKinds]float64 // fraction of each resource that is still free after the placement
	present   [resourceKinds]bool    // whether the worker has the resource
	instances int                    // of the request's service in the worker's rack
}

const resourceKinds = 4

func newScoreInput(w *Worker, r *Request, instances int) scoreInput {
	s := scoreInput{instances: instances}
	free, capacity := components(w.Capacity.Sub(w.Reserved).Sub(r.Resources)), components(w.Capacity)
	for i := range capacity {
		if capacity[i] > 0 {
			s.present[i] = true
			s.free[i] = max(0, float64(free[i])/float64(capacity[i]))
		}
	}
	return s
}

func components(v resource.Vector) [resourceKinds]int64 {
	return [...]int64{v.Slots, v.MilliCPU, v.MemoryMB, v.Accelerators}
}

// score returns the weighted mean of the plugins, from 0 to 1, and the plugin that contributed most.
func (p Policy) score(s *scoreInput, service bool) (float64, string) {
	packing, waiting, spread := p.Packing*scorePacking(s), p.Waiting*scoreWaiting(s), 0.0
	total := p.Packing + p.Waiting
	if service {
		spread = spreadWeight * scoreSpread(s)
		total += spreadWeight
	}
	reason := ScorePacking
	if waiting > packing {
		reason = ScoreWaiting
	}
	if spread > max(packing, waiting) {
		reason = ScoreSpread
	}
	if total == 0 {
		return 0, reason
	}
	return (packing + waiting + spread) / total, reason
}
