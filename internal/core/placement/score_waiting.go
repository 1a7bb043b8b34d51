package placement

// scoreWaiting serves short waiting times: it prefers workers that keep the most of their scarcest resource free. Tasks
// that are spread out contend least, and the next task of an urgent job fits on many workers.
func scoreWaiting(s *scoreInput) float64 {
	low, any := 1.0, false
	for i, has := range s.present {
		if has {
			low, any = min(low, s.free[i]), true
		}
	}
	if !any {
		return 0
	}
	return low
}
