package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
)

func newJob(d Dependencies) *cobra.Command {
	var f clientFlags
	var wait bool
	cmd := &cobra.Command{
		Use:   "job ID [--wait]",
		Short: "Show a job",
		Long: "Shows a job and the reason why its tasks wait. With --wait, waits until the job has ended; exit code 1 then means that\n" +
			"it failed, was cancelled or has tasks of unknown outcome.\n\n" + clientHelp,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeJobs(d, &f),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, done, err := f.client(d)
			if err != nil {
				return err
			}
			defer done()
			if wait {
				return waitJob(cmd, client, job.ID(args[0]))
			}
			status, err := client.Job(cmd.Context(), job.ID(args[0]))
			if err != nil {
				return queryError("job", err)
			}
			return printJob(cmd, status)
		},
	}
	f.add(cmd)
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the job has ended")
	return cmd
}

func newCancel(d Dependencies) *cobra.Command {
	var f clientFlags
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a job",
		Long: "Requests the cancellation of a job: its pending tasks don't start and its running tasks are stopped. The request is\n" +
			"idempotent and may be repeated.\n\n" +
			clientHelp,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeJobs(d, &f),
		RunE: func(cmd *cobra.Command, args []string) error {
			if timeout <= 0 {
				return exitErrorf(ExitUsage, "--timeout must be positive")
			}
			client, done, err := f.client(d)
			if err != nil {
				return err
			}
			defer done()
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			status, err := client.Cancel(ctx, job.ID(args[0]))
			if err != nil {
				return callError("cancel", err)
			}
			return printJob(cmd, status)
		},
	}
	f.add(cmd)
	cmd.Flags().DurationVar(&timeout, "timeout", defaultCallTimeout, "how long the request is retried")
	return cmd
}

// completeJobs returns a shell completion of the IDs of the team's jobs that haven't ended. It completes nothing if the
// node or the key isn't known.
func completeJobs(d Dependencies, f *clientFlags) cobra.CompletionFunc {
	return func(cmd *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		client, done, err := f.client(d)
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		defer done()
		ctx, cancel := context.WithTimeout(commandContext(cmd), nodeTimeout)
		defer cancel()
		list, err := client.Jobs(ctx)
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		var ids []string
		for _, j := range list.Jobs {
			ids = append(ids, string(j.ID)+"\t"+j.Queue+" "+j.Name)
		}
		return ids, cobra.ShellCompDirectiveNoFileComp
	}
}

// commandContext returns the command's context, or the background context if there is none, as may be the case in shell
// completion.
func commandContext(cmd *cobra.Command) context.Context {
	if ctx := cmd.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}

// waitJob waits until a job has ended, prints it and returns an error unless all of its tasks succeeded.
func waitJob(cmd *cobra.Command, client *callerclient.Client, id job.ID) error {
	status, err := client.Wait(cmd.Context(), id)
	if err != nil {
		return queryError("job "+string(id), err)
	}
	if err := printJob(cmd, status); err != nil {
		return err
	}
	if status.Phase != job.Done || status.Unknown > 0 {
		return &ExitError{Code: ExitFailure, Err: errors.Errorf("job %s is %s with %d of %d tasks done, %d unknown: %s", id,
			status.Phase, status.Succeeded, status.Spec.Tasks, status.Unknown, status.Reason)}
	}
	return nil
}

func printJob(cmd *cobra.Command, s job.Status) error {
	if wantsJSON(cmd) {
		return printJSON(cmd.OutOrStdout(), s)
	}
	row := []string{string(s.ID), s.Spec.Team, s.Spec.Queue, string(s.Phase), fmt.Sprint(s.Spec.Tasks), fmt.Sprint(s.Pending),
		fmt.Sprint(s.Running), fmt.Sprint(s.Succeeded), fmt.Sprint(s.Unknown)}
	err := printTable(cmd.OutOrStdout(), []string{"JOB", "TEAM", "QUEUE", "PHASE", "TASKS", "PENDING", "RUNNING", "DONE", "UNKNOWN"},
		[][]string{row})
	for _, detail := range []struct{ name, text string }{{"waiting", s.Waiting}, {"reason", s.Reason}} {
		if detail.text != "" && err == nil {
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", detail.name, detail.text)
		}
	}
	if s.CancelRequested && !s.Phase.Final() && err == nil {
		_, err = fmt.Fprintln(cmd.OutOrStdout(), "cancellation was requested")
	}
	return err
}

// formatAge formats a duration in milliseconds below a second, and in whole seconds above.
func formatAge(d time.Duration) string {
	if d < time.Second {
		return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
	}
	return d.Truncate(time.Second).String()
}
