package placement

// rejectQuarantine rejects workers that are quarantined because jobs fail on them that succeed elsewhere.
func rejectQuarantine(w *Worker, _ *Request) bool { return w.Quarantined }
