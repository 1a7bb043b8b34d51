package node

import (
	"context"
	"sort"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/membership"
	"sequoiastall/internal/port"
)

// hostCache is the last host list that was read.
type hostCache struct {
	mu     sync.Mutex
	hosts  []port.Host
	loaded bool
}

func (c *hostCache) set(hosts []port.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts, c.loaded = hosts, true
}

func (c *hostCache) get() ([]port.Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts, c.loaded
}

// hostsLoop reads the host list once per interval and notifies the owners.
func (n *Node) hostsLoop(ctx context.Context) {
	runEvery(ctx, n.options.Timing.HostPoll, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, n.options.Timing.StoreTimeout)
		defer cancel()
		hosts, err := n.ports.Hosts.List(ctx)
		if err != nil {
			n.log.Debug("host list read failed", "error", err)
			return
		}
		sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
		n.hosts.set(hosts)
		n.owners.each(func(o *owner) { o.send(hostsChanged{}) })
	})
}

// partitionOf returns the partition that a worker belongs to: the workers of a rack share a partition.
func partitionOf(h port.Host, perZone int32) string {
	return h.Zone + "/" + strconv.FormatUint(xxhash.Sum64String(h.Rack)%uint64(max(1, perZone)), 10)
}

// hostsOf returns the entries of the host list that belong to a partition.
func (n *Node) hostsOf(partition string) []port.Host {
	config := n.currentConfig()
	if config == nil {
		return nil
	}
	perZone := config.Index.Cell().PartitionsPerZone
	all, _ := n.hosts.get()
	var hosts []port.Host
	for _, h := range all {
		if partitionOf(h, perZone) == partition {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// partitionsOf returns the partitions of a configuration.
func (n *Node) partitionsOf(config *configuration.Active) []membership.Partition {
	var partitions []membership.Partition
	for _, z := range config.Set.Zones {
		for k := int32(0); k < max(1, config.Index.Cell().PartitionsPerZone); k++ {
			partitions = append(partitions, membership.Partition(z.Name+"/"+strconv.Itoa(int(k))))
		}
	}
	return partitions
}
