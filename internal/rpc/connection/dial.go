package connection

import (
	"context"
	"net"
	"time"
)

// dialFirst returns the connection of the first attempt that succeeds, and closes those of the others. It starts another
// attempt when dialInterval has passed without a result, up to maxDials. It fails with the first error: a server that
// refuses one attempt refuses the others too.
func dialFirst(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result)
	attempt := func() {
		c, err := dial(ctx)
		select {
		case results <- result{c, err}:
		case <-ctx.Done():
			if err == nil {
				_ = c.Close()
			}
		}
	}
	go attempt()
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	for started := 1; ; {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
			if started < maxDials {
				started++
				go attempt()
			}
		}
	}
}
