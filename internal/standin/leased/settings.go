package leased

import "fmt"

// NodeSettings are the settings of a scheduler node that uses the stand-ins of this package.
type NodeSettings struct {
	Name, IP                          string
	CallersPort, ReadyPort, PeersPort int // ports for callers, readiness probes and other nodes
	Store, Advice                     string
	Advertise                         string // address announced to other nodes; empty for that of PeersPort
	MemoryMB, MaxFDs                  int    // of the machine; 0 leaves them out
}

// TOML returns the settings file that the platform would give the node. It contains future_field, which the node doesn't
// define and must ignore.
func (n NodeSettings) TOML() string {
	advertise, limits := "", ""
	if n.Advertise != "" {
		advertise = fmt.Sprintf("advertise = %q", n.Advertise)
	}
	if n.MemoryMB > 0 {
		limits += fmt.Sprintln("memory_mb =", n.MemoryMB)
	}
	if n.MaxFDs > 0 {
		limits += fmt.Sprintln("max_fds =", n.MaxFDs)
	}
	return fmt.Sprintf(`
node_name = "%s"
role = "node"
ip = "%s"
zone = "z"
port_range = [%d, %d]
advice = "%s"
future_field = 1
%s
[listen_addrs]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpu_share = 0.8
cores = 1
%s
[bounds]
grace_s = 6
hold_max_ms = 10000
stop_ms = 900
status_s = 120
config_apply_ms = 2000
[platform]
address = "%s"
value_bytes = 1048576
ttl_min_ms = 1000
`, n.Name, n.IP, n.PeersPort, n.PeersPort, n.Advice, advertise, n.IP, n.CallersPort, n.IP, n.ReadyPort, limits, n.Store)
}
