package cli

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/explain"
)

// newExplain returns the command that finds the lines about a job, task, worker or node in the logs of the nodes.
func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [LOG...]",
		Short: "Show what the logs record about a job, task, worker or node",
		Long: "Merges the lines about a job, a step or task (JOB.STEP.TASK), a worker or a node from the logs of any number of nodes into\n" +
			"one timeline, and summarizes how it ended. Without LOG arguments, the logs are read from standard input.",
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
