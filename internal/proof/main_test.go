package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"

	"sequoiastall/internal/standin/workerproc"
)

// binary is the sequoiastall binary that all tests run.
var binary string

// TestMain builds the binary once, and fails if goroutines outlive the tests. A process that a test starts as a worker runs
// that instead.
func TestMain(m *testing.M) {
	if workerproc.IsWorker() {
		os.Exit(workerproc.Main())
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sequoiastall-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create temporary directory:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "sequoiastall")
	args := []string{"build", "-o", binary}
	if os.Getenv("PROOF_RACE") != "" {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "sequoiastall/cmd/sequoiastall")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build sequoiastall: %v\n%s", err, out)
		return 1
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}
