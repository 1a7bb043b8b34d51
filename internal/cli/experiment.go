package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"sequoiastall/internal/experiment"
)

func newExperiment() *cobra.Command {
	var dir string
	var seed uint64
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Measure the scheduling policy of a set on a generated trace",
		Long: "Simulates the scheduling policy of a set of objects in virtual time on a trace generated from a seed, once with a single\n" +
			"partition and once with a partition for each zone. Prints the waiting times, the packing, the deviation from the\n" +
			"teams' shares and the missed deadlines.\n\n" + exitHelp,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := loadSet(cmd, dir)
			if err != nil {
				return err
			}
			var results []experiment.Result
			for _, singlePartition := range []bool{true, false} {
				r, err := experiment.Run(set, experiment.Options{Workers: experiment.DefaultWorkers, Seed: seed, Single: singlePartition})
				if err != nil {
					return &ExitError{Code: ExitInvalid, Err: err}
				}
				results = append(results, r)
			}
			if asJSON || wantsJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), results)
			}
			_, err = fmt.Fprint(cmd.OutOrStdout(), experiment.Table(results))
			return err
		},
	}
	cmd.Flags().StringVar(&dir, "set", "examples/gatecare", "directory of the object set")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "random seed of the trace")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON, same as --output json")
	return cmd
}
