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

// logBuffer is the maximum number of log lines buffered for standard output.
const logBuffer = 8192

// newNode returns the command that runs a node on the users' platform.
func newNode() *cobra.Command {
	var metricsPort int
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a node on the users' platform",
		Long: "Runs a node on the users' platform until SIGTERM. The environment variable " + platform.SettingsVariable + " contains the path of\n" +
			"the platform's settings file.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if path == "" {
				return usageError(errors.Errorf("the environment variable %s isn't set", platform.SettingsVariable))
			}
			out := telemetry.NewAsyncWriter(c.OutOrStdout(), logBuffer)
			logCtx, stopLog := context.WithCancel(context.Background())
			var logWriter conc.WaitGroup
			logWriter.Go(func() { out.Run(logCtx) })
			defer logWriter.Wait()
			defer stopLog()
			log := slog.New(slog.NewJSONHandler(out, nil))
			err := platform.Run(c.Context(), path, metricsPort, log, telemetry.NewRegistry(log))
			var settingsErr *platform.SettingsError
			if errors.As(err, &settingsErr) {
				return &ExitError{Code: ExitInvalid, Err: err}
			}
			return err
		},
	}
	c.Flags().IntVar(&metricsPort, "metrics-port", 0, "port on which metrics are served at /metrics; 0 to serve none")
	return c
}
