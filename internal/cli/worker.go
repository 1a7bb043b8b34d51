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

// NewWorkerCommand returns the command that runs stand-ins for the worker agents.
func NewWorkerCommand() *cobra.Command {
	var platformAddress, runLog, record string
	o := worker.FleetOptions{}
	c := &cobra.Command{
		Use:   "worker",
		Short: "Run stand-ins for the agents on workers",
		Long: "Runs stand-ins for the agents on workers until SIGTERM. They register in the host list of the platform stand-in, and\n" +
			"are marked as dead there when they stop.",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(c *cobra.Command, _ []string) error { return runWorkers(c, platformAddress, runLog, record, o) },
	}
	f := c.Flags()
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "address of the first worker, IP:port; the others use the following ports, or all use free ports if the port is 0")
	f.IntVar(&o.Count, "count", 12, "number of workers")
	f.IntVar(&o.FirstIndex, "first", 0, "index of the first worker; must differ between processes in the same zone")
	f.StringVar(&o.Prefix, "prefix", "", "prefix of the host IDs, <zone>-w by default")
	f.IntVar(&o.RackSize, "rack-size", 6, "number of workers per rack")
	f.StringVar(&o.Worker.Zone, "zone", "", "zone of the workers")
	f.StringVar(&o.Worker.Pool, "pool", "", "hardware pool of the workers, empty for the default pool")
	f.Int64Var(&o.Worker.Capacity.Slots, "slots", 8, "slots of each worker")
	f.Int64Var(&o.Worker.Capacity.MilliCPU, "milli-cpu", 16_000, "CPU of each worker in thousandths of a core")
	f.Int64Var(&o.Worker.Capacity.MemoryMB, "memory-mb", 32_768, "memory of each worker in MB")
	f.Int64Var(&o.Worker.Capacity.Accelerators, "accelerators", 0, "accelerators of each worker")
	f.Int64Var(&o.Worker.Connections, "connections", 64, "maximum number of connections to the service instances of each worker")
	f.DurationVar(&o.Worker.UsageLag, "usage-lag", 5*time.Second, "age of the usage that workers report")
	f.StringVar(&record, "record", "", "file to which each start and end of a task and each request is appended as it happens, as JSON lines")
	f.StringVar(&runLog, "run-log", "", "file to which all runs are written when the workers stop, as JSON lines")
	f.StringVar(&platformAddress, "platform", defaultPlatformAddress, "address of the platform stand-in, IP:port")
	if err := c.MarkFlagRequired("zone"); err != nil {
		panic(err) // fails only if the flag isn't defined
	}
	return c
}

func runWorkers(c *cobra.Command, platformAddress, runLog, record string, o worker.FleetOptions) error {
	if o.Worker.Zone == "" || o.Worker.Capacity.HasNegative() || o.Worker.Connections < 0 || o.Worker.UsageLag < 0 {
		return errors.New("worker: --zone must not be empty, and capacities, --connections and --usage-lag must not be negative")
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
		defer func() { _ = file.Close() }() // lines are written without buffering, so an error on closing is ignored
		o.Worker.Log = worker.NewRunLog()
		o.Worker.Log.StreamTo(file)
	}
	fleet, err := worker.NewFleet(o)
	if err != nil {
		return errors.Wrap(err, "worker")
	}
	if err := putHosts(ctx, platformAddress, fleet.Hosts(), port.HostLive); err != nil {
		fleet.Stop()
		return errors.Wrap(err, "worker: register")
	}
	for _, h := range fleet.Hosts() {
		logger.Info("worker is listening", "worker", h.ID, "zone", h.Zone, "rack", h.Rack, "address", h.Address)
	}
	<-ctx.Done()
	fleet.Stop()
	logResults(logger, fleet)
	if runLog != "" {
		if err := fleet.Log().WriteFile(runLog); err != nil {
			return errors.Wrap(err, "worker")
		}
	}
	// The command's context has ended, but the hosts still have to be marked as dead in the platform's host list.
	return errors.Wrap(putHosts(context.WithoutCancel(ctx), platformAddress, fleet.Hosts(), port.HostDead), "worker: unregister")
}

// putHosts writes hosts with a state to the host list of the platform stand-in.
func putHosts(ctx context.Context, address string, hosts []port.Host, state port.HostState) error {
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

// logResults logs the number of runs and each violation of a guarantee by them.
func logResults(logger *slog.Logger, fleet *worker.Fleet) {
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
