package placement

// rejectQuarantine keeps new work from workers that fail everything.
func rejectQuarantine(w *Worker, _ *Request) bool { return w.Quarantined }
