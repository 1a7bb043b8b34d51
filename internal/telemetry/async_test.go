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

// blockedWriter acts as standard output whose reader doesn't read until it is released.
type blockedWriter struct {
	firstWrite chan struct{} // closed at the first write
	released   chan struct{}
	once       sync.Once

	mu  sync.Mutex
	out bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	w.once.Do(func() { close(w.firstWrite) })
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

// Guards against a process that blocks because its log isn't read, and against lines that are dropped without a report
// in the log.
func TestBlockedReaderStallsNothing(t *testing.T) {
	const capacity, lines = 10, 25
	out := &blockedWriter{firstWrite: make(chan struct{}), released: make(chan struct{})}
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
	<-out.firstWrite // the writer's goroutine is blocked on the first line
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
