package cli

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"sequoiastall/internal/core/object"
)

// secretBytes is the number of random bytes in a secret, before base64 encoding.
const secretBytes = 32

// keyOutput is the JSON output of key new.
type keyOutput struct {
	Secret string     `json:"secret"`
	Object object.Key `json:"object"`
}

func newKey() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Create keys", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	var name, team string
	var queues []string
	create := &cobra.Command{
		Use:   "new --name NAME --team TEAM",
		Short: "Create a secret and the key object with its hash",
		Long: "Prints a random secret, which isn't stored anywhere, and the key object to add to the published set.\n" +
			"The team authenticates with the secret; the set contains only its SHA-256 hash.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if name == "" || team == "" {
				return exitErrorf(ExitUsage, "--name and --team are required")
			}
			random := make([]byte, secretBytes)
			rand.Read(random)
			secret := base64.RawURLEncoding.EncodeToString(random)
			sum := sha256.Sum256([]byte(secret))
			out := keyOutput{Secret: secret, Object: object.Key{Meta: object.Meta{Kind: object.KindKey, Name: name},
				Team: team, SHA256: hex.EncodeToString(sum[:]), Queues: queues}}
			if wantsJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), out)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "secret: %s\n", secret)
			return printJSON(cmd.OutOrStdout(), out.Object)
		},
	}
	create.Flags().StringVar(&name, "name", "", "name of the key object")
	create.Flags().StringVar(&team, "team", "", "team that the key belongs to")
	create.Flags().StringSliceVar(&queues, "queue", nil, "queue that the key may use; repeatable; all queues by default")
	cmd.AddCommand(create)
	return cmd
}

// buildVersion is the JSON output of version.
type buildVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Show the version of this binary",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v := readVersion()
			if wantsJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), v)
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "sequoiastall %s %s %s\n", v.Version, v.Revision, v.Go)
			return err
		},
	}
}

func readVersion() buildVersion {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return buildVersion{Version: "unknown"}
	}
	v := buildVersion{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			v.Revision = s.Value
		case "vcs.modified":
			v.Modified = s.Value == "true"
		}
	}
	return v
}
