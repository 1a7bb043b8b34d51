package placement

// scorePacking prefers the best fit: the worker with the highest utilization and the most balanced free resources after
// the placement. Resources that are free while another is exhausted are stranded, for example accelerators on a worker
// without free memory.
func scorePacking(s *scoreInput) float64 {
	sum, count, low, high := 0.0, 0, 1.0, 0.0
	for i, has := range s.present {
		if has {
			sum += s.free[i]
			count++
			low, high = min(low, s.free[i]), max(high, s.free[i])
		}
	}
	if count == 0 {
		return 0
	}
	full := 1 - sum/float64(count)
	stranded := high - low
	return (full + 1 - stranded) / 2
}
