package placement

// scorePacking prefers the best fit: the worker that ends up fullest and whose remaining resources are in proportion.
// Resources that stay free while another is used up are stranded, for instance accelerators beside full memory.
func scorePacking(s *scoring) float64 {
	sum, count, low, high := 0.0, 0, 1.0, 0.0
	for i, has := range s.has {
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
