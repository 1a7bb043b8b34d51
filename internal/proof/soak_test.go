package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sequoiastall/internal/standin/leased"
)

var (
	soakSeeds    = flag.Int("soak.seeds", 0, "number of additional seeds to run, starting with soak.first")
	soakFirst    = flag.Uint64("soak.first", 1000, "first of the additional seeds")
	soakNodes    = flag.Int("soak.nodes", 4, "number of nodes; from 17 on, members carry the calls to workers")
	soakSeconds  = flag.Int("soak.seconds", 5, "seconds of fault injection for each seed")
	soakWorkers  = flag.Int("soak.workers", 6, "number of workers")
	soakBinary   = flag.String("soak.binary", "", "path of another binary that the nodes run")
	soakFaults   = flag.String("soak.faults", "all", "faults to inject: SOURCE or SOURCE.KIND, with commas, or all")
	soakInterval = flag.Float64("soak.interval", 1, "factor for the time between two faults")
	soakLogs     = flag.String("soak.logs", "", "directory that keeps the nodes' logs of each seed that fails")
)

// regressionSeeds lists the seeds that CI runs: one that has never failed, and every seed that has failed, with the
// cause.
var regressionSeeds = []uint64{
	1,
	// A worker that had restarted under the same ID received the acknowledgement cursor of its previous incarnation and
	// discarded ended runs that had not been acknowledged.
	1026,
}

// TestSoak guards against guarantees that break under overlapping faults: nodes are killed, stopped and paused, and get
// malformed messages; the link of any pair is delayed, limited in rate, reset, silenced, refused and cut in one direction,
// with data that is lost or comes late; the store fails; workers crash, drain, lapse, shrink and lose responses. Accepted jobs must run once and end, refused jobs must never run, a job that is shown as completed
// must be done, services must run until they are canceled, and no node may end by itself.
func TestSoak(t *testing.T) {
	seeds := regressionSeeds
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	c := newSoakCell(t)
	defer c.keepLogs(seed)
	c.awaitReady()
	done := c.calm
	var clients, faults sync.WaitGroup
	// Each client and each source of faults has its own random numbers, so that a seed keeps its meaning when another kind
	// is added.
	const ordinaryClients = 4
	jobs := make([][]*soakJob, ordinaryClients+1)
	for i := range ordinaryClients {
		clients.Go(func() { jobs[i] = c.submitUntil(done, rand.New(rand.NewPCG(seed, uint64(i+1))), i) })
	}
	clients.Go(func() {
		jobs[ordinaryClients] = c.submitServices(done, rand.New(rand.NewPCG(seed, 100)), ordinaryClients)
	})
	for _, source := range selectFaults(*soakFaults) {
		faults.Go(func() { source.injectUntil(c, seed) })
	}
	faults.Go(func() { c.sendMalformedUntil(done, rand.New(rand.NewPCG(seed, 101))) })
	time.Sleep(time.Duration(*soakSeconds) * time.Second)
	close(done)
	faults.Wait()
	clients.Wait()
	c.clearFaults()
	for _, n := range c.nodes {
		select {
		case <-n.process.done:
			t.Errorf("%s has ended by itself", n.settings.Name)
		default:
		}
	}
	for _, list := range jobs {
		for _, j := range list {
			c.checkOutcome(j)
		}
	}
	for _, v := range c.checker.Violations() {
		t.Error(v)
		c.report(v[:16])
	}
}

func (c *soakCell) awaitReady() {
	for _, n := range c.nodes {
		c.eventually(n.settings.Name+" answers", func() bool {
			status, _ := c.call(n, http.MethodGet, "/plain/", "")
			return status == http.StatusOK
		})
	}
}

func (c *soakCell) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			c.report(what[:min(16, len(what))])
			c.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// soakJob is a job as seen by its caller.
type soakJob struct {
	id, path, body string
	tasks          []string
	service        bool // runs until it is canceled
	accepted       bool // a node responded with 200
	unknown        bool // an attempt got no response, or one that leaves open whether the job runs
	canceled       bool
}

// newSoakJob returns a job of two steps: one to three tasks, and one task that starts after them.
func newSoakJob(rng *rand.Rand, client, number int) *soakJob {
	j := &soakJob{id: fmt.Sprintf("%08x%08x", client+1, number)}
	j.path = []string{"/plain/", "/advised/"}[rng.IntN(2)] + j.id
	count := 1 + rng.IntN(3)
	for i := range count {
		j.tasks = append(j.tasks, fmt.Sprintf("%s.0.0.%d", j.id, i))
	}
	j.tasks = append(j.tasks, j.id+".0.1.0")
	step := soakTask()
	j.body = fmt.Sprintf(`{"spec":"s","steps":[{"count":%d,%s},{"count":1,%s,"after":[0]}]}`, count, step, step)
	return j
}

// soakTask returns the fields of a step that all tasks of the soak share.
func soakTask() string { return fmt.Sprintf(`"cpu":%d,"mem_mb":100,"estimate_ms":300`, soakTaskCPU) }

// maxServices bounds the services, which must leave most of the capacity free.
const maxServices = 4

// submitServices submits services, which are canceled only by checkOutcome, until done is closed.
func (c *soakCell) submitServices(done <-chan struct{}, rng *rand.Rand, client int) []*soakJob {
	var jobs []*soakJob
	for len(jobs) < maxServices {
		select {
		case <-done:
			return jobs
		case <-time.After(time.Duration(rng.IntN(1500)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%08x", client+1, len(jobs))
		j := &soakJob{id: id, path: "/advised/" + id, service: true, tasks: []string{id + ".0.0.0"}}
		j.body = fmt.Sprintf(`{"spec":"%s","steps":[{"count":1,"long_running":true,"max_unavailable":1,%s}]}`, leased.ServiceSpec, soakTask())
		c.submit(j, rng)
		jobs = append(jobs, j)
	}
	return jobs
}

// submitUntil submits jobs, queries their states and cancels some of them, until done is closed.
func (c *soakCell) submitUntil(done <-chan struct{}, rng *rand.Rand, client int) []*soakJob {
	var jobs []*soakJob
	for number := 0; ; number++ {
		select {
		case <-done:
			return jobs
		case <-time.After(time.Duration(20+rng.IntN(120)) * time.Millisecond):
		}
		j := newSoakJob(rng, client, number)
		jobs = append(jobs, j)
		c.submit(j, rng)
		sampled := jobs[rng.IntN(len(jobs))]
		c.checkState(sampled, c.nodes[rng.IntN(len(c.nodes))])
		if sampled.accepted && !sampled.canceled && rng.IntN(10) == 0 {
			status, _ := c.call(c.nodes[rng.IntN(len(c.nodes))], http.MethodDelete, sampled.path, "")
			sampled.canceled = status != http.StatusServiceUnavailable
		}
	}
}

// submit submits a job, up to four times until it is accepted.
func (c *soakCell) submit(j *soakJob, rng *rand.Rand) {
	for attempt := 0; attempt < 4 && !j.accepted; attempt++ {
		switch status, _ := c.call(c.nodes[rng.IntN(len(c.nodes))], http.MethodPost, j.path, j.body); status {
		case http.StatusOK:
			j.accepted = true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			j.unknown = true
		}
	}
}

// checkState compares the state that a node reports for a job with what the workers ran. It returns whether the job has
// ended.
func (c *soakCell) checkState(j *soakJob, n *soakNode) bool {
	status, body := c.call(n, http.MethodGet, j.path, "")
	switch {
	case status == http.StatusGone && j.accepted:
		c.t.Errorf("%s: %s responds with 410 Gone for the accepted job", j.id, n.settings.Name)
	case strings.Contains(body, `"failed"`):
		c.t.Errorf("%s is shown as failed, but no run failed", j.id)
	case strings.Contains(body, `"completed"`):
		for _, task := range j.tasks {
			if !c.checker.HasCompleted(task) {
				c.t.Errorf("%s is shown as completed, but %s isn't done", j.id, task)
			}
		}
		return true
	case strings.Contains(body, `"canceled"`):
		if !j.canceled {
			c.t.Errorf("%s is shown as canceled, but no cancellation can have taken effect", j.id)
		}
		return true
	}
	return status == http.StatusGone
}

// checkOutcome waits until an accepted job has ended, and checks that a refused one has never started.
func (c *soakCell) checkOutcome(j *soakJob) {
	if !j.accepted {
		if !j.unknown && c.checker.HasStarted(j.id) {
			c.t.Errorf("%s started although every attempt was refused", j.id)
		}
		return
	}
	if j.service && !j.canceled {
		c.eventually(j.id+" runs", func() bool { return c.checker.IsRunning(j.tasks[0]) })
		c.eventually(j.id+" is canceled", func() bool {
			status, _ := c.call(c.nodes[0], http.MethodDelete, j.path, "")
			return status == http.StatusOK
		})
		j.canceled = true
	}
	c.eventually(j.id+" ends", func() bool { return c.checkState(j, c.nodes[0]) && c.checkState(j, c.nodes[len(c.nodes)-1]) })
}

// sendMalformedUntil sends malformed messages to all nodes in turn until done is closed.
func (c *soakCell) sendMalformedUntil(done <-chan struct{}, rng *rand.Rand) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(100+rng.IntN(300)) * time.Millisecond):
			c.sendMalformed(c.nodes[i%len(c.nodes)], rng)
		}
	}
}

// sendMalformed sends random bytes, or a request that begins like a valid one, to each port of a node.
func (c *soakCell) sendMalformed(n *soakNode, rng *rand.Rand) {
	message := make([]byte, 200)
	for i := range message {
		message[i] = byte(rng.IntN(256))
	}
	starts := []string{"", "POST /plain/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: " + soakHost + "\r\nContent-Length: 200\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"}
	message = append([]byte(starts[rng.IntN(len(starts))]), message...)
	for _, port := range []int{n.settings.CallersPort, n.settings.ReadyPort, n.settings.PeersPort} {
		conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", n.settings.IP, port), time.Second)
		if err != nil {
			continue // the node is down
		}
		_, _ = conn.Write(message) // the node may have closed the connection
		conn.Close()
	}
}
