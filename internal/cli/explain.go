package cli

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/explain"
)

// newExplain returns the command that finds a request's lines in the nodes' logs.
func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [LOG...]",
		Short: "Show what the logs tell of a job, task, worker or node",
		Long: "Show what the logs of any number of nodes tell of a job, a step or task (JOB.STEP.TASK), a worker or a node, in one timeline,\n" +
			"and how it ended. Without files the logs are read from standard input.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			logs := []io.Reader{c.InOrStdin()}
			if len(args) > 1 {
				logs = nil
			}
			for _, path := range args[1:] {
				f, err := os.Open(path)
				if err != nil {
					return &ExitError{Code: ExitInvalid, Err: errors.Wrap(err, "open log")}
				}
				defer f.Close()
				logs = append(logs, f)
			}
			report, err := explain.Read(args[0], logs...)
			if err != nil {
				return err
			}
			if wantsJSON(c) {
				return printJSON(c.OutOrStdout(), report)
			}
			return report.WriteText(c.OutOrStdout())
		},
	}
}
