package proof

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/standin/leased"
	"sequoiastall/internal/standin/runcheck"
	"sequoiastall/internal/standin/workerproc"
	"sequoiastall/platform"
)

const (
	soakTaskCPU      = 1000 // thousandths of a core
	soakWorkerMemMB  = 4000
	soakTeamLimitCPU = 4 * soakTaskCPU
	soakMaxAttempts  = 2
	soakHost         = "jobs.example"
	soakService      = "pool"
	// capacityLag is how long a worker's former capacity counts after it has shrunk.
	capacityLag = 5 * time.Second
)

// Streams of random numbers of a seed, besides those of the faults.
const (
	clientsStream   = 1
	servicesStream  = 100
	malformedStream = 101
	workersStream   = 102
)

// Names of the targets that all nodes reach over the network, besides the workers and the nodes.
const (
	storeTarget  = "store"
	adviceTarget = "advice"
)

// soakCell is a cell whose nodes are separate processes and use the stand-in of the users' platform. The nodes reach all
// others over a network that can disturb each pair.
type soakCell struct {
	t       *testing.T
	dir     string
	network *network
	faults  faultLog
	calm    chan struct{} // closed when no further faults are injected
	store   *leased.Store
	fleet   *workerproc.Fleet
	checker *runcheck.Checker
	workers []*soakWorker
	nodes   []*soakNode

	eventsMu sync.Mutex
	events   []workerproc.Event // of the workers, in the order of their reports
}

type soakNode struct {
	settings     leased.NodeSettings
	settingsPath string
	client       *http.Client
	claimed      atomic.Bool // by a fault

	mu      sync.Mutex
	process *process
}

func newSoakCell(t *testing.T, seed uint64) *soakCell {
	ip := fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()%128, cellCount.Add(1))
	c := &soakCell{t: t, dir: t.TempDir(), network: newNetwork(t, ip), calm: make(chan struct{}), store: leased.NewStore()}
	rules := runcheck.DefaultRules()
	rules.CapacityLag, rules.MaxAttempts, rules.Admits = capacityLag, soakMaxAttempts, c.admits
	rules.Limits = map[string]workerproc.Capacity{soakTeams[0]: {CPU: soakTeamLimitCPU}}
	c.checker = runcheck.New(rules)
	c.faults.checker = c.checker
	c.fleet = workerproc.NewFleet(c.observe)
	t.Cleanup(func() {
		c.fleet.Close()
		c.store.Close()
	})
	rng := rand.New(rand.NewPCG(seed, workersStream))
	for i := range *soakWorkers {
		c.addWorker(i, rng)
	}
	c.configure()
	for i := range *soakNodes {
		c.addNode(i)
	}
	return c
}

// addNode starts a node with an advice service of its own.
func (c *soakCell) addNode(i int) {
	advice := c.newAdvice()
	c.t.Cleanup(func() {
		advice.CloseClientConnections()
		advice.Close()
	})
	n := &soakNode{settingsPath: filepath.Join(c.dir, fmt.Sprint("boot-", i, ".toml")), client: &http.Client{Transport: &http.Transport{}}}
	name := fmt.Sprint("node-", i)
	n.settings = leased.NodeSettings{Name: name, IP: c.network.ip, CallersPort: 7500 + i, ReadyPort: 7600 + i, PeersPort: 7400 + i,
		Store:  c.network.relayFrom(name, storeTarget, c.store.Address()),
		Advice: c.network.relayFrom(name, adviceTarget, strings.TrimPrefix(advice.URL, "http://"))}
	n.settings.Advertise = c.network.relayTo(name, fmt.Sprintf("%s:%d", n.settings.IP, n.settings.PeersPort))
	assert.NilError(c.t, os.WriteFile(n.settingsPath, []byte(n.settings.TOML()), 0o600))
	c.nodes = append(c.nodes, n)
	c.start(n)
	c.t.Cleanup(n.client.CloseIdleConnections)
}

// sleep waits, and returns whether further faults may be injected.
func (c *soakCell) sleep(d time.Duration) bool {
	select {
	case <-c.calm:
		return false
	case <-time.After(d):
		return true
	}
}

// schedulingNode returns the node that the store names as the scheduling one, or nil.
func (c *soakCell) schedulingNode() *soakNode {
	record, _ := c.store.Value("sequoiastall/scheduler")
	for _, n := range c.nodes {
		if strings.Contains(string(record), fmt.Sprintf("%q", n.settings.Name)) {
			return n
		}
	}
	return nil
}

// configure writes the configuration.
func (c *soakCell) configure() {
	advice := map[string]any{"decision_ms": 5, "period_ms": 0.1, "validity_ms": ticketValidity.Milliseconds()}
	route := func(name string, priority int) map[string]any {
		return map[string]any{"name": name, "host": soakHost, "prefix": "/" + name + "/", "service": soakService, "max_attempts": soakMaxAttempts,
			"stretch": 3, "slo_ms": 1000, "priority": priority}
	}
	advised := route("advised", 1)
	advised["advice"] = advice
	var tenants []map[string]any
	for _, team := range soakTeams {
		tenants = append(tenants, map[string]any{"name": team, "api_keys": []string{keyOf(team)}, "weight": 1000})
	}
	tenants[0]["cap"] = map[string]any{"cpu": soakTeamLimitCPU}
	config, err := json.Marshal(map[string]any{"version": 1, "routes": []any{route("plain", 1), route("urgent", 0), advised},
		"limits": map[string]any{"body_bytes": 20000}, "tenants": tenants})
	assert.NilError(c.t, err)
	c.store.Put("op/config", config)
}

// start starts a node's process.
func (c *soakCell) start(n *soakNode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = launchBinary(c.t, cmp.Or(*soakBinary, binary), []string{platform.SettingsVariable + "=" + n.settingsPath}, c.dir, n.settings.Name, "node")
	c.network.dialers.set(n.process.cmd.Process.Pid, n.settings.Name)
}

// current returns the node's present process.
func (n *soakNode) current() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// signal sends a signal to a node's process, which may have exited.
func (n *soakNode) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.cmd.Process.Signal(s) // fails only if the process has exited
}

// restart waits until a node's process has exited and starts the node again after some time.
func (c *soakCell) restart(n *soakNode, downtime time.Duration) {
	<-n.current().done
	c.network.refuse(n.settings.Name)
	c.sleep(downtime)
	c.start(n)
	c.network.allow(n.settings.Name)
}

// clearFaults ends all faults of the network and the store, and resumes paused processes.
func (c *soakCell) clearFaults() {
	c.store.SetFault(nil)
	c.network.heal()
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
	}
	for _, w := range c.workers {
		w.current().Resume()
	}
}
