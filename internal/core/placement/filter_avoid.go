package placement

// rejectAvoid keeps a task from the workers on which it failed.
func rejectAvoid(w *Worker, r *Request) bool { return r.Avoid[w.ID] }
