package partition

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed and the length of its runs, unless the command line gives one. More seeds are run with
//
//	go test ./internal/core/partition -run Cell -rapid.seed N -rapid.checks M
func TestMain(m *testing.M) {
	flag.Parse()
	for name, fixed := range map[string][2]string{"rapid.seed": {"0", "7"}, "rapid.steps": {"30", "90"}} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == fixed[0] {
			if err := f.Value.Set(fixed[1]); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
