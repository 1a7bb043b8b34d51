package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// stuckWriter is standard output whose reader stands still until it is released.
type stuckWriter struct {
	entered  chan struct{} // closed with the first write
	released chan struct{}
	once     sync.Once

	mu  sync.Mutex
	out bytes.Buffer
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	w.once.Do(func() { close(w.entered) })
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

// Guards against a process that stands still because nobody reads its log, and against lines that are dropped without a
// word.
func TestBlockedReaderStallsNothing(t *testing.T) {
	const capacity, lines = 10, 25
	out := &stuckWriter{entered: make(chan struct{}), released: make(chan struct{})}
	w := NewAsyncWriter(out, capacity)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	write := func(line string) {
		n, err := w.Write([]byte(line + "\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, len(line)+1)
	}
	write("first")
	<-out.entered // the writer's goroutine is stuck with the first line
	for i := range lines {
		write(fmt.Sprint("line ", i))
	}
	close(out.released)
	cancel()
	<-ended
	text := out.out.String()
	assert.Equal(t, strings.Count(text, "line "), capacity)
	assert.Assert(t, strings.Contains(text, fmt.Sprintf(`"lines":%d`, lines-capacity)), text)
}
