package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// recorded takes an answer that nobody reads.
type recorded struct{ header http.Header }

func (r *recorded) Header() http.Header         { return r.header }
func (r *recorded) Write(b []byte) (int, error) { return len(b), nil }
func (r *recorded) WriteHeader(int)             {}

// detached returns a copy of a request that outlives its connection. The body is read in full.
func detached(r *http.Request) *http.Request {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		body = nil
	}
	call := r.Clone(context.Background())
	call.Body = io.NopCloser(bytes.NewReader(body))
	return call
}
