// Command sequoiastall is the scheduler, its operators' tools and its stand-ins.
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
