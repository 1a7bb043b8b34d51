package workerproc

import (
	"encoding/json"
	"net/http"
	"time"
)

// handler returns the worker's HTTP interface.
func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	for path, execute := range map[string]func(request) response{"/run-start": w.start, "/run-stop": w.stop, "/pace": w.pace, "/hold": w.renew} {
		mux.HandleFunc("POST "+path, func(out http.ResponseWriter, r *http.Request) { w.serve(out, r, path, execute) })
	}
	return mux
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request, path string, execute func(request) response) {
	if r.Header.Get("Expect-Instance") != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	fault := w.takeFault(path)
	switch fault.Op {
	case RejectCalls:
		out.WriteHeader(fault.Status)
		return
	case DelayExecution:
		req.late = true
		time.AfterFunc(fault.Delay, func() { w.execute(req, execute) })
		<-r.Context().Done()
		return
	}
	answer := w.execute(req, execute)
	switch fault.Op {
	case LoseResponses:
		panic(http.ErrAbortHandler)
	case DelayResponses:
		time.Sleep(fault.Delay)
	}
	if path == "/hold" && answer.status == http.StatusOK {
		answer = w.awaitEnd(r, req)
	}
	write(out, answer)
}

func (w *worker) execute(req request, execute func(request) response) response {
	w.mu.Lock()
	defer w.mu.Unlock()
	return execute(req)
}

// maxWait is the longest time for which a renewal may wait for an end.
const maxWait = 2 * time.Second

// awaitEnd waits until an end can be listed, and returns the inventory.
func (w *worker) awaitEnd(r *http.Request, req request) response {
	w.mu.Lock()
	defer w.mu.Unlock()
	if wait := min(maxWait, time.Duration(req.WaitMS)*time.Millisecond); len(w.ends) == 0 && wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	return w.inventory()
}

func write(out http.ResponseWriter, r response) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(r.status)
	if r.body == nil {
		return
	}
	if err := json.NewEncoder(out).Encode(r.body); err != nil {
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
}
