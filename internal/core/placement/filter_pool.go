package placement

// rejectPool rejects workers outside the pool that the request names.
func rejectPool(w *Worker, r *Request) bool { return r.Pool != "" && w.Pool != r.Pool }
