package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sequoiastall/internal/standin/leased"
	"sequoiastall/internal/standin/workerproc"
	"sequoiastall/platform"
)

// Bounds of the small deployment (the users' site kgs-kyushu).
const (
	heartbeat   = 1500 * time.Millisecond
	expireAfter = 3 * heartbeat // of silence, a registry entry is removed
	configApply = 2 * time.Second
	visible     = 3 * time.Second
	finish      = 14 * time.Second
)

// Ports of a node; each node has an address of its own.
const (
	callersPort = 8183
	readyPort   = 8184
	peersPort   = 7420
)

const (
	host = "jobs.example"
	key  = "key-of-team"
	team = "team"
)

// cell is a small deployment: nodes and workers as processes, the store and the advice service in this process.
type cell struct {
	record *record
	dir    string
	base   string // first three parts of all addresses
	store  *leased.Store
	fleet  *workerproc.Fleet
	nodes  []*node
	capCPU int64 // limit of the tenant, in thousandths of a core; 0: none

	mu      sync.Mutex
	workers map[string]*worker
	events  []workerproc.Event
}

type node struct {
	name, ip string
	cmd      *exec.Cmd
	client   *http.Client
	advice   *httptest.Server
}

// worker is a worker that the platform's registry may list.
type worker struct {
	process  *workerproc.Process
	state    string // "" while it sends no heartbeats
	sequence int
	lastBeat time.Time
}

// fatal ends the run as one that couldn't be played.
type fatal struct{ error }

func must(err error) {
	if err != nil {
		panic(fatal{err})
	}
}

func newCell(r *record) *cell {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	c := &cell{record: r, dir: dir, base: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250)), store: leased.NewStore(), workers: map[string]*worker{}}
	c.fleet = workerproc.NewFleet(c.observe)
	go c.beat()
	return c
}

// close ends everything that was started.
func (c *cell) close() {
	for _, n := range c.nodes {
		_ = n.cmd.Process.Kill() // fails only if the process has ended
		_ = n.cmd.Wait()
		n.advice.CloseClientConnections()
		n.advice.Close()
	}
	c.fleet.Close()
	c.store.Close()
	_ = os.RemoveAll(c.dir)
}

func (c *cell) observe(e workerproc.Event) {
	c.mu.Lock()
	c.events = append(c.events, e)
	c.mu.Unlock()
	switch e.Kind {
	case workerproc.Started:
		c.record.add("worker %s (life %d) starts run %d of %s", e.Worker, e.Life, e.Run, e.Task)
	case workerproc.Ended:
		c.record.add("worker %s (life %d) ends run %d of %s as %s", e.Worker, e.Life, e.Run, e.Task, e.Outcome)
	case workerproc.Rejected:
		c.record.add("worker %s (life %d) rejects run %d of %s: %s", e.Worker, e.Life, e.Run, e.Task, e.Reason)
	case workerproc.Up:
		c.record.add("worker %s (life %d) is up: service %s, labels %v, capacity %+v", e.Worker, e.Life, e.Service, e.Labels, e.Capacity)
	case workerproc.Down:
		c.record.add("worker %s (life %d) is down", e.Worker, e.Life)
	}
}

// seen returns the events so far that match.
func (c *cell) seen(match func(workerproc.Event) bool) []workerproc.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []workerproc.Event
	for _, e := range c.events {
		if match(e) {
			found = append(found, e)
		}
	}
	return found
}

// starts returns how often tasks of a job have started. The prefix may name a step or a task.
func (c *cell) starts(prefix string) int {
	return len(c.seen(func(e workerproc.Event) bool {
		return e.Kind == workerproc.Started && strings.HasPrefix(e.Task, prefix)
	}))
}

// running returns the runs under way on each worker.
func (c *cell) running() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := map[string]int{}
	for id := range c.workers {
		runs[id] = 0
	}
	for _, e := range c.events {
		switch e.Kind {
		case workerproc.Started:
			runs[e.Worker]++
		case workerproc.Ended:
			runs[e.Worker]--
		case workerproc.Down:
			runs[e.Worker] = 0
		}
	}
	return runs
}

// addWorker starts a worker and lets it register itself.
func (c *cell) addWorker(o workerproc.Options) {
	if o.Address == "" {
		c.mu.Lock()
		o.Address = fmt.Sprintf("%s.%d:8080", c.base, 101+len(c.workers))
		c.mu.Unlock()
	}
	p, err := c.fleet.Start(o)
	must(err)
	c.mu.Lock()
	w := c.workers[o.ID]
	if w == nil {
		w = &worker{}
		c.workers[o.ID] = w
	}
	w.process = p
	c.mu.Unlock()
	c.setState(o.ID, "ready")
}

// setState lets a worker report a state, as it does at once when that changes. With "" it falls silent.
func (c *cell) setState(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	w.state = state
	if state != "" {
		c.register(id, w)
	}
}

// register writes a worker's registry entry. The caller holds mu.
func (c *cell) register(id string, w *worker) {
	var entry map[string]any
	must(json.Unmarshal(w.process.RegistryEntry(w.process.Address, w.state), &entry))
	w.sequence++
	entry["sequence"], entry["version"], entry["slots"], entry["cold_ms"] = w.sequence, "v1", 8, 0
	value, err := json.Marshal(entry)
	must(err)
	c.store.Put("servers/"+id, value)
	w.lastBeat = time.Now()
}

// beat renews the registry entries, and removes those of silent workers.
func (c *cell) beat() {
	for range time.Tick(100 * time.Millisecond) {
		c.mu.Lock()
		for id, w := range c.workers {
			switch {
			case w.state != "" && time.Since(w.lastBeat) >= heartbeat:
				c.register(id, w)
			case w.state == "" && !w.lastBeat.IsZero() && time.Since(w.lastBeat) > expireAfter:
				c.store.Delete("servers/" + id)
				w.lastBeat = time.Time{}
			}
		}
		c.mu.Unlock()
	}
}

// crash kills a worker and starts it again under its ID after some time.
func (c *cell) crash(id string, down time.Duration) {
	p := c.processOf(id)
	c.record.add("the worker %s crashes", id)
	c.setState(id, "")
	p.Kill()
	time.Sleep(down)
	c.addWorker(p.Options)
}

// replace kills a worker, which comes back at once under its ID and address as another kind: its next life waits for the
// address.
func (c *cell) replace(id string, change func(*workerproc.Options)) {
	p := c.processOf(id)
	o := p.Options
	change(&o)
	back := make(chan struct{})
	go func() {
		defer close(back)
		c.addWorker(o)
	}()
	time.Sleep(200 * time.Millisecond)
	c.record.add("the worker %s crashes", id)
	c.setState(id, "")
	p.Kill()
	<-back
}

func (c *cell) processOf(id string) *workerproc.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[id].process
}

// addNodes starts nodes with the command of the deploy file, each with an advice service that handles one call at a time.
func (c *cell) addNodes(count int, advice leased.Advice) {
	binary, err := filepath.Abs("target/sequoiastall")
	must(err)
	for i := range count {
		n := &node{name: fmt.Sprint("front-", i+1), ip: fmt.Sprintf("%s.%d", c.base, i+1), advice: advice.NewServer(), client: &http.Client{Transport: &http.Transport{}}}
		path := filepath.Join(c.dir, n.name+".toml")
		must(os.WriteFile(path, []byte(c.settings(n)), 0o600))
		log, err := os.Create(filepath.Join(c.dir, n.name+".log"))
		must(err)
		n.cmd = exec.Command(binary, "node", "--metrics-port", "9464")
		n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + path}
		n.cmd.Stdout, n.cmd.Stderr = log, log
		n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		must(n.cmd.Start())
		must(log.Close())
		c.nodes = append(c.nodes, n)
	}
}

func (c *cell) settings(n *node) string {
	address := func(port int) string { return net.JoinHostPort(n.ip, fmt.Sprint(port)) }
	return fmt.Sprintf(`node_name = %q
role = "node"
machine_class = "front"
serves = ["front"]
ip = %q
zone = "z"
region = "r"
port_range = [%d, %d]
seeds = []
bootstrap = true
heartbeat_ms = 1500
orders = "rpc"
advice = %q
[listen_addrs]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
stable_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 10000
stop_ms = 900
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
lease_ms = 3000
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
value_bytes = 1048576
ttl_min_ms = 1000
`, n.name, n.ip, peersPort, peersPort+15, strings.TrimPrefix(n.advice.URL, "http://"), address(callersPort), address(readyPort), c.store.Address())
}

// route is a route of the configuration, as the operator writes it.
type route struct {
	name, prefix, service string
	priority              int
	stretch               float64
	sloMS                 int
	public                bool
	advice                map[string]any
}

// configure writes a configuration. Its tenant has one key.
func (c *cell) configure(version int, routes ...route) {
	var list []map[string]any
	var services []map[string]any
	for _, r := range routes {
		m := map[string]any{"name": r.name, "host": host, "prefix": r.prefix, "service": r.service, "kind": "unsafe", "timeout_ms": 3000, "priority": r.priority,
			"max_attempts": 2, "stretch": r.stretch, "slo_ms": r.sloMS, "public": r.public}
		if r.advice != nil {
			m["advice"] = r.advice
		}
		list = append(list, m)
		if !slices.ContainsFunc(services, func(s map[string]any) bool { return s["name"] == r.service }) {
			services = append(services, map[string]any{"name": r.service, "enforce_capacity": false})
		}
		c.record.add("configuration %d: route %s, prefix %s, service %s, public %t", version, r.name, r.prefix, r.service, r.public)
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": list, "services": services, "limits": map[string]any{"body_bytes": 262144},
		"tenants": []any{map[string]any{"name": team, "api_keys": []string{key}, "weight": 1000, "cap": map[string]any{"cpu": c.capCPU}}}})
	must(err)
	c.store.Put("op/config", value)
	c.record.add("configuration %d is acknowledged by the store", version)
}

// awaitReady waits until all nodes answer callers.
func (c *cell) awaitReady(prefix string) {
	end := time.Now().Add(15 * time.Second)
	for _, n := range c.nodes {
		for {
			if status, _ := n.call(http.MethodGet, prefix, key, ""); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				panic(fatal{fmt.Errorf("%s isn't ready", n.name)})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.record.add("all nodes answer")
}

// call sends a caller's request and returns the status, 0 without an answer, and the body. Without a key, none is sent.
func (n *node) call(method, path, key, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+net.JoinHostPort(n.ip, fmt.Sprint(callersPort))+path, strings.NewReader(body))
	must(err)
	r.Host = host
	r.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	client := *n.client
	client.Timeout = 4 * time.Second
	response, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text := make([]byte, 300)
	count, _ := response.Body.Read(text) // the answers are short, and an empty one has no first byte
	return response.StatusCode, strings.TrimSpace(string(text[:count]))
}

// ask sends a request to a node and records it with its answer.
func (c *cell) ask(n *node, method, path, key, body string) (int, string) {
	began := time.Now()
	status, answer := n.call(method, path, key, body)
	with := "with the key"
	if key == "" {
		with = "without a key"
	}
	c.record.add("%s %s at %s %s: %d %s (%d ms)", method, path, n.name, with, status, answer, time.Since(began).Milliseconds())
	return status, answer
}

// submit hands a job in, with a new attempt at the next node while there is no answer.
func (c *cell) submit(prefix string, j workerproc.Job) {
	for attempt := range 8 {
		status, _ := c.ask(c.nodes[attempt%len(c.nodes)], http.MethodPost, prefix+j.ID, key, j.Body())
		if status == http.StatusOK {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	panic(fatal{fmt.Errorf("job %s isn't accepted", j.ID)})
}

// newID returns an ID as a client chooses it.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// eventually waits for a condition.
func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
