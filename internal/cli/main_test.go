package cli

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive a command.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
