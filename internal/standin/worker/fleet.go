package worker

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/port"
)

// FleetOptions are the settings of a fleet.
type FleetOptions struct {
	Count      int
	FirstIndex int     // index of the first worker, used in host IDs and to assign racks
	RackSize   int     // workers per rack, at least 1
	Prefix     string  // of host IDs; <zone>-w if empty
	Listen     string  // IP:port of the first worker; with port 0 each gets any free port
	Worker     Options // ID and Rack are set for each worker
}

// Fleet is a group of workers in one process that share a run log.
type Fleet struct {
	workers []*Worker
	hosts   []port.Host
	log     *RunLog
	serving conc.WaitGroup
}

// NewFleet starts workers and serves them until Stop.
func NewFleet(o FleetOptions) (*Fleet, error) {
	if o.Count < 1 || o.RackSize < 1 || o.FirstIndex < 0 {
		return nil, errors.Errorf("invalid options for a fleet of %d workers from number %d in racks of %d", o.Count, o.FirstIndex, o.RackSize)
	}
	first, err := net.ResolveTCPAddr("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "resolve fleet address")
	}
	if o.Prefix == "" {
		o.Prefix = o.Worker.Zone + "-w"
	}
	if o.Worker.Log == nil {
		o.Worker.Log = NewRunLog()
	}
	f := &Fleet{log: o.Worker.Log}
	for i := range o.Count {
		address := *first
		if address.Port != 0 {
			address.Port += i
		}
		l, err := net.ListenTCP("tcp", &address)
		if err != nil {
			f.Stop()
			return nil, errors.Wrap(err, "listen for fleet worker")
		}
		f.add(o, o.FirstIndex+i, l)
	}
	return f, nil
}

func (f *Fleet) add(o FleetOptions, i int, l net.Listener) {
	settings := o.Worker
	settings.ID = fmt.Sprintf("%s%d", o.Prefix, i)
	settings.Rack = fmt.Sprintf("%s-r%d", o.Worker.Zone, i/o.RackSize)
	w := New(settings)
	f.workers = append(f.workers, w)
	f.hosts = append(f.hosts, w.Host(l.Addr().String()))
	f.serving.Go(func() {
		if err := w.Serve(l); err != nil {
			w.options.Logger.Error("worker stopped serving", "worker", settings.ID, "error", err)
		}
	})
}

// Hosts returns the entries of the workers in the host list.
func (f *Fleet) Hosts() []port.Host { return append([]port.Host(nil), f.hosts...) }

// Workers returns the workers in the order of Hosts.
func (f *Fleet) Workers() []*Worker { return append([]*Worker(nil), f.workers...) }

// Log returns the run log that all workers share.
func (f *Fleet) Log() *RunLog { return f.log }

// Capacity returns the capacity of each worker by host ID, as RunLog.Violations takes it.
func (f *Fleet) Capacity() map[string]resource.Vector {
	out := make(map[string]resource.Vector, len(f.workers))
	for _, w := range f.workers {
		out[w.options.ID] = w.options.Capacity
	}
	return out
}

// Stop kills all workers.
func (f *Fleet) Stop() {
	for _, w := range f.workers {
		w.Stop()
	}
	f.serving.Wait()
}
