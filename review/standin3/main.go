// Command standin3 plays the cases of the third review: it starts nodes and workers as processes on loopback, stands in for
// the users' platform and its clients, and checks one rule of the users against what they have seen.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1
	exitNotRun = 2 // the case couldn't run
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == "worker" {
		runWorker(os.Stdin, os.Stdout)
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}
