//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cell is a small deployment: nodes of the project as separate processes, with stand-ins of the platform, the workers, the
// advice service and the clients.
type cell struct {
	*world
	dir   string // of settings and logs
	ip    string // first three numbers of the addresses
	nodes []*node
	next  int // node of the next attempt of a client
	asked time.Time
}

type node struct {
	name, ip string
	cmd      *exec.Cmd
	done     chan struct{}
}

const (
	callersPort = 8183
	readyPort   = 8184
	peersPort   = 7420
	host        = "nony24.example"
	key         = "6x73d3zji9n73hh2b9wu"
	nodeCount   = 3
)

// queue is a route of the configuration.
type queue struct {
	name, prefix string
	advice       bool
	public       bool
}

var plainQueue = queue{name: "r-plain", prefix: "/lohu930/"}

// newCell starts the stand-ins and the nodes, and waits until they are ready.
func newCell(w *world, queues ...queue) (*cell, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cell{world: w, dir: dir}
	if c.ip, err = freeAddresses(); err != nil {
		return c, err
	}
	if w.store, err = newStore(c.ip + ".1"); err != nil {
		return c, err
	}
	advice, err := newAdvice(w, c.ip+".2")
	if err != nil {
		return c, err
	}
	for i := range workers {
		k, err := newWorker(w, fmt.Sprintf("%s.%d", c.ip, 20+i), fmt.Sprintf("i-%010x", i+1), fmt.Sprintf("r1-%d", i/6+1), workerCPU)
		if err != nil {
			return c, err
		}
		if i == workers-1 {
			k.label = "b" // the only worker of this kind
		}
		w.workers = append(w.workers, k)
		k.beat()
	}
	c.configure(1, queues...)
	command, err := runCommand()
	if err != nil {
		return c, err
	}
	for i := range nodeCount {
		n := &node{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", c.ip, 10+i)}
		c.nodes = append(c.nodes, n)
		path := filepath.Join(dir, n.name+".toml")
		if err := os.WriteFile(path, []byte(settings(n, w.store.address, advice)), 0o600); err != nil {
			return c, err
		}
		if err := c.launch(n, command, path); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady()
}

// freeAddresses returns the first three numbers of loopback addresses on which the nodes' ports are free.
func freeAddresses() (string, error) {
	for i := range 100 {
		ip := fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+i)%128, (os.Getpid()/128+i)%256)
		free := true
		for n := range nodeCount {
			for _, port := range []int{callersPort, readyPort, peersPort, 9464} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", ip, 10+n, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no free addresses")
}

// runCommand returns the words of `run` in the deploy file.
func runCommand() ([]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no run")
}

func (c *cell) launch(n *node, command []string, path string) error {
	log, err := os.Create(filepath.Join(c.dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.cmd = exec.Command(command[0], command[1:]...)
	n.cmd.Env = append(os.Environ(), "SEQUOIASTALL_BOOT="+path)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func() {
		_ = n.cmd.Wait()
		close(n.done)
	}()
	return log.Close()
}

// close ends all processes and keeps the logs only if keep is set.
func (c *cell) close(keep bool) {
	for _, n := range c.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	if keep {
		fmt.Println("logs of the nodes:", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

func settings(n *node, store, advice string) string {
	return fmt.Sprintf(`node_name = "%s"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "%s"
zone = "z1"
region = "r"
port_range = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
orders = "rpc"
advice = "%s"
[zones]
z1 = "r"
[listen_addrs]
front = "%s:%d"
ready = "%s:%d"
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
recovery_s = 12
hold_max_ms = %d
stop_ms = 900
gang_wait_ms = 3000
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
`, n.name, n.ip, peersPort, peersPort+15, heartbeat.Milliseconds(), advice, n.ip, callersPort, n.ip, readyPort, holdMax.Milliseconds(), store)
}

// configure writes a version of the configuration, as the operator does.
func (c *cell) configure(version int, queues ...queue) {
	routes := []map[string]any{}
	for _, q := range queues {
		r := map[string]any{"name": q.name, "host": host, "prefix": q.prefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 1000, "priority": 1,
			"service": serviceName, "max_attempts": 2, "stretch": 2.2, "public": q.public}
		if q.advice {
			r["advice"] = map[string]any{"decision_ms": 10.0, "period_ms": 0.15, "validity_ms": c.validity.Milliseconds()}
		}
		routes = append(routes, r)
	}
	b, err := json.Marshal(map[string]any{"version": version, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"enforce_capacity": false, "standby": false}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "api_keys": []string{key}, "priority": 1, "weight": 28,
			"cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}}})
	if err != nil {
		panic(err)
	}
	c.store.put("op/config", b)
	c.note("operator writes version %d of the configuration: %d routes", version, len(queues))
}

// newAdvice starts the advice service. Every worker is good for every step.
func newAdvice(w *world, ip string) (string, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	issued := 0
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			var body struct {
				Step    string   `json:"step"`
				Workers []string `json:"workers"`
			}
			if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
				out.WriteHeader(http.StatusBadRequest)
				return
			}
			time.Sleep(10*time.Millisecond + time.Duration(len(body.Workers))*150*time.Microsecond)
			mu.Lock()
			defer mu.Unlock()
			good := [][2]string{}
			for _, k := range w.workers {
				k.mu.Lock()
				id, born := k.id, k.born
				k.mu.Unlock()
				for _, named := range body.Workers {
					if named != id {
						continue
					}
					issued++
					text := fmt.Sprintf("t%d", issued)
					w.mu.Lock()
					w.tickets[text] = ticket{body.Step, id, born, time.Now().Add(w.validity)}
					w.mu.Unlock()
					good = append(good, [2]string{id, text})
				}
			}
			answer(out, http.StatusOK, map[string]any{"good": good, "validity_ms": w.validity.Milliseconds()})
		}))
	}()
	return l.Addr().String(), nil
}

func (c *cell) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range c.nodes {
			r, err := http.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, readyPort))
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				ready++
			}
		}
		held := 0
		for _, k := range c.workers {
			k.mu.Lock()
			held += min(1, k.holds)
			k.mu.Unlock()
		}
		if ready == len(c.nodes) && held == len(c.workers) {
			return nil
		}
	}
	return errors.New("the nodes aren't ready")
}

// step describes a step of a job.
type step struct {
	count, cpu, apart int
	after             []int
	gang              bool
	lasts             bool
	label             string
	duration          time.Duration
}

// submit hands a job in until it is accepted, as a client does, and returns an error if it isn't.
func (c *cell) submit(id string, q queue, steps ...step) error {
	rows := []map[string]any{}
	for n, s := range steps {
		row := map[string]any{"count": s.count, "cpu": s.cpu, "mem_mb": 256, "estimate_ms": s.duration.Milliseconds()}
		if len(s.after) > 0 {
			row["after"] = s.after
		}
		if s.gang {
			row["gang"] = true
		}
		if s.lasts {
			row["long_running"] = true
		}
		if s.label != "" {
			row["required_label"] = s.label
		}
		if s.apart > 0 {
			row["max_per_server"] = s.apart
		}
		rows = append(rows, row)
		c.mu.Lock()
		c.steps[fmt.Sprintf("%s.%d", id, n)] = &stepState{name: fmt.Sprintf("%s.0.%d", id, n), count: s.count, gang: s.gang, advised: q.advice,
			duration: s.duration, present: map[int]map[string]bool{}, began: map[int]time.Time{}, broken: map[int]bool{}}
		c.mu.Unlock()
	}
	body, err := json.Marshal(map[string]any{"spec": "review " + id, "steps": rows})
	if err != nil {
		return err
	}
	for range 20 {
		status, _, err := c.call(http.MethodPost, q.prefix+id, body, key)
		switch {
		case err == nil && status/100 == 2:
			return nil
		case err == nil && status != 502 && status != 503 && status != 504 && status != 429:
			return fmt.Errorf("submit: %d", status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("submit: not accepted")
}

// state returns the state of a job, asked at the given node, or the status as text if that isn't 200.
func (c *cell) state(id string, q queue) string {
	status, body, err := c.call(http.MethodGet, q.prefix+id, nil, key)
	if err != nil {
		return "no answer"
	}
	var reply struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &reply) != nil {
		return fmt.Sprint(status)
	}
	return reply.State
}

// call sends a client's request to the next node.
func (c *cell) call(method, path string, body []byte, secret string) (int, []byte, error) {
	n := c.nodes[c.next%len(c.nodes)]
	c.next++
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", n.ip, callersPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	if secret != "" {
		r.Header.Set("Authorization", "Bearer "+secret)
	}
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	c.note("client %s %s to %s", method, path, n.name)
	reply, err := client.Do(r)
	if err != nil {
		c.note("client %s %s: %v", method, path, err)
		return 0, nil, err
	}
	defer reply.Body.Close()
	b, err := io.ReadAll(reply.Body)
	c.note("client %s %s: %d %s", method, path, reply.StatusCode, bytes.TrimSpace(b))
	return reply.StatusCode, b, err
}

// await waits until a condition holds, and reports whether it did in time.
func await(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// runner returns the worker on which a task runs, or nil.
func (c *cell) runner(task string) *worker {
	for _, k := range c.workers {
		if k.isRunning(task) {
			return k
		}
	}
	return nil
}
