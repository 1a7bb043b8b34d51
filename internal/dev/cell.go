// Package dev runs a small but complete cell in one process on loopback: the platform stand-in, simulated workers and
// ingress nodes.
package dev

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/platform"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
	"sequoiastall/internal/server"
	"sequoiastall/internal/settings"
	platformstandin "sequoiastall/internal/standin/platform"
	"sequoiastall/internal/standin/worker"
	"sequoiastall/internal/telemetry"
)

// loopback is a loopback address with an arbitrary free port.
const loopback = "127.0.0.1:0"

// Options configure a cell.
type Options struct {
	Set            object.Set
	Nodes          int // number of ingress nodes, distributed round-robin over the zones
	WorkersPerZone int
	RackSize       int
	Capacity       resource.Vector // of each worker
	Connections    int64           // of each worker
	Log            io.Writer       // JSON lines of all nodes
	LogLevel       slog.Level
	UsageLag       time.Duration
	AdjustSettings func(*settings.Settings) // changes the default settings of each node; nil keeps them
	// HTTPBase is the port of the first node's HTTP interface for callers. The other nodes use the following ports. With
	// 0, all use arbitrary free ports.
	HTTPBase int
}

// DefaultOptions returns options for a cell of the deployments' size: about 50 workers with 8 slots, 16 cores and 32 GB
// each, six to a rack.
func DefaultOptions(set object.Set) Options {
	return Options{Set: set, Nodes: 7, WorkersPerZone: 12, RackSize: 6, Connections: 64, Log: io.Discard, UsageLag: 2 * time.Second,
		Capacity: resource.Vector{Slots: 8, MilliCPU: 16_000, MemoryMB: 32_768}}
}

// Cell is a running cell.
type Cell struct {
	Platform *platformstandin.Server
	Fleets   []*worker.Fleet
	Runs     *worker.RunLog
	Nodes    []*Node

	options Options
	address string // of the platform stand-in
	serving conc.WaitGroup
	store   *platform.Client
}

// Node is an ingress node of the cell.
type Node struct {
	ID, Zone string
	Server   *server.Server
	stop     context.CancelFunc
	done     chan struct{}
}

// Stop ends the node gracefully.
func (n *Node) Stop() {
	n.stop()
	<-n.done
}

// Start starts a cell and publishes its object set.
func Start(o Options) (*Cell, error) {
	c := &Cell{Runs: worker.NewRunLog(), options: o}
	c.Platform = platformstandin.New(platformstandin.Options{})
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "platform stand-in")
	}
	c.address = l.Addr().String()
	c.serving.Go(func() { _ = c.Platform.Serve(l) })
	if c.store, err = platform.New(c.address, connection.Options{}); err != nil {
		c.Stop()
		return nil, err
	}
	if err := c.startWorkers(); err != nil {
		c.Stop()
		return nil, err
	}
	if err := c.Publish(o.Set); err != nil {
		c.Stop()
		return nil, err
	}
	for i := range o.Nodes {
		if _, err := c.StartNode(fmt.Sprintf("node%d", i), o.Set.Zones[i%len(o.Set.Zones)].Name); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

func (c *Cell) startWorkers() error {
	var hosts []port.Host
	for _, z := range c.options.Set.Zones {
		pool := ""
		if len(c.options.Set.Pools) > 0 {
			pool = c.options.Set.Pools[0].Label
		}
		fleet, err := worker.NewFleet(worker.FleetOptions{Count: c.options.WorkersPerZone, RackSize: c.options.RackSize, Listen: loopback,
			Worker: worker.Options{Zone: z.Name, Pool: pool, Capacity: c.options.Capacity, Connections: c.options.Connections,
				UsageLag: c.options.UsageLag, Log: c.Runs, Logger: slog.New(slog.NewJSONHandler(c.options.Log, nil))}})
		if err != nil {
			return err
		}
		c.Fleets = append(c.Fleets, fleet)
		hosts = append(hosts, fleet.Hosts()...)
	}
	c.Platform.SetHosts(hosts)
	return nil
}

// Publish writes an object set to the store as the next revision.
func (c *Cell) Publish(set object.Set) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w := port.Write{Key: port.ConfigKey, Condition: port.IfAbsent}
	revision := int64(1)
	if entry, err := c.store.Get(ctx, port.ConfigKey); err == nil {
		current, err := configuration.Unmarshal(entry.Value)
		if err != nil {
			return err
		}
		w.Condition, w.Revision, revision = port.IfRevision, entry.Revision, current.Revision+1
	}
	d, err := configuration.NewDocument(set, revision, "dev")
	if err != nil {
		return err
	}
	if w.Value, err = d.Marshal(); err != nil {
		return err
	}
	_, err = c.store.Put(ctx, w)
	return errors.Wrap(err, "publish")
}

// StartNode starts another ingress node.
func (c *Cell) StartNode(id, zone string) (*Node, error) {
	s := settings.Default()
	s.NodeID, s.Zone, s.PlatformAddress, s.PeerAddress, s.HTTPAddress = id, zone, c.address, loopback, loopback
	if c.options.AdjustSettings != nil {
		c.options.AdjustSettings(&s)
	}
	if c.options.HTTPBase > 0 {
		s.HTTPAddress = net.JoinHostPort("127.0.0.1", strconv.Itoa(c.options.HTTPBase+len(c.Nodes)))
	}
	log := telemetry.NewLogger(c.options.Log, c.options.LogLevel, id, zone)
	v, err := server.New(s, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{ID: id, Zone: zone, Server: v, stop: cancel, done: make(chan struct{})}
	c.Nodes = append(c.Nodes, n)
	go func() {
		defer close(n.done)
		_ = v.Run(ctx)
	}()
	return n, nil
}

// Stop ends the nodes gracefully, then the workers and the platform.
func (c *Cell) Stop() {
	var wg conc.WaitGroup
	for _, n := range c.Nodes {
		wg.Go(n.Stop)
	}
	wg.Wait()
	for _, f := range c.Fleets {
		f.Stop()
	}
	if c.store != nil {
		_ = c.store.Close()
	}
	c.Platform.Stop()
	c.serving.Wait()
}

// Client returns a client of the i-th node that authenticates with the given secret.
func (c *Cell) Client(i int, secret string, client *http.Client) *callerclient.Client {
	return &callerclient.Client{Address: c.Nodes[i].Server.HTTPAddress(), Secret: secret, HTTP: client}
}

// PlatformAddress returns the address of the platform stand-in, IP:port.
func (c *Cell) PlatformAddress() string { return c.address }

// Capacity returns the capacity of each worker by host ID.
func (c *Cell) Capacity() map[string]resource.Vector {
	all := map[string]resource.Vector{}
	for _, f := range c.Fleets {
		for id, v := range f.Capacity() {
			all[id] = v
		}
	}
	return all
}
