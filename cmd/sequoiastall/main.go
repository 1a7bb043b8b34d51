// Command sequoiastall runs the nodes of the scheduler, its command-line tools, and the stand-ins for the platform and the
// workers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sequoiastall/internal/cli"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cli.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
