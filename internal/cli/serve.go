package cli

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/server"
	"sequoiastall/internal/settings"
	"sequoiastall/internal/telemetry"
)

// NewServeCommand returns the command that runs an ingress node.
func NewServeCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run an ingress node",
		Long: "Runs an ingress node until SIGTERM. The node then fails its health checks, rejects new work, finishes open requests,\n" +
			"hands over its partitions and exits, all within the drain_ms of its settings.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, problems := settings.Load(path)
			if len(problems) > 0 {
				for _, p := range problems {
					fmt.Fprintln(c.ErrOrStderr(), p.Error())
				}
				return exitErrorf(ExitInvalid, "%d problems in the settings", len(problems))
			}
			log, err := nodeLogger(c.OutOrStdout(), s)
			if err != nil {
				return err
			}
			node, err := server.New(s, log)
			if err != nil {
				return err
			}
			return node.Run(c.Context())
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments; for a template, run: sequoiastall settings --defaults")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err) // fails only if the flag isn't defined
	}
	return c
}

func nodeLogger(w io.Writer, s settings.Settings) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	return telemetry.NewLogger(w, level, s.NodeID, s.Zone), nil
}
