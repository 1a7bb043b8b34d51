package workerclient_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive a client or a fleet.
func TestMain(m *testing.M) {
	// The worker pool of a stopped fasthttp server takes up to 10 s to end, longer than goleak waits.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}
