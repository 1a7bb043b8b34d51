package leased

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"
)

// Advice describes the behaviour of an advice service towards one node.
type Advice struct {
	// Admit returns a ticket for a step on a worker, and whether the worker may run the step.
	Admit      func(step, worker string) (ticket string, admitted bool)
	Validity   time.Duration // of tickets
	Decision   time.Duration // that each call takes
	PerWorker  time.Duration // that each worker in a call adds
	MaxWaiting int           // calls that may wait for the one that is being handled; more are refused. 0: any number
}

// NewAdviceServer starts an advice service that approves every worker for every step at once.
func NewAdviceServer() *httptest.Server {
	admitAll := func(_, worker string) (string, bool) { return "t-" + worker, true }
	return Advice{Admit: admitAll, Validity: 3 * time.Second}.NewServer()
}

// NewServer starts an advice service. It handles one call at a time, so that a test starts one for each node.
func (a Advice) NewServer() *httptest.Server {
	handling := make(chan struct{}, 1)
	waiting := make(chan struct{}, max(1, a.MaxWaiting))
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > maxAdvisedWorkers {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if a.MaxWaiting > 0 {
			select {
			case waiting <- struct{}{}:
			default:
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
		}
		handling <- struct{}{}
		if a.MaxWaiting > 0 {
			<-waiting
		}
		time.Sleep(a.Decision + time.Duration(len(body.Workers))*a.PerWorker)
		<-handling
		writeJSON(w, http.StatusOK, map[string]any{"good": a.admitted(body.Step, body.Workers), "validity_ms": a.Validity.Milliseconds()})
	}))
}

// maxAdvisedWorkers bounds the workers in a call.
const maxAdvisedWorkers = 100

func (a Advice) admitted(step string, workers []string) [][2]string {
	good := [][2]string{}
	for _, id := range workers {
		if ticket, ok := a.Admit(step, id); ok {
			good = append(good, [2]string{id, ticket})
		}
	}
	return good
}
