//go:build review

// Command standin shows single cases of the review: it starts nodes of the project as separate processes with stand-ins of
// all that surrounds them, brings about a disruption unless TROUBLE=0, and judges one rule by what the stand-ins saw. It
// is built by review/build.sh and called by the run.sh of a case, in the root of the repository.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken string // what broke the rule, empty if it held
	err    error  // why the case couldn't run
}

var cases = map[string]func(w *world, trouble bool) verdict{
	"restart-lease":     restartLease,
	"draining-cut":      drainingCut,
	"cancel-compaction": cancelCompaction,
	"gang-crashes":      gangCrashes,
	"route-removed":     routeRemoved,
	"only-worker":       onlyWorker,
	"other-kind":        otherKind,
	"late-crash":        lateCrash,
}

func main() { os.Exit(execute()) }

func execute() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	time.AfterFunc(115*time.Second, func() { os.Exit(2) }) // the nodes end with this process
	w := newWorld(record)
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v", os.Args[1], trouble)
	v := cases[os.Args[1]](w, trouble)
	switch {
	case v.err != nil:
		w.note("the case couldn't run: %v", v.err)
		fmt.Println("the case couldn't run:", v.err)
		return 2
	case v.broken != "":
		w.note("BROKEN %s", v.broken)
		fmt.Println("broken:", v.broken)
		return 1
	}
	w.note("the rule held")
	fmt.Println("held")
	return 0
}
