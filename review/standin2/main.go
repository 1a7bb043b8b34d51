// Command standin2 plays the cases of the second review: nodes and workers as processes on loopback addresses, with the
// platform's store and advice service in this process. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"sequoiastall/internal/standin/workerproc"
)

// cases are the cases by name. Each returns how the rule was broken, or "" if it held.
var cases = map[string]func(c *cell, trouble bool) string{
	"repoint":    repoint,
	"ganglimit":  gangLimit,
	"foreign":    foreign,
	"otherkind":  otherKind,
	"gangadvice": gangAdvice,
}

func main() {
	if workerproc.IsWorker() {
		os.Exit(workerproc.Main())
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*cell, bool) string, path string) (code int) {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &record{file: file, began: time.Now()}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("disruption: %t", trouble)
	defer func() {
		if p := recover(); p != nil {
			f, ok := p.(fatal)
			if !ok {
				panic(p)
			}
			r.add("the case couldn't run: %v", f.error)
			fmt.Println("the case couldn't run:", f.error)
			code = 2
		}
	}()
	c := newCell(r)
	defer c.close()
	if broken := run(c, trouble); broken != "" {
		r.add("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return 1
	}
	r.add("held")
	fmt.Println("held")
	return 0
}

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
