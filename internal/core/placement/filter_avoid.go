package placement

// rejectAvoid rejects the workers that the request excludes, such as those on which the task failed.
func rejectAvoid(w *Worker, r *Request) bool { return r.Avoid[w.ID] }
