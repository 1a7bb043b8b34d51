package proof

import (
	"cmp"
	"encoding/json"
	"fmt"
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
	"sequoiastall/platform"
)

const (
	soakTaskCPU   = 1000
	soakDurations = 6 // number of different durations of tasks, by worker
	// capacityLag is how long a worker's former capacity counts; its room is known later under faults.
	capacityLag = 5 * time.Second
	soakHost    = "jobs.example"
	soakKey     = "key-1"
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
	checker *leased.RunChecker
	workers []*soakWorker
	nodes   []*soakNode
	version int // of the configuration
}

type soakWorker struct {
	*leased.Worker
	address string      // at which the nodes reach it
	claimed atomic.Bool // by a fault
}

type soakNode struct {
	settings     leased.NodeSettings
	settingsPath string
	client       *http.Client
	claimed      atomic.Bool // by a fault

	mu      sync.Mutex
	process *process
}

func newSoakCell(t *testing.T) *soakCell {
	ip := fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()%128, cellCount.Add(1))
	c := &soakCell{t: t, dir: t.TempDir(), network: newNetwork(t, ip), calm: make(chan struct{}), store: leased.NewStore(), checker: leased.NewRunChecker()}
	advice := leased.NewAdviceServer()
	t.Cleanup(func() {
		for _, w := range c.workers {
			w.Close()
		}
		advice.CloseClientConnections()
		advice.Close()
		c.store.Close()
	})
	for i := range *soakWorkers {
		w := &soakWorker{Worker: leased.NewWorker(fmt.Sprint("w", i), 4*soakTaskCPU, soakTaskCPU, time.Duration(60+90*(i%soakDurations))*time.Millisecond, c.checker)}
		w.address = c.network.relayTo(w.ID, w.Address())
		c.workers = append(c.workers, w)
		c.register(w, "ready")
	}
	c.configure()
	storeAddress := c.network.relayTo(storeTarget, c.store.Address())
	adviceAddress := c.network.relayTo(adviceTarget, strings.TrimPrefix(advice.URL, "http://"))
	for i := range *soakNodes {
		n := &soakNode{settingsPath: filepath.Join(c.dir, fmt.Sprint("boot-", i, ".toml")), client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}}
		n.settings = leased.NodeSettings{Name: fmt.Sprint("node-", i), IP: ip, CallersPort: 7500 + i, ReadyPort: 7600 + i, PeersPort: 7400 + i,
			Store: storeAddress, Advice: adviceAddress}
		n.settings.Advertise = c.network.relayTo(n.settings.Name, fmt.Sprintf("%s:%d", ip, n.settings.PeersPort))
		assert.NilError(t, os.WriteFile(n.settingsPath, []byte(n.settings.TOML()), 0o600))
		c.nodes = append(c.nodes, n)
		c.start(n)
		t.Cleanup(n.client.CloseIdleConnections)
	}
	return c
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

// register writes a worker's registry entry, with the address at which the nodes reach it.
func (c *soakCell) register(w *soakWorker, state string) {
	c.store.Put("servers/"+w.ID, w.RegistryEntryAt(w.address, "pool", state))
}

// configure writes a new version of the configuration.
func (c *soakCell) configure() {
	c.version++
	config, err := json.Marshal(map[string]any{"version": c.version,
		"routes": []map[string]any{
			{"name": "plain", "host": soakHost, "prefix": "/plain/", "service": "pool", "max_attempts": 2, "stretch": 3, "slo_ms": 1000, "priority": 1},
			{"name": "advised", "host": soakHost, "prefix": "/advised/", "service": "pool", "max_attempts": 2, "stretch": 3, "slo_ms": 1000,
				"advice": map[string]any{"decision_ms": 5, "period_ms": 0.1, "validity_ms": 3000}},
		},
		"limits":  map[string]any{"body_bytes": 20000},
		"tenants": []map[string]any{{"name": "team", "api_keys": []string{soakKey}, "weight": 1000}}})
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
	c.sleep(downtime)
	c.start(n)
}

// clearFaults ends all faults of the network and the store, and resumes paused nodes.
func (c *soakCell) clearFaults() {
	c.store.SetFault(nil)
	c.network.heal()
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
	}
}

// call sends a caller's request to a node and returns the status code and the response as text. The code is 0 if there
// was no response.
func (c *soakCell) call(n *soakNode, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", n.settings.IP, n.settings.CallersPort, path), strings.NewReader(body))
	assert.NilError(c.t, err)
	r.Host = soakHost
	r.Header.Set("Authorization", "Bearer "+soakKey)
	r.Header.Set("Deadline-Ms", "3000")
	response, err := n.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	var text strings.Builder
	if err := response.Write(&text); err != nil {
		return 0, ""
	}
	return response.StatusCode, text.String()
}
