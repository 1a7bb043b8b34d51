package placement

import "sequoiastall/internal/core/resource"

// Names of the score plugins, which are the reasons of decisions.
const (
	ScorePacking = "packing"
	ScoreSpread  = "spread"
	ScoreWaiting = "waiting"
)

// spreadWeight is the weight of the spread of services over racks. It equals the largest policy weight because the loss
// of a rack must not take down a service, whatever the policy.
const spreadWeight = 1.0

// scoring is what the score plugins see of a candidate.
type scoring struct {
	free      [resourceKinds]float64 // fraction of each resource that stays free
	has       [resourceKinds]bool    // the worker has the resource at all
	instances int                    // of the request's service in the worker's rack
}

const resourceKinds = 4

func newScoring(w *Worker, r *Request, instances int) scoring {
	s := scoring{instances: instances}
	free, capacity := amounts(w.Capacity.Sub(w.Reserved).Sub(r.Resources)), amounts(w.Capacity)
	for i := range capacity {
		if capacity[i] > 0 {
			s.has[i] = true
			s.free[i] = max(0, float64(free[i])/float64(capacity[i]))
		}
	}
	return s
}

func amounts(v resource.Vector) [resourceKinds]int64 {
	return [...]int64{v.Slots, v.MilliCPU, v.MemoryMB, v.Accelerators}
}

// score returns the weighted mean of the plugins, from 0 to 1, and the plugin that contributed most.
func (p Policy) score(s *scoring, service bool) (float64, string) {
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
