package platform

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of randomised tests and fails if goroutines outlive a stand-in.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}
