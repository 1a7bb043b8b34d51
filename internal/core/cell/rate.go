package cell

// rate counts the jobs that a team hands in against its weight, which is also the number of jobs a second that it may hand
// in. Jobs beyond that are served after all others.
type rate struct {
	weight float64
	tokens float64
	lastMS int64 // Unix milliseconds of the last job
}

// burstSeconds is how long a team may save up its rate.
const burstSeconds = 1.5

func (s *Scheduler) rateOf(team string) *rate {
	r := s.rates[team]
	if r == nil {
		r = &rate{}
		s.rates[team] = r
	}
	weight := 0.0
	if t := s.config.Team(team); t != nil {
		weight = t.Weight
	}
	if r.weight != weight {
		r.weight, r.tokens = weight, weight*burstSeconds
	}
	return r
}

// take takes a job into account and reports whether it lies within the rate. A team without a weight has no bound.
func (r *rate) take(acceptedMS int64) bool {
	if r.weight <= 0 {
		return true
	}
	if acceptedMS > r.lastMS {
		r.tokens = min(r.weight*burstSeconds, r.tokens+r.weight*float64(acceptedMS-r.lastMS)/1000)
		r.lastMS = acceptedMS
	}
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
