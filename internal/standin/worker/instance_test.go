package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/rpc/workerpb"
)

// startInstance starts a service instance and returns its owner and base URL.
func startInstance(t *testing.T, w *Worker, concurrency int32) (*owner, string) {
	t.Helper()
	t.Cleanup(func() {
		w.Stop()
		http.DefaultClient.CloseIdleConnections()
	})
	r, err := w.Acquire(t.Context(), &workerpb.AcquireRequest{Node: "a", ControlTtlMs: 60_000, TaskTtlMs: 60_000})
	assert.NilError(t, err)
	a := &owner{t: t, w: w, node: "a", token: r.Token}
	out := a.sync(&workerpb.SyncRequest{Starts: []*workerpb.StartGroup{{
		Job: "s", Service: true, Concurrency: concurrency, Tasks: []*workerpb.TaskStart{taskStart(0, 1)},
	}}})
	assert.Equal(t, out.Events[0].Task.State, workerpb.TaskState_RUNNING)
	return a, "http://" + out.Events[0].Task.Address
}

// post sends a request; delay is in milliseconds.
func post(t *testing.T, url, id, delay string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/plans/7", strings.NewReader("grease"))
	assert.NilError(t, err)
	r.Header.Set(HeaderRequestID, id)
	r.Header.Set(HeaderDelay, delay)
	return http.DefaultClient.Do(r)
}

// waitOpenRequests waits until the instance has n open requests.
func waitOpenRequests(t *testing.T, w *Worker, n int64) {
	t.Helper()
	w.mu.Lock()
	i := w.running[taskID("s", 0)].instance
	w.mu.Unlock()
	for i.openRequests.Load() != n {
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}

// Guards against responses that can't be matched to their request, and against executed requests that aren't counted.
func TestInstanceEchoes(t *testing.T) {
	w := testWorker(Options{})
	_, url := startInstance(t, w, 2)
	r, err := post(t, url, "r1", "0")
	assert.NilError(t, err)
	defer r.Body.Close()
	var e Echo
	assert.NilError(t, json.NewDecoder(r.Body).Decode(&e))
	assert.DeepEqual(t, e, Echo{Instance: "s/0#1", Worker: "w", Method: "POST", Path: "/plans/7", Body: "grease"})

	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	q.Header.Set(HeaderRequestID, "r1")
	q.Header.Set(HeaderFail, "1")
	failed, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	failed.Body.Close()
	assert.Equal(t, failed.StatusCode, http.StatusInternalServerError)
	assert.DeepEqual(t, w.Log().Requests(), map[string]int{"r1": 2})

	bad, err := post(t, url, "r2", "soon")
	assert.NilError(t, err)
	bad.Body.Close()
	assert.Equal(t, bad.StatusCode, http.StatusBadRequest)
	assert.Equal(t, w.Log().Requests()["r2"], 0)
}

// Guards against an instance that accepts more requests than its concurrency, or that reports not_run for a request
// that it ran.
func TestInstanceConcurrency(t *testing.T) {
	w := testWorker(Options{})
	a, url := startInstance(t, w, 2)
	interrupted := make(chan error, 2)
	for i := range 2 {
		go func() {
			r, err := post(t, url, fmt.Sprintf("r%d", i), "60000")
			if err == nil {
				r.Body.Close()
			}
			interrupted <- err
		}()
	}
	waitOpenRequests(t, w, 2)
	r, err := post(t, url, "excess", "0")
	assert.NilError(t, err)
	r.Body.Close()
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, r.Header.Get(HeaderOutcome), "not_run")
	assert.Equal(t, w.Log().Requests()["excess"], 0)

	a.sync(commandRequest("s", workerpb.Action_STOP))
	for range 2 {
		assert.Assert(t, <-interrupted != nil, "a request outlived the stop of its instance")
	}
}

// Guards against a drain that interrupts a request, and against one that never ends.
func TestDrainFinishesOpenRequests(t *testing.T) {
	w := testWorker(Options{})
	a, url := startInstance(t, w, 2)
	status := make(chan int, 1)
	go func() {
		r, err := post(t, url, "r", "300")
		if err != nil {
			status <- 0
			return
		}
		r.Body.Close()
		status <- r.StatusCode
	}()
	waitOpenRequests(t, w, 1)
	a.sync(commandRequest("s", workerpb.Action_DRAIN))
	out := a.sync(&workerpb.SyncRequest{WaitMs: 30_000})
	assert.Equal(t, out.Events[0].Task.State, workerpb.TaskState_STOPPED)
	assert.Equal(t, <-status, http.StatusOK)
	_, err := post(t, url, "late", "0")
	assert.Assert(t, err != nil)
}

// Guards against connections above the worker's limit, and against a silent or frozen worker that still responds.
func TestInstanceConnectionFaults(t *testing.T) {
	w := testWorker(Options{Connections: 1})
	_, url := startInstance(t, w, 2)
	// Each client has its own connections; a further request of a client reuses its idle connection.
	try := func(c *http.Client, limit time.Duration) (int, error) {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		assert.NilError(t, err)
		out, err := c.Do(r)
		if err != nil {
			return 0, err
		}
		defer out.Body.Close()
		_, err = io.Copy(io.Discard, out.Body) // an unread body would close the connection
		return out.StatusCode, err
	}
	first, second := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	defer first.CloseIdleConnections()
	defer second.CloseIdleConnections()
	code, err := try(first, time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, code, http.StatusOK)
	_, err = try(second, time.Minute)
	assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded), "%v", err)

	w.Freeze(true)
	answered := make(chan error, 1)
	go func() {
		_, err := try(first, time.Minute)
		answered <- err
	}()
	select {
	case err := <-answered:
		t.Fatalf("a frozen worker answered: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	w.Freeze(false)
	assert.NilError(t, <-answered)

	w.SilenceConnections()
	_, err = try(first, 100*time.Millisecond)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
