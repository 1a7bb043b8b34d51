package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, those of kgs-kyushu.
const (
	heartbeatMS = 1500
	holdMaxMS   = 10_000
	stopMS      = 900
	stableTime  = 3 * time.Second
	configApply = 2 * time.Second
	cancelTime  = 3 * time.Second
	visibleTime = 3 * time.Second
	ackTime     = 4 * time.Second
)

// host is the Host header of all routes.
const host = "jobs.example"

// service is the pool of all workers.
const service = "pool"

// cellOptions describe a small deployment.
type cellOptions struct {
	nodes, workers int
	capacity       map[string]any // of each worker
}

// cell is a deployment: the platform's stand-in, nodes and workers.
type cell struct {
	record  *record
	dir     string
	store   *store
	rules   *rules
	nodes   []*node
	workers []*worker
	ports   map[int]bool // taken by this case
	ended   chan struct{}
}

// node is a process of the system.
type node struct {
	cell     *cell
	name     string
	settings string // path
	log      *os.File
	front    string

	mu      sync.Mutex
	process *os.Process
	reaped  chan struct{}
}

// worker is a worker of the platform, with the process of its current life.
type worker struct {
	cell    *cell
	options workerOptions

	mu      sync.Mutex
	process *os.Process
	in      io.WriteCloser
	reaped  chan struct{}
}

// freePort returns a port on loopback that nothing listens on.
func (c *cell) freePort() (int, error) {
	for {
		port := 20_000 + rand.IntN(10_000) // below those of outgoing connections
		if c.ports[port] {
			continue
		}
		c.ports[port] = true
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		return port, listener.Close()
	}
}

func startCell(r *record, o cellOptions) (*cell, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cell{record: r, dir: dir, store: newStore(), ports: map[int]bool{}, ended: make(chan struct{})}
	c.rules = newRules(r)
	for i := range o.workers {
		entry := map[string]any{"service": service, "zone": "z", "version": "v1", "slots": 8, "cold_ms": 0, "capacity": o.capacity,
			"labels": []string{"a", fmt.Sprintf("r1-%d", i/6+1)}}
		w := &worker{cell: c, options: workerOptions{ID: fmt.Sprintf("i-%d", i+1), BeatMS: heartbeatMS,
			HoldMaxMS: holdMaxMS, StopMS: 50, Entry: entry}}
		c.workers = append(c.workers, w)
		if err := w.startSomewhere(); err != nil {
			return c, err
		}
	}
	go c.expireWorkers()
	for i := range o.nodes {
		n, err := c.newNode(i)
		if err != nil {
			return c, err
		}
		c.nodes = append(c.nodes, n)
	}
	return c, nil
}

func (c *cell) expireWorkers() {
	for {
		select {
		case <-c.ended:
			return
		case <-time.After(100 * time.Millisecond):
			c.store.expireWorkers(heartbeatMS * time.Millisecond)
		}
	}
}

// startNodes starts all nodes and waits until each reports itself ready.
func (c *cell) startNodes() error {
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range c.nodes {
		if !eventually(20*time.Second, func() bool { return c.client(n).get(route+"/").status == 200 }) {
			return fmt.Errorf("node %s doesn't serve", n.name)
		}
	}
	return nil
}

func eventually(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// settingsText is the settings file that the platform gives a node.
const settingsText = `node_name = "%s"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "z"
region = "r"
port_range = [%d,%d]
bootstrap = true
heartbeat_ms = 1500
orders = "rpc"
advice = "127.0.0.1:%d"
[zones]
z = "r"
[listen_addrs]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 10000
stop_ms = 900
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = "%s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

func (c *cell) newNode(index int) (*node, error) {
	var ports [4]int
	for i := range ports {
		port, err := c.freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	address, err := c.store.serve(index)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("front-%d", index+1)
	n := &node{cell: c, name: name, settings: filepath.Join(c.dir, name+".toml"), front: fmt.Sprintf("127.0.0.1:%d", ports[1])}
	text := fmt.Sprintf(settingsText, name, ports[0], ports[0], ports[3], ports[1], ports[2], address)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(c.dir, name+".log"))
	return n, err
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	port, err := n.cell.freePort()
	if err != nil {
		return err
	}
	cmd := exec.Command("target/sequoiastall", "node", "--metrics-port", fmt.Sprint(port))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIASTALL_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	reaped := make(chan struct{})
	go func() { defer close(reaped); _ = cmd.Wait() }()
	n.mu.Lock()
	n.process, n.reaped = cmd.Process, reaped
	n.mu.Unlock()
	n.cell.record.add("node %s started", n.name)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.cell.record.add("node %s gets %s", n.name, s)
		_ = n.process.Signal(s) // fails only if it has ended
	}
}

// kill ends the node's process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reaped != nil {
		<-n.reaped
	}
	n.process = nil
}

// stop ends the node's process as the platform does: SIGTERM, and SIGKILL after the grace period.
func (n *node) stop(grace time.Duration) {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.reaped:
		n.cell.record.add("node %s has ended", n.name)
	case <-time.After(grace):
		n.kill()
	}
}

// startSomewhere starts the first life of the worker at a free address.
func (w *worker) startSomewhere() error {
	var err error
	for range startAttempts {
		var port int
		if port, err = w.cell.freePort(); err != nil {
			return err
		}
		w.options.Address = fmt.Sprintf("127.0.0.1:%d", port)
		if err = w.start(); err == nil {
			return nil
		}
	}
	return err
}

// startAttempts is how many addresses are tried: another program may take a free one.
const startAttempts = 5

// start starts a life of the worker and waits until it serves.
func (w *worker) start() error {
	cmd := exec.Command(os.Args[0], "worker")
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	reaped, up := make(chan struct{}), make(chan bool, 1)
	go func() {
		defer close(reaped)
		w.read(out, up)
		_ = cmd.Wait()
	}()
	w.mu.Lock()
	w.process, w.in, w.reaped = cmd.Process, in, reaped
	w.mu.Unlock()
	if err := json.NewEncoder(in).Encode(w.options); err != nil {
		return err
	}
	select {
	case <-up:
		return nil
	case <-reaped:
	case <-time.After(10 * time.Second):
	}
	return fmt.Errorf("worker %s isn't up", w.options.ID)
}

// read passes the worker's events on.
func (w *worker) read(out io.Reader, up chan<- bool) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e workerEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue
		}
		switch e.Kind {
		case "beat":
			entry, _ := json.Marshal(e.Entry) // was decoded just now
			w.cell.store.beat(e.Worker, entry)
		case "up":
			up <- true
			w.cell.rules.observe(e)
		default:
			w.cell.rules.observe(e)
		}
	}
}

// command tells the worker's process something.
func (w *worker) command(c workerCommand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = json.NewEncoder(w.in).Encode(c) // fails only if it has ended
}

func (w *worker) signal(s syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.process != nil {
		w.cell.record.add("worker %s gets %s", w.options.ID, s)
		_ = w.process.Signal(s) // fails only if it has ended
	}
}

// kill ends the worker's process. All that ran there has ended.
func (w *worker) kill() {
	w.signal(syscall.SIGKILL)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reaped != nil {
		<-w.reaped
	}
	w.process = nil
	w.cell.rules.observe(workerEvent{At: time.Now().UnixMicro(), Worker: w.options.ID, Kind: "down"})
}

// close ends all processes of the cell.
func (c *cell) close() {
	close(c.ended)
	for _, n := range c.nodes {
		n.kill()
		_ = n.log.Close() // nothing reads it after this
	}
	for _, w := range c.workers {
		w.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir) // a temporary directory
	} else {
		fmt.Fprintln(os.Stderr, "logs:", c.dir)
	}
}
