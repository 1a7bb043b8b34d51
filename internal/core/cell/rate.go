package cell

// tokenBucket classifies a team's jobs as within or above its submission rate, which is the team's weight in jobs per
// second. Jobs above that rate are accepted and served after the jobs within it.
type tokenBucket struct {
	weight float64
	tokens float64
	lastMS int64 // Unix milliseconds of the last job
}

// burstSeconds is the capacity of a bucket in seconds of the team's rate.
const burstSeconds = 1.5

// bucketOf returns a team's token bucket. A bucket starts full, also after the team's weight has changed.
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

// allow takes a token for a job and reports whether the job is within the rate. A team without a weight has no limit.
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
