package cell

// rate counts the jobs that a team hands in against its weight, which is also the number of jobs a second that it may hand
// in. Jobs beyond that are served after all others.
type tokenBucket struct {
	weight float64
	tokens float64
	lastMS int64 // Unix milliseconds of the last job
}

// burstSeconds is how long a team may save up its rate.
const burstSeconds = 1.5

func (s *Scheduler) bucketOf(team string) *tokenBucket {
	b := s.buckets[team]
	if b == nil {
		b = &tokenBucket{}
		s.buckets[team] = b
	}
	weight := 0.0
	if t := s.config.Team(team); t != nil {
		weight = t.Weight
	}
	if b.weight != weight {
		b.weight, b.tokens = weight, weight*burstSeconds
	}
	return b
}

// take takes a job into account and reports whether it lies within the rate. A team without a weight has no bound.
func (b *tokenBucket) allow(acceptedMS int64) bool {
	if b.weight <= 0 {
		return true
	}
	if acceptedMS > b.lastMS {
		b.tokens = min(b.weight*burstSeconds, b.tokens+b.weight*float64(acceptedMS-b.lastMS)/1000)
		b.lastMS = acceptedMS
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
