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

// Environment variables of the commands that call a node's HTTP API.
const (
	envNode = "SEQUOIASTALL_NODE"
	envKey  = "SEQUOIASTALL_KEY"
)

const clientHelp = `Any ingress node can be called; its IP:port comes from --node or ` + envNode + `. The secret of the team's key is read
from ` + envKey + ` or from the file of --key-file. It can't be given as an argument, because other users of the host
can see the arguments of a process.

` + exitHelp

// clientFlags are the flags of the commands that call a node's HTTP API.
type clientFlags struct {
	node    string
	keyFile string
}

func (f *clientFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.node, "node", "", "IP:port of an ingress node; "+envNode+" by default")
	cmd.Flags().StringVar(&f.keyFile, "key-file", "", "file that contains the secret of the team's key; "+envKey+" by default")
}

// client returns a client for the node's HTTP API. The returned function closes the client's idle connections.
func (f *clientFlags) client(d Dependencies) (*callerclient.Client, func(), error) {
	node := f.node
	if node == "" {
		node = os.Getenv(envNode)
	}
	if node == "" {
		return nil, nil, exitErrorf(ExitUsage, "no node address: pass --node or set %s", envNode)
	}
	if _, err := netip.ParseAddrPort(node); err != nil {
		return nil, nil, exitErrorf(ExitUsage, "node %q isn't an IP:port: %v", node, err)
	}
	secret, err := f.secret()
	if err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{DisableCompression: true}
	return &callerclient.Client{Address: node, Secret: secret, HTTP: &http.Client{Transport: transport}, Sleep: d.Sleep},
		transport.CloseIdleConnections, nil
}

// secret returns the secret of the team's key. It is empty if none is given, since queues that are open to all teams need
// none.
func (f *clientFlags) secret() (string, error) {
	secret := os.Getenv(envKey)
	if f.keyFile != "" {
		data, err := os.ReadFile(f.keyFile)
		if err != nil {
			return "", &ExitError{Code: ExitUsage, Err: errors.Wrap(err, "read key file")}
		}
		if secret = strings.TrimSpace(string(data)); secret == "" {
			return "", exitErrorf(ExitUsage, "key file %s is empty", f.keyFile)
		}
	}
	if strings.ContainsFunc(secret, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return "", exitErrorf(ExitUsage, "the secret must be a single line of printable ASCII characters, as it is sent in an HTTP header")
	}
	return secret, nil
}

// callError wraps the error of a call that changes state in an ExitError whose code reflects the outcome of the call.
func callError(operation string, err error) error {
	if err == nil {
		return nil
	}
	code := ExitFailure
	var response *callerclient.ResponseError
	var transport *callerclient.TransportError
	switch outcome := callerclient.OutcomeOf(err); {
	case outcome == callerclient.Unknown:
		code = ExitUnknown
	case errors.As(err, &response):
		code = responseExitCode(response)
	case errors.As(err, &transport):
		code = ExitUnavailable
	}
	return &ExitError{Code: code, Err: errors.Wrap(err, operation)}
}

func responseExitCode(r *callerclient.ResponseError) int {
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

// queryError is like callError, but for read-only calls. An unknown outcome of such a call is reported as ExitUnavailable,
// because it can't have changed anything.
func queryError(operation string, err error) error {
	if err == nil {
		return nil
	}
	var response *callerclient.ResponseError
	if errors.As(err, &response) && response.Status < http.StatusInternalServerError {
		return &ExitError{Code: responseExitCode(response), Err: errors.Wrap(err, operation)}
	}
	if errors.Is(err, context.Canceled) {
		return &ExitError{Code: ExitFailure, Err: errors.Wrap(err, operation)}
	}
	return &ExitError{Code: ExitUnavailable, Err: errors.Wrap(err, operation)}
}
