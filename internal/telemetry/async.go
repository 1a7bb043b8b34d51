package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"sequoiastall/internal/ring"
)

// AsyncWriter writes lines from a goroutine of its own. Write never blocks: lines that don't fit into the buffer are
// dropped and counted, and the number is written when there is room again.
type AsyncWriter struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	out     io.Writer
}

// NewAsyncWriter returns a writer that buffers at most capacity lines. Run writes them.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	return &AsyncWriter{lines: ring.New[[]byte](capacity), out: out}
}

// Write implements io.Writer. It takes one line a call.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.lines.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that are left.
func (w *AsyncWriter) Run(ctx context.Context) {
	for {
		line, err := w.lines.Pop(ctx)
		if err != nil {
			return
		}
		w.flush(line)
	}
}

// flush writes a line with all that are buffered behind it in one call.
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
		w.dropped.Add(1) // nobody reads the log: there is no other place to tell
	}
}
