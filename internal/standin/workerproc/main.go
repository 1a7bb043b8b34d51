package workerproc

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// optionsVariable is the environment variable that makes a process a worker.
const optionsVariable = "WORKERPROC_OPTIONS"

// IsWorker returns whether the process was started by a Fleet and must call Main.
func IsWorker() bool { return os.Getenv(optionsVariable) != "" }

// Main runs a worker until its standard input ends, and returns the exit code of the process. It reads commands from the
// standard input and writes events to the standard output, one JSON object a line.
func Main() int {
	if err := serveWorker(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		return 1
	}
	return 0
}

func serveWorker(commands io.Reader, events io.Writer) error {
	var o Options
	if err := json.Unmarshal([]byte(os.Getenv(optionsVariable)), &o); err != nil {
		return err
	}
	listener, err := listen(o.Address)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	encoder := json.NewEncoder(events)
	o.Emit = func(e Event) {
		mu.Lock()
		defer mu.Unlock()
		if err := encoder.Encode(e); err != nil {
			os.Exit(1) // the test's process has ended
		}
	}
	o.Crashed = func() { os.Exit(2) }
	w := newWorker(o)
	w.report(Event{At: w.started, Kind: Up, Capacity: o.Capacity, Service: o.Service, Labels: o.Labels, Address: listener.Addr().String(), BornMS: w.bornMS})
	server := &http.Server{Handler: w.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the process
	decoder := json.NewDecoder(commands)
	for {
		var c Command
		if err := decoder.Decode(&c); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		w.command(c)
	}
}

// listenTimeout bounds the attempts to listen on the address of an earlier life.
const listenTimeout = 3 * time.Second

func listen(address string) (net.Listener, error) {
	for end := Now() + listenTimeout; ; time.Sleep(20 * time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil || Now() > end {
			return l, err
		}
	}
}
