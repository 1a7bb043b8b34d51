package proof

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/gateway"
	"sequoiastall/internal/platform"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
	"sequoiastall/internal/rpc/platformpb"
	"sequoiastall/internal/rpc/standinpb"
	"sequoiastall/internal/settings"
	"sequoiastall/internal/standin/worker"
)

// waitTimeout bounds every wait for an expected state. On an idle machine, reaching it takes far less.
const waitTimeout = 90 * time.Second

// The secrets of the API keys in testdata.
const (
	redKey  = "secret-red"
	blueKey = "secret-blue"
	oldKey  = "secret-old"
)

// redLimit is the limit of the red team in slots; its service instances occupy 24 of them.
const redLimit = 72

// Shape of the cell in testdata: each zone has a node, a rack of workers and a partition.
var zones = []string{"a", "b", "c"}

const workersPerZone = 4

var workerCapacity = resource.Vector{Slots: 8, MilliCPU: 16_000, MemoryMB: 32_768}

// cellCount is the number of cells started in this test run. Each cell gets its own IP address.
var cellCount atomic.Int64

// cell is a running cell whose platform, workers and nodes are separate processes.
type cell struct {
	t               *testing.T
	dir             string
	ip              string
	address         string // of the platform
	platformProcess *process
	workers         []*process
	runLogs         []string
	nodes           []*ingressNode
	control         standinpb.ControlClient
	store           *platform.Client
	client          *http.Client

	platformRelays, agentRelays []*relay

	blue map[job.ID]bool // the jobs of the blue team, which has no limit
}

// ingressNode is an ingress node, which can be restarted with the same settings.
type ingressNode struct {
	*process
	id, http, peer string
	settingsPath   string
}

// options are the settings of a cell that differ between tests.
type options struct {
	relayPlatform bool // each node reaches the platform through its own relay
	relayAgents   bool // the agent of each worker is reached through a relay, which all nodes share
}

// newCell starts a cell and publishes testdata/objects.
func newCell(t *testing.T, o options) *cell {
	t.Helper()
	c := &cell{t: t, dir: t.TempDir(), client: &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{}}}
	c.ip = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()%128, cellCount.Add(1))
	c.address = c.ip + ":7300"
	t.Cleanup(c.client.CloseIdleConnections)
	t.Cleanup(c.saveLogs)
	c.platformProcess = launch(t, c.dir, "platform", "platform", "--listen", c.address)
	conn, err := grpc.NewClient("passthrough:///"+c.address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDefaultCallOptions(grpc.WaitForReady(true)))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c.control = standinpb.NewControlClient(conn)
	c.setFaults(&standinpb.Faults{})
	c.store, err = platform.New(c.address, connection.Options{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.store.Close() })
	for _, z := range zones {
		c.startWorkers(z)
	}
	c.eventually("all workers are listed", func() error {
		hosts, err := c.store.List(t.Context())
		if err == nil && len(hosts) != len(zones)*workersPerZone {
			err = fmt.Errorf("%d workers", len(hosts))
		}
		return err
	})
	if o.relayAgents {
		c.relayAgents()
	}
	code, out := c.runCommand("publish", "testdata/objects", "--platform", c.address, "--wait", "0")
	assert.Equal(t, code, 0, out)
	for i, z := range zones {
		platformAddress := c.address
		if o.relayPlatform {
			r := newRelay(t, c.ip, c.address)
			c.platformRelays = append(c.platformRelays, r)
			platformAddress = r.address()
		}
		c.nodes = append(c.nodes, c.addNode(i, z, platformAddress))
	}
	c.awaitOwners(c.nodes...)
	return c
}

// relayAgents puts a relay in front of each worker's agent and replaces the addresses in the platform's host list by
// those of the relays.
func (c *cell) relayAgents() {
	hosts, err := c.store.List(c.t.Context())
	assert.NilError(c.t, err)
	request := &standinpb.SetHostsRequest{}
	for _, h := range hosts {
		r := newRelay(c.t, c.ip, h.Address)
		c.agentRelays = append(c.agentRelays, r)
		request.Hosts = append(request.Hosts, &platformpb.Host{Id: h.ID, Zone: h.Zone, Rack: h.Rack, Address: r.address()})
	}
	_, err = c.control.SetHosts(c.t.Context(), request)
	assert.NilError(c.t, err)
}

func (c *cell) startWorkers(zone string) {
	c.t.Helper()
	runLog := filepath.Join(c.dir, "runs-"+zone+".jsonl")
	c.runLogs = append(c.runLogs, runLog)
	c.workers = append(c.workers, launch(c.t, c.dir, "worker-"+zone, "worker", "--zone", zone, "--listen", c.ip+":0",
		"--count", fmt.Sprint(workersPerZone), "--platform", c.address, "--record", runLog, "--usage-lag", "1s"))
}

func (c *cell) addNode(i int, zone, platformAddress string) *ingressNode {
	c.t.Helper()
	s := settings.Default()
	s.NodeID, s.Zone, s.Region, s.PlatformAddress = fmt.Sprintf("node%d", i), zone, "r", platformAddress
	s.PeerAddress, s.HTTPAddress = fmt.Sprintf("%s:%d", c.ip, 7400+i), fmt.Sprintf("%s:%d", c.ip, 7500+i)
	for j := range i {
		s.Seeds = append(s.Seeds, fmt.Sprintf("%s:%d", c.ip, 7400+j))
	}
	var text bytes.Buffer
	assert.NilError(c.t, settings.Print(&text, s))
	n := &ingressNode{id: s.NodeID, http: s.HTTPAddress, peer: s.PeerAddress, settingsPath: filepath.Join(c.dir, s.NodeID+".jsonc")}
	assert.NilError(c.t, os.WriteFile(n.settingsPath, text.Bytes(), 0o600))
	c.restart(n)
	return n
}

// restart starts a node whose previous process, if any, has exited.
func (c *cell) restart(n *ingressNode) {
	c.t.Helper()
	n.process = launch(c.t, c.dir, n.id, "serve", "--settings", n.settingsPath)
}

// awaitOwners waits until each of the nodes responds to callers and reports that every partition is owned by exactly one
// of these nodes, which is live. Claims of other nodes are ignored.
func (c *cell) awaitOwners(nodes ...*ingressNode) {
	c.t.Helper()
	for _, n := range nodes {
		c.eventually("all partitions are owned as seen by "+n.id, func() error {
			views, err := c.caller(n, redKey).Nodes(c.t.Context())
			if err != nil {
				return err
			}
			return checkOwners(views, nodes)
		})
	}
}

func checkOwners(views []gateway.NodeView, nodes []*ingressNode) error {
	expected := map[string]bool{}
	for _, n := range nodes {
		expected[n.id] = true
	}
	owned := map[string]int{}
	for _, v := range views {
		for _, p := range v.Partitions {
			if expected[v.ID] && v.State == "live" {
				owned[p]++
			}
		}
	}
	if len(owned) != len(zones) {
		return fmt.Errorf("partitions with owners: %v, views: %+v", owned, views)
	}
	for p, n := range owned {
		if n != 1 {
			return fmt.Errorf("partition %s has %d owners", p, n)
		}
	}
	return nil
}

// runCommand runs the binary until it exits, and returns its exit code and output.
func (c *cell) runCommand(args ...string) (int, string) {
	cmd := exec.Command(binary, args...)
	out, err := cmd.CombinedOutput()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		c.t.Errorf("%v: %v", args, err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// setFaults replaces the faults that the platform injects.
func (c *cell) setFaults(f *standinpb.Faults) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	_, err := c.control.SetFaults(ctx, f)
	assert.NilError(c.t, err)
}

func (c *cell) caller(n *ingressNode, secret string) *callerclient.Client {
	return &callerclient.Client{Address: n.http, Secret: secret, HTTP: c.client}
}

// eventually repeats a check until it succeeds, and fails the test after waitTimeout.
func (c *cell) eventually(what string, check func() error) {
	c.t.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	c.t.Fatalf("timed out waiting until %s, after %s: %v", what, waitTimeout, err)
}

// batch returns a batch job for the red team whose tasks take one slot each.
func batch(tasks int32, duration time.Duration, idempotent bool) job.Spec {
	return job.Spec{Queue: "batch", Class: job.Batch, Tasks: tasks, DurationMS: duration.Milliseconds(), Idempotent: idempotent,
		Resources: resource.Vector{Slots: 1, MilliCPU: 500, MemoryMB: 256}}
}

// gang returns a job for the red team whose tasks start together.
func gang(tasks int32, duration time.Duration) job.Spec {
	s := batch(tasks, duration, true)
	s.Queue, s.Class = "gangs", job.Gang
	return s
}

// submit submits a job of the red team, and retries until the outcome of the submission is known.
func (c *cell) submit(n *ingressNode, key string, spec job.Spec) job.ID {
	c.t.Helper()
	return c.submitAs(n, redKey, key, spec)
}

// submitBlue submits a job of the blue team.
func (c *cell) submitBlue(n *ingressNode, key string, spec job.Spec) job.ID {
	c.t.Helper()
	id := c.submitAs(n, blueKey, key, spec)
	if c.blue == nil {
		c.blue = map[job.ID]bool{}
	}
	c.blue[id] = true
	return id
}

func (c *cell) submitAs(n *ingressNode, secret, key string, spec job.Spec) job.ID {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	status, err := c.caller(n, secret).Submit(ctx, key, spec)
	assert.NilError(c.t, err, key)
	return status.ID
}

// keyOf returns the key of the team that a job belongs to.
func (c *cell) keyOf(id job.ID) string {
	if c.blue[id] {
		return blueKey
	}
	return redKey
}

// awaitJob waits for a job's final record as seen by a node.
func (c *cell) awaitJob(n *ingressNode, id job.ID) job.Status {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), waitTimeout)
	defer cancel()
	status, err := c.caller(n, c.keyOf(id)).Wait(ctx, id)
	assert.NilError(c.t, err)
	return status
}

// awaitDone waits until a job is done with all of its tasks.
func (c *cell) awaitDone(n *ingressNode, ids ...job.ID) {
	c.t.Helper()
	for _, id := range ids {
		s := c.awaitJob(n, id)
		assert.Equal(c.t, s.Phase, job.Done, "%s: %s", id, s.Reason)
		assert.Equal(c.t, s.Succeeded, s.Spec.Tasks, "%s", id)
	}
}

// awaitRunning waits until at least a number of runs of a job's tasks have started.
func (c *cell) awaitRunning(id job.ID, minimum int) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%d tasks of job %s run", minimum, id), func() error {
		if n := len(c.loadHistory().runsOf(id)); n < minimum {
			return fmt.Errorf("%d runs have started", n)
		}
		return nil
	})
}

// history holds the runs and requests of all workers.
type history struct{ *worker.RunLog }

func (c *cell) loadHistory() history {
	c.t.Helper()
	log := worker.NewRunLog()
	for i, path := range c.runLogs {
		data, err := os.ReadFile(path)
		assert.NilError(c.t, err)
		data = data[:bytes.LastIndexByte(data, '\n')+1] // the last line may be incomplete
		assert.NilError(c.t, log.LoadStream(bytes.NewReader(data), c.workers[i].exitedAt()))
	}
	return history{log}
}

func (h history) runsOf(id job.ID) []worker.Run {
	var runs []worker.Run
	for _, r := range h.Runs() {
		if parent, _ := r.Task.Job.Parent(); parent == id {
			runs = append(runs, r)
		}
	}
	return runs
}

// successes returns how often each task of a job succeeded. If a job was divided among partitions, its tasks have the
// IDs of the parts.
func (h history) successes(id job.ID) map[job.TaskID]int {
	n := map[job.TaskID]int{}
	for _, r := range h.runsOf(id) {
		if r.State == port.TaskSucceeded {
			n[r.Task]++
		}
	}
	return n
}

// checkInvariants checks what must hold at the end of every test: each task of a done job succeeded once, no two runs
// of a task overlapped, no worker ran more than its capacity, the red team kept its limit, and no process logged a
// violated invariant, a data race or a crash.
func (c *cell) checkInvariants(done ...job.ID) {
	c.t.Helper()
	h := c.loadHistory()
	capacity := map[string]resource.Vector{}
	for _, z := range zones {
		for i := range workersPerZone {
			capacity[fmt.Sprintf("%s-w%d", z, i)] = workerCapacity
		}
	}
	for _, v := range h.Violations(capacity) {
		c.t.Errorf("guarantee violated: %s", v)
	}
	c.checkLimit(h)
	for _, id := range done {
		c.checkSuccesses(h, id)
	}
	processes := append([]*process{c.platformProcess}, c.workers...)
	for _, n := range c.nodes {
		processes = append(processes, n.process)
	}
	for _, p := range processes {
		for _, text := range []string{"invariant violated", "guarantee violated", "panic:", "DATA RACE", "fatal error:"} {
			for _, line := range p.matchingLines(c.t, text) {
				c.t.Errorf("%s: %s", p.name, line)
			}
		}
	}
}

// checkLimit checks that the slots in use by the red team, which runs everything but the blue jobs, never exceeded its
// limit.
func (c *cell) checkLimit(h history) {
	c.t.Helper()
	type step struct {
		at    time.Time
		slots int64
	}
	var steps []step
	for _, r := range h.Runs() {
		if id, _ := r.Task.Job.Parent(); c.blue[id] {
			continue
		}
		steps = append(steps, step{r.Start, r.Reserved.Slots})
		if !r.End.IsZero() {
			steps = append(steps, step{r.End, -r.Reserved.Slots})
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.slots, b.slots)) })
	running := int64(0)
	for _, s := range steps {
		if running += s.slots; running > redLimit {
			c.t.Errorf("the team had %d slots running at %s, its limit is %d", running, s.at, redLimit)
			return
		}
	}
}

func (c *cell) checkSuccesses(h history, id job.ID) {
	c.t.Helper()
	record := c.record(id)
	n := h.successes(id)
	assert.Equal(c.t, len(n), int(record.Spec.Tasks), "%s", id)
	for i, times := range n {
		assert.Equal(c.t, times, 1, "%s succeeded %d times", i, times)
	}
}

// record reads a job's record from the store.
func (c *cell) record(id job.ID) job.Record {
	c.t.Helper()
	e, err := c.store.Get(c.t.Context(), port.JobPrefix+string(id))
	assert.NilError(c.t, err)
	var r job.Record
	assert.NilError(c.t, json.Unmarshal(e.Value, &r))
	return r
}

// saveLogs copies the output of the processes of a failed test to the directory named by PROOF_LOGS.
func (c *cell) saveLogs() {
	target := os.Getenv("PROOF_LOGS")
	if !c.t.Failed() || target == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(target, c.t.Name()), os.DirFS(c.dir)); err != nil {
		c.t.Log("copy of the logs failed:", err)
	}
}
