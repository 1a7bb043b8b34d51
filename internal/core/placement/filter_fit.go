package placement

// rejectFit keeps a worker from being given more than its capacity.
func rejectFit(w *Worker, r *Request) bool {
	return !r.Resources.Fits(w.Capacity.Sub(w.Reserved))
}
