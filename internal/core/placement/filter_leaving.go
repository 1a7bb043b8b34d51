package placement

// rejectLeaving rejects workers that the host list shows as leaving.
func rejectLeaving(w *Worker, _ *Request) bool { return w.Leaving }
