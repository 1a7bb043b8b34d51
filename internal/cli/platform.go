package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protojson"

	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/platformpb"
	"sequoiastall/internal/rpc/standinpb"
	"sequoiastall/internal/standin/platform"
)

const (
	defaultPlatformAddress = "127.0.0.1:7300"
	// controlTimeout is the timeout of calls to the Control service. It leaves time for a stand-in that is still starting.
	controlTimeout = 10 * time.Second
)

// NewPlatformCommand returns the command that runs the platform stand-in, with its subcommands.
func NewPlatformCommand() *cobra.Command {
	var listen, hosts string
	var options platform.Options
	c := &cobra.Command{
		Use:          "platform",
		Short:        "Run the stand-in for the platform's store and host list",
		Long:         "Runs the stand-in for the platform's store and host list until SIGTERM. Its data is kept in memory only.",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if hosts != "" {
				var err error
				if options.Hosts, err = readHosts(hosts); err != nil {
					return err
				}
			}
			return runPlatform(c, listen, options)
		},
	}
	c.Flags().StringVar(&listen, "listen", defaultPlatformAddress, "address to listen on, IP:port")
	c.Flags().StringVar(&hosts, "hosts", "", "file with the initial content of the host list, JSON with comments")
	c.Flags().DurationVar(&options.HostLag, "host-lag", 0, "delay after which a change becomes visible in the host list")
	c.Flags().IntVar(&options.History, "history", 0, "number of past events that are kept for watches; 0 for the default")
	c.AddCommand(newFaultsCommand(), newHostStateCommand(), newCountersCommand())
	return c
}

func runPlatform(c *cobra.Command, listen string, options platform.Options) error {
	if options.HostLag < 0 || options.History < 0 {
		return errors.New("--host-lag and --history must not be negative")
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := jsonLogger(c.ErrOrStderr())
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	s := platform.New(options)
	var wg conc.WaitGroup
	served := make(chan error, 1)
	wg.Go(func() { served <- s.Serve(l) })
	logger.Info("platform stand-in is listening", "address", l.Addr().String(), "hosts", len(options.Hosts))
	select {
	case <-ctx.Done():
		s.Stop()
		err = <-served
	case err = <-served:
	}
	wg.Wait()
	logger.Info("platform stand-in stopped", "counters", s.Counters())
	return errors.Wrap(err, "platform stand-in: serve")
}

func jsonLogger(w io.Writer) *slog.Logger { return slog.New(slog.NewJSONHandler(w, nil)) }

// hostsFile is the content of the file that --hosts names.
type hostsFile struct {
	Hosts []struct {
		ID      string `json:"id"`
		Zone    string `json:"zone"`
		Rack    string `json:"rack"`
		Address string `json:"address"` // IP:port
		State   string `json:"state"`   // live if empty
	} `json:"hosts"`
}

var hostStates = map[string]port.HostState{
	"live": port.HostLive, "leaving": port.HostLeaving, "dead": port.HostDead,
}

// readHosts reads a hosts file. An error in any host makes the whole file invalid.
func readHosts(path string) ([]port.Host, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read hosts file")
	}
	if b, err = hujson.Standardize(b); err != nil {
		return nil, errors.Wrapf(err, "hosts file %s", path)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var f hostsFile
	if err := d.Decode(&f); err != nil {
		return nil, errors.Wrapf(err, "hosts file %s", path)
	}
	var out []port.Host
	seen := map[string]bool{}
	for i, h := range f.Hosts {
		if h.State == "" {
			h.State = port.HostLive.String()
		}
		state, ok := hostStates[h.State]
		switch {
		case h.ID == "" || h.Zone == "" || h.Rack == "":
			return nil, errors.Errorf("hosts file %s: host %d lacks its id, zone or rack", path, i)
		case seen[h.ID]:
			return nil, errors.Errorf("hosts file %s: id %q is listed twice", path, h.ID)
		case !ok:
			return nil, errors.Errorf("hosts file %s: host %q has state %q, must be live, leaving or dead", path, h.ID, h.State)
		}
		if err := checkAddress(h.Address); err != nil {
			return nil, errors.Wrapf(err, "hosts file %s: host %q", path, h.ID)
		}
		seen[h.ID] = true
		out = append(out, port.Host{ID: h.ID, Zone: h.Zone, Rack: h.Rack, Address: h.Address, State: state})
	}
	return out, nil
}

// withControl calls f with a client for the Control service of the platform stand-in at an address.
func withControl(ctx context.Context, address string, f func(context.Context, standinpb.ControlClient) error) error {
	if err := checkAddress(address); err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(), grpc.WithDefaultCallOptions(grpc.WaitForReady(true)))
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return errors.Wrapf(f(ctx, standinpb.NewControlClient(conn)), "platform stand-in %s", address)
}

func newFaultsCommand() *cobra.Command {
	var address, down string
	var delay time.Duration
	faults := &standinpb.Faults{}
	c := &cobra.Command{
		Use:          "faults",
		Short:        "Replace the faults that a running platform stand-in injects; without flags, clear them",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			mode, ok := downModes[down]
			if !ok {
				return errors.Errorf("--down is %q, must be up, fail or hang", down)
			}
			faults.Down, faults.DelayMs = mode, delay.Milliseconds()
			return withControl(c.Context(), address, func(ctx context.Context, control standinpb.ControlClient) error {
				_, err := control.SetFaults(ctx, faults)
				return err
			})
		},
	}
	addAddressFlag(c, &address)
	c.Flags().StringVar(&down, "down", "up", "up, fail (calls fail immediately) or hang (calls get no response)")
	c.Flags().DurationVar(&delay, "delay", 0, "delay of each call")
	c.Flags().Int32Var(&faults.LoseAnswers, "lose-answers", 0, "number of writes that take effect but whose callers get an error")
	c.Flags().BoolVar(&faults.SilentWatches, "silent-watches", false, "permanently stop the events of watches that are open or are opened while this is set, without closing them")
	return c
}

var downModes = map[string]standinpb.Faults_Down{
	"up": standinpb.Faults_UP, "fail": standinpb.Faults_FAIL, "hang": standinpb.Faults_HANG,
}

func addAddressFlag(c *cobra.Command, address *string) {
	c.Flags().StringVar(address, "address", defaultPlatformAddress, "address of the platform stand-in, IP:port")
}

func newHostStateCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:          "host-state <id> live|leaving|dead",
		Short:        "Change the state of a host in the host list of a running platform stand-in",
		Args:         cobra.ExactArgs(2),
		SilenceUsage: true,
		RunE: func(c *cobra.Command, args []string) error {
			state, ok := hostStates[args[1]]
			if !ok {
				return errors.Errorf("state is %q, must be live, leaving or dead", args[1])
			}
			return withControl(c.Context(), address, func(ctx context.Context, control standinpb.ControlClient) error {
				_, err := control.SetHostState(ctx, &standinpb.SetHostStateRequest{Id: args[0], State: platformpb.Host_State(state)})
				return err
			})
		},
	}
	addAddressFlag(c, &address)
	return c
}

func newCountersCommand() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:          "counters",
		Short:        "Print the call counters of a running platform stand-in as JSON",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return withControl(c.Context(), address, func(ctx context.Context, control standinpb.ControlClient) error {
				counters, err := control.GetCounters(ctx, &standinpb.GetCountersRequest{})
				if err != nil {
					return err
				}
				b, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(counters)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(c.OutOrStdout(), string(b))
				return err
			})
		},
	}
	addAddressFlag(c, &address)
	return c
}
