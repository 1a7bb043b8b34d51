// Package cli holds the commands of the sequoiastall binary.
package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/port"
)

// Dependencies are what commands need from outside this package.
type Dependencies struct {
	// OpenStore connects to the platform's store. The returned function closes the connection.
	OpenStore func(address string) (port.Store, func() error, error)
	// Nodes tells which revision is in force at each ingress node; nil leaves the report out.
	Nodes NodeRevisions
	// Sleep waits between retries; it returns early with the context's error.
	Sleep func(ctx context.Context, d time.Duration) error
	Now   func() time.Time
}

// NodeRevision is the revision in force at an ingress node.
type NodeRevision struct {
	Node     string `json:"node"`
	Revision int64  `json:"revision"`
	Error    string `json:"error,omitempty"` // why the node couldn't be asked
}

// NodeRevisions asks every ingress node for its revision in force. Nodes that can't be asked are in the answer with
// an error.
type NodeRevisions interface {
	Revisions(ctx context.Context, store port.Store) ([]NodeRevision, error)
}

// defaults are the dependencies of NewRoot. The adapters of the platform and of the nodes are connected here.
var defaults = Dependencies{OpenStore: openStore, Nodes: httpNodes{}, Sleep: sleep, Now: time.Now}

// processCommands lists the commands that run processes: serve, dev, platform, worker. They are added here.
func processCommands() []*cobra.Command {
	return []*cobra.Command{NewServeCommand(), NewDevCommand(), NewPlatformCommand(), NewWorkerCommand(), NewLoadCommand(), newNode()}
}

// NewRoot returns the root command.
func NewRoot() *cobra.Command { return newRoot(defaults) }

func newRoot(d Dependencies) *cobra.Command {
	root := &cobra.Command{
		Use:           "sequoiastall",
		Short:         "A cluster scheduler for requests, services and jobs on shared hosts",
		Long:          "A cluster scheduler for requests, services and jobs on shared hosts.\n\n" + exitHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return cmd.Help()
		},
	}
	root.PersistentFlags().VarP(&outputFlag{value: outputTable}, "output", "o", "format of the output: table or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	root.AddCommand(newValidate(), newPublish(d), newGet(d), newSettings(), newVersion(), newKey(), newExperiment(), newExplain())
	root.AddCommand(newSubmit(d), newJob(d), newCancel(d), newStatus(d))
	root.AddCommand(processCommands()...)
	wrapArgs(root)
	return root
}

// wrapArgs gives errors of argument checks the exit code of wrong usage.
func wrapArgs(cmd *cobra.Command) {
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error { return usage(check(cmd, args)) }
	}
	for _, sub := range cmd.Commands() {
		wrapArgs(sub)
	}
}

// Execute runs the command line and returns the exit code.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return execute(ctx, NewRoot(), args, stdout, stderr)
}

func execute(ctx context.Context, root *cobra.Command, args []string, stdout, stderr io.Writer) int {
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil && !errors.Is(err, errReported) {
		fmt.Fprintln(stderr, "error:", err)
	}
	return exitCode(err)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// store connects to the platform for one command.
func (d Dependencies) store(address string) (port.Store, func() error, error) {
	if d.OpenStore == nil {
		return nil, nil, exitf(ExitUnavailable, "this build can't connect to a platform")
	}
	store, closeStore, err := d.OpenStore(address)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUnavailable, Err: errors.Wrapf(err, "connect to the platform at %s", address)}
	}
	return store, closeStore, nil
}
