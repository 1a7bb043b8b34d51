package partition

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, unless the command line gives one. More seeds are run with
//
//	go test ./internal/core/partition -run Cell -rapid.seed N -rapid.checks M
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("7"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
