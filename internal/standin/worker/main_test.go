package worker

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of randomised tests and fails if goroutines outlive a worker.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m,
		// fasthttp keeps one goroutine per process for the date header.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		// The worker pool of a stopped fasthttp server ends after up to 10 s, longer than goleak waits.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}
