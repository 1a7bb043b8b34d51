package placement

// scoreWaiting prefers workers whose scarcest resource stays most free: dispersed work contends least, and the next
// task of an urgent job finds room on many workers.
func scoreWaiting(s *scoring) float64 {
	low, any := 1.0, false
	for i, has := range s.has {
		if has {
			low, any = min(low, s.free[i]), true
		}
	}
	if !any {
		return 0
	}
	return low
}
