// Package cli implements the commands of the sequoiastall binary.
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

// Dependencies are the external dependencies of the commands. Tests replace them by fakes.
type Dependencies struct {
	// OpenStore connects to the platform's store. The returned function closes the connection.
	OpenStore func(address string) (port.Store, func() error, error)
	// Nodes queries the revision in force at each ingress node. If nil, publish doesn't wait for the nodes.
	Nodes RevisionReader
	// Sleep waits between retries; it returns early with the context's error.
	Sleep func(ctx context.Context, d time.Duration) error
	Now   func() time.Time
}

// NodeRevision is the revision in force at an ingress node.
type NodeRevision struct {
	Node     string `json:"node"`
	Revision int64  `json:"revision"`
	Error    string `json:"error,omitempty"` // why the node couldn't be queried
}

// RevisionReader queries every ingress node for its revision in force. Nodes that can't be queried are in the result,
// with an error.
type RevisionReader interface {
	Revisions(ctx context.Context, store port.Store) ([]NodeRevision, error)
}

// defaultDependencies are the dependencies of NewRoot: the adapters that connect to the platform and to the nodes.
var defaultDependencies = Dependencies{OpenStore: openStore, Nodes: httpNodes{}, Sleep: sleep, Now: time.Now}

// processCommands returns the commands that run long-lived processes, such as nodes, workers and the platform stand-in.
func processCommands() []*cobra.Command {
	return []*cobra.Command{NewServeCommand(), NewDevCommand(), NewPlatformCommand(), NewWorkerCommand(), NewLoadCommand(), newNode()}
}

// NewRoot returns the root command.
func NewRoot() *cobra.Command { return newRoot(defaultDependencies) }

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
	root.PersistentFlags().VarP(&outputFlag{value: outputTable}, "output", "o", "output format: table or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(newValidate(), newPublish(d), newGet(d), newSettings(), newVersion(), newKey(), newExperiment(), newExplain())
	root.AddCommand(newSubmit(d), newJob(d), newCancel(d), newStatus(d))
	root.AddCommand(processCommands()...)
	wrapArgErrors(root)
	return root
}

// wrapArgErrors makes the argument checks of a command and its subcommands fail with ExitUsage.
func wrapArgErrors(cmd *cobra.Command) {
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error { return usageError(check(cmd, args)) }
	}
	for _, sub := range cmd.Commands() {
		wrapArgErrors(sub)
	}
}

// Execute runs the command with the given arguments and returns the exit code of the process.
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

// sleep waits for d or until the context ends; in the latter case it returns the context's error.
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

// store connects to the platform's store for the duration of a command. The returned function closes the connection.
func (d Dependencies) store(address string) (port.Store, func() error, error) {
	if d.OpenStore == nil {
		return nil, nil, exitErrorf(ExitUnavailable, "this build can't connect to a platform")
	}
	store, closeStore, err := d.OpenStore(address)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUnavailable, Err: errors.Wrapf(err, "connect to the platform at %s", address)}
	}
	return store, closeStore, nil
}
