package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"sequoiastall/internal/settings"
	"sequoiastall/platform"
)

func newSettings() *cobra.Command {
	var printDefaults bool
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Show and check the settings of a serve process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !printDefaults {
				return cmd.Help()
			}
			if wantsJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), settings.Default())
			}
			return settings.Print(cmd.OutOrStdout(), settings.Default())
		},
	}
	cmd.Flags().BoolVar(&printDefaults, "defaults", false, "print a settings file with all defaults and comments")
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			checked, problems := settings.Load(args[0])
			if len(problems) == 0 {
				if wantsJSON(cmd) {
					return printJSON(cmd.OutOrStdout(), checked)
				}
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "no problems")
				return err
			}
			for _, p := range problems {
				fmt.Fprintln(cmd.ErrOrStderr(), p.Error())
			}
			if wantsJSON(cmd) {
				if err := printJSON(cmd.OutOrStdout(), problems); err != nil {
					return err
				}
			}
			return &ExitError{Code: ExitInvalid, Err: errReported}
		},
	})
	cmd.AddCommand(newPlatformSettings())
	return cmd
}

// newPlatformSettings returns the command that checks a settings file as the users' platform passes it to a node.
func newPlatformSettings() *cobra.Command {
	return &cobra.Command{
		Use:   "platform FILE",
		Short: "Check the settings file of a node on the users' platform",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			checked, err := platform.LoadSettings(args[0])
			if err != nil {
				return &ExitError{Code: ExitInvalid, Err: err}
			}
			if wantsJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), checked)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "no problems")
			return err
		},
	}
}
