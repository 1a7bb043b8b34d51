package cli

import (
	"context"
	"log/slog"
	"os"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"sequoiastall/internal/telemetry"
	"sequoiastall/platform"
)

// logBuffer bounds the log lines that wait for standard output.
const logBuffer = 8192

// newNode returns the command that runs a node on the users' platform.
func newNode() *cobra.Command {
	var metricsPort int
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a node on the users' platform",
		Long: "Run a node on the users' platform until SIGTERM. The environment variable " + platform.SettingsVariable + " holds the path of\n" +
			"the platform's settings file.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if path == "" {
				return usage(errors.Errorf("the environment variable %s isn't set", platform.SettingsVariable))
			}
			out := telemetry.NewAsyncWriter(c.OutOrStdout(), logBuffer)
			logCtx, endLog := context.WithCancel(context.Background())
			var writer conc.WaitGroup
			writer.Go(func() { out.Run(logCtx) })
			defer writer.Wait()
			defer endLog()
			log := slog.New(slog.NewJSONHandler(out, nil))
			err := platform.Run(c.Context(), path, metricsPort, log, telemetry.NewRegistry(log))
			var wrong *platform.SettingsError
			if errors.As(err, &wrong) {
				return &ExitError{Code: ExitInvalid, Err: err}
			}
			return err
		},
	}
	c.Flags().IntVar(&metricsPort, "metrics-port", 0, "port on which the metrics are served at /metrics; 0 serves none")
	return c
}
