package platform_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive a client or a stand-in.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
