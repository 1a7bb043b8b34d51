package workerproc

import (
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if IsWorker() {
		os.Exit(Main())
	}
	goleak.VerifyTestMain(m)
}
