// Package contain keeps a panic from ending the process. A panic is an error of the program in handling one message,
// request or event; the process has others to serve.
package contain

import (
	"log/slog"
	"runtime/debug"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// Panics runs fn and reports whether it panicked. A panic is logged with its stack, and what was going on. Locks that fn
// holds must be released by deferred calls.
func Panics(log *slog.Logger, during string, fn func()) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			stack := debug.Stack()
			log.Error("panic", "during", during, "cause", cause, "stack", string(stack[:min(len(stack), maxStackBytes)]))
		}
	}()
	fn()
	return false
}
