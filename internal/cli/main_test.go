package cli

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that leak from commands. Two goroutines of fasthttp, which serves the instances of a
// cell, are excepted because no call ends them.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// fasthttp runs one goroutine per process that updates the date header.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		// The worker pool of a stopped fasthttp server takes up to 10 s to end, which is longer than goleak waits.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}
