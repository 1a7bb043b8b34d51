package workerproc

import (
	"strconv"
	"strings"
	"time"
)

// NewTicket returns a ticket for the tasks of a step on one life of a worker.
func NewTicket(step, worker string, life int, expires time.Duration) string {
	return strings.Join([]string{step, worker, strconv.Itoa(life), strconv.FormatInt(int64(expires), 10)}, "/")
}

// ticketAllows returns whether a ticket is valid at a moment.
func ticketAllows(ticket, step, worker string, life int, now time.Duration) bool {
	prefix := NewTicket(step, worker, life, 0)
	prefix = prefix[:len(prefix)-1]
	text, matches := strings.CutPrefix(ticket, prefix)
	expires, err := strconv.ParseInt(text, 10, 64)
	return matches && err == nil && now <= time.Duration(expires)
}
