package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"sequoiastall/internal/ring"
)

// AsyncWriter writes lines from its own goroutine. Write never blocks: lines that don't fit into the buffer are dropped
// and counted, and the number of dropped lines is logged when there is room again.
type AsyncWriter struct {
	lines   *ring.Queue[[]byte]
	dropped atomic.Uint64
	out     io.Writer
}

// NewAsyncWriter returns a writer that buffers at most capacity lines. Run writes them to out.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	return &AsyncWriter{lines: ring.New[[]byte](capacity), out: out}
}

// Write implements io.Writer. Each call must pass exactly one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.lines.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that are still buffered.
func (w *AsyncWriter) Run(ctx context.Context) {
	for {
		line, err := w.lines.Pop(ctx)
		if err != nil {
			return
		}
		w.flush(line)
	}
}

// flush writes a line and all lines buffered after it in one call.
func (w *AsyncWriter) flush(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
	for range w.lines.Len() {
		next, ok := w.lines.TryPop()
		if !ok {
			break
		}
		line = append(line, next...)
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // the error can't be logged because the log itself isn't writable
	}
}
