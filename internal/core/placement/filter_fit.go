package placement

// rejectFit rejects workers without enough free resources for the request, so that none exceeds its capacity.
func rejectFit(w *Worker, r *Request) bool {
	return !r.Resources.Fits(w.Capacity.Sub(w.Reserved))
}
