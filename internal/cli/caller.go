package cli

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/callerclient"
)

// Environment variables of the callers' commands.
const (
	envNode = "SEQUOIASTALL_NODE"
	envKey  = "SEQUOIASTALL_KEY"
)

const callerHelp = `The node is the IP:port of any ingress node, from --node or ` + envNode + `. The secret of the team's key comes from
` + envKey + ` or from the file of --key-file; it is never an argument, since other users of a host can see those.

` + exitHelp

// callerFlags are the flags of the commands that talk to a node.
type callerFlags struct {
	node    string
	keyFile string
}

func (f *callerFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.node, "node", "", "IP:port of an ingress node; "+envNode+" by default")
	cmd.Flags().StringVar(&f.keyFile, "key-file", "", "file with the secret of the team's key; "+envKey+" by default")
}

// client returns a client of the node. The returned function closes its connections.
func (f *callerFlags) client(d Dependencies) (*callerclient.Client, func(), error) {
	node := f.node
	if node == "" {
		node = os.Getenv(envNode)
	}
	if node == "" {
		return nil, nil, exitf(ExitUsage, "no node: give --node or set %s", envNode)
	}
	if _, err := netip.ParseAddrPort(node); err != nil {
		return nil, nil, exitf(ExitUsage, "node %q isn't an IP:port: %v", node, err)
	}
	secret, err := f.secret()
	if err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{DisableCompression: true}
	return &callerclient.Client{Address: node, Secret: secret, HTTP: &http.Client{Transport: transport}, Sleep: d.Sleep},
		transport.CloseIdleConnections, nil
}

// secret returns the secret, empty if none is given: queues that are open to all need none.
func (f *callerFlags) secret() (string, error) {
	secret := os.Getenv(envKey)
	if f.keyFile != "" {
		data, err := os.ReadFile(f.keyFile)
		if err != nil {
			return "", &ExitError{Code: ExitUsage, Err: errors.Wrap(err, "key file")}
		}
		if secret = strings.TrimSpace(string(data)); secret == "" {
			return "", exitf(ExitUsage, "key file %s is empty", f.keyFile)
		}
	}
	if strings.ContainsFunc(secret, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return "", exitf(ExitUsage, "the secret has a character that can't be sent; it must be one line of printable ASCII")
	}
	return secret, nil
}

// callError gives an error of a call the exit code that its outcome stands for.
func callError(what string, err error) error {
	if err == nil {
		return nil
	}
	code := ExitFailure
	var refused *callerclient.RefusalError
	var transport *callerclient.TransportError
	switch outcome := callerclient.OutcomeOf(err); {
	case outcome == callerclient.Unknown:
		code = ExitUnknown
	case errors.As(err, &refused):
		code = refusalCode(refused)
	case errors.As(err, &transport):
		code = ExitUnavailable
	}
	return &ExitError{Code: code, Err: errors.Wrap(err, what)}
}

func refusalCode(r *callerclient.RefusalError) int {
	switch {
	case r.Status == http.StatusBadRequest || r.Status == http.StatusRequestEntityTooLarge || r.Code == "unknown_queue":
		return ExitInvalid
	case r.Status == http.StatusConflict:
		return ExitConflict
	case r.Status >= http.StatusInternalServerError:
		return ExitNotRun
	}
	return ExitFailure
}

// viewError is callError for a call that changes nothing, so that an unknown outcome means only that nothing is known.
func viewError(what string, err error) error {
	if err == nil {
		return nil
	}
	var refused *callerclient.RefusalError
	if errors.As(err, &refused) && refused.Status < http.StatusInternalServerError {
		return &ExitError{Code: refusalCode(refused), Err: errors.Wrap(err, what)}
	}
	if errors.Is(err, context.Canceled) {
		return &ExitError{Code: ExitFailure, Err: errors.Wrap(err, what)}
	}
	return &ExitError{Code: ExitUnavailable, Err: errors.Wrap(err, what)}
}
