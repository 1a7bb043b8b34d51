package placement

// rejectQuarantine rejects workers that are quarantined because all tasks fail on them.
func rejectQuarantine(w *Worker, _ *Request) bool { return w.Quarantined }
