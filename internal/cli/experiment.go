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
		Short: "Measure the scheduling policy of a set on a seeded trace",
		Long: "Replays a seeded trace in virtual time against the policy of a set of objects, once with one partition and once with a\n" +
			"partition for each zone, and prints waiting times, packing, distance from the shares and missed deadlines.\n\n" + exitHelp,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := loadSet(cmd, dir)
			if err != nil {
				return err
			}
			var results []experiment.Result
			for _, single := range []bool{true, false} {
				r, err := experiment.Run(set, experiment.Options{Workers: experiment.DefaultWorkers, Seed: seed, Single: single})
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
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the trace")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON, like --output json")
	return cmd
}
