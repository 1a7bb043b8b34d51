package cli

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/platformpb"
	"sequoiastall/internal/rpc/standinpb"
	"sequoiastall/internal/standin/worker"
)

// NewWorkerCommand returns the command that runs stand-ins for workers.
func NewWorkerCommand() *cobra.Command {
	var platformAddress, runLog, record string
	o := worker.FleetOptions{}
	c := &cobra.Command{
		Use:   "worker",
		Short: "Run stand-ins for the agents on workers",
		Long: "Run stand-ins for the agents on workers until SIGTERM. They register in the host list of the platform\n" +
			"stand-in, and are dead there when they have ended.",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(c *cobra.Command, _ []string) error { return runWorkers(c, platformAddress, runLog, record, o) },
	}
	f := c.Flags()
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "address of the first worker, IP:port; the others use the following ports, or any free ones with port 0")
	f.IntVar(&o.Count, "count", 12, "number of workers")
	f.IntVar(&o.First, "first", 0, "number of the first worker; differs between processes in one zone")
	f.StringVar(&o.Prefix, "prefix", "", "what host IDs begin with, <zone>-w by default")
	f.IntVar(&o.RackSize, "rack-size", 6, "workers per rack")
	f.StringVar(&o.Worker.Zone, "zone", "", "zone of the workers")
	f.StringVar(&o.Worker.Pool, "pool", "", "hardware pool of the workers, empty for the default pool")
	f.Int64Var(&o.Worker.Capacity.Slots, "slots", 8, "slots of a worker")
	f.Int64Var(&o.Worker.Capacity.MilliCPU, "milli-cpu", 16_000, "thousandths of a core of a worker")
	f.Int64Var(&o.Worker.Capacity.MemoryMB, "memory-mb", 32_768, "memory of a worker in MB")
	f.Int64Var(&o.Worker.Capacity.Accelerators, "accelerators", 0, "accelerators of a worker")
	f.Int64Var(&o.Worker.Connections, "connections", 64, "connections to the service instances of a worker")
	f.DurationVar(&o.Worker.UsageLag, "usage-lag", 5*time.Second, "how old reported usage is")
	f.StringVar(&record, "record", "", "file to which each start and end of a task and each request is appended at once, JSON lines")
	f.StringVar(&runLog, "run-log", "", "file to write all runs to at the end, a JSON object a line")
	f.StringVar(&platformAddress, "platform", defaultPlatformAddress, "address of the platform stand-in, IP:port")
	if err := c.MarkFlagRequired("zone"); err != nil {
		panic(err) // only if the flag isn't defined
	}
	return c
}

func runWorkers(c *cobra.Command, platformAddress, runLog, record string, o worker.FleetOptions) error {
	if o.Worker.Zone == "" || o.Worker.Capacity.HasNegative() || o.Worker.Connections < 0 || o.Worker.UsageLag < 0 {
		return errors.New("worker: --zone must not be empty, and no capacity, limit or lag may be negative")
	}
	address, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return errors.Wrap(err, "worker: --listen")
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := jsonLogger(c.ErrOrStderr())
	o.Worker.Logger = logger
	o.Worker.Restarted = true
	o.Worker.InstanceIP = address.Addr().String()
	if record != "" {
		file, err := os.OpenFile(record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "worker: --record")
		}
		defer func() { _ = file.Close() }() // each line was written when it was logged
		o.Worker.Log = worker.NewRunLog()
		o.Worker.Log.RecordTo(file)
	}
	fleet, err := worker.NewFleet(o)
	if err != nil {
		return errors.Wrap(err, "worker")
	}
	if err := register(ctx, platformAddress, fleet.Hosts(), port.HostLive); err != nil {
		fleet.Stop()
		return errors.Wrap(err, "worker: register")
	}
	for _, h := range fleet.Hosts() {
		logger.Info("worker is listening", "worker", h.ID, "zone", h.Zone, "rack", h.Rack, "address", h.Address)
	}
	<-ctx.Done()
	fleet.Stop()
	logEnd(logger, fleet)
	if runLog != "" {
		if err := fleet.Log().WriteFile(runLog); err != nil {
			return errors.Wrap(err, "worker")
		}
	}
	// The command's context is over; the platform still has to learn that the hosts are dead.
	return errors.Wrap(register(context.WithoutCancel(ctx), platformAddress, fleet.Hosts(), port.HostDead), "worker: unregister")
}

// register puts hosts into the host list with a state.
func register(ctx context.Context, address string, hosts []port.Host, state port.HostState) error {
	r := &standinpb.PutHostsRequest{}
	for _, h := range hosts {
		r.Hosts = append(r.Hosts, &platformpb.Host{
			Id: h.ID, Zone: h.Zone, Rack: h.Rack, Address: h.Address, State: platformpb.Host_State(state),
		})
	}
	return withControl(ctx, address, func(ctx context.Context, control standinpb.ControlClient) error {
		_, err := control.PutHosts(ctx, r)
		return err
	})
}

// logEnd logs how many runs there were, and each violation of a guarantee among them.
func logEnd(logger *slog.Logger, fleet *worker.Fleet) {
	violations := fleet.Log().Violations(fleet.Capacity())
	for _, v := range violations {
		logger.Error("guarantee violated", "violation", v)
	}
	logger.Info("workers stopped", "runs", len(fleet.Log().Runs()), "violations", len(violations))
}

func checkAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	return errors.Wrapf(err, "address %q", address)
}
