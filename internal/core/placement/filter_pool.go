package placement

// rejectPool keeps requests for a pool from the workers of others.
func rejectPool(w *Worker, r *Request) bool { return r.Pool != "" && w.Pool != r.Pool }
