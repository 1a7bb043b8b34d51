package cli

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive a command, but for two of the library that serves the instances of a
// cell and that no call ends.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// fasthttp keeps one goroutine per process for the date header.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		// fasthttp's pool of a stopped server ends after up to 10 s, longer than goleak waits.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}
