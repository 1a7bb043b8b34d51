package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sequoiastall/internal/standin/leased"
)

var (
	soakSeeds   = flag.Int("soak.seeds", 0, "number of additional seeds to run, starting with soak.first")
	soakFirst   = flag.Uint64("soak.first", 1000, "first of the additional seeds")
	soakNodes   = flag.Int("soak.nodes", 4, "number of nodes; from 17 on, members carry the calls to workers")
	soakSeconds = flag.Int("soak.seconds", 5, "seconds of fault injection for each seed")
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
// malformed messages; links are delayed, limited in rate, reset, silenced and cut in one direction; the store fails; workers crash, drain
// and lose responses. Accepted jobs must run once and end, refused jobs must never run, a job that is shown as completed
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
	c.awaitReady()
	done := make(chan struct{})
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
	faults.Go(func() { c.injectFaults(done, rand.New(rand.NewPCG(seed, 0))) })
	faults.Go(func() { c.sendMalformedUntil(done, rand.New(rand.NewPCG(seed, 101))) })
	faults.Go(func() { c.slowLinksUntil(done, rand.New(rand.NewPCG(seed, 102))) })
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
		c.logNodeOutput(v[:16])
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
			c.logNodeOutput(what[:min(16, len(what))])
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

// injectFaults injects overlapping faults until done is closed, and waits until all of them have ended.
func (c *soakCell) injectFaults(done <-chan struct{}, rng *rand.Rand) {
	var running sync.WaitGroup
	defer running.Wait()
	busy := make([]bool, len(c.nodes)) // used by this goroutine only; a node has at most one node fault at a time
	freed := make(chan int, len(c.nodes))
	for {
		select {
		case <-done:
			return
		case n := <-freed:
			busy[n] = false
			continue
		case <-time.After(time.Duration(50+rng.IntN(400)) * time.Millisecond):
		}
		duration := time.Duration(100+rng.IntN(2500)) * time.Millisecond
		switch kind := rng.IntN(10); {
		case kind < 4:
			if i := rng.IntN(len(c.nodes)); !busy[i] {
				busy[i] = true
				running.Go(func() { c.injectNodeFault(c.nodes[i], kind, duration); freed <- i })
			}
		case kind < 7:
			r := c.relays[rng.IntN(len(c.relays))]
			running.Go(func() { injectLinkFault(r, kind, duration) })
		case kind == 7:
			c.injectStoreFault(rng.IntN(4))
		default:
			w := c.workers[rng.IntN(len(c.workers))]
			running.Go(func() { c.injectWorkerFault(w, kind, duration) })
		}
	}
}

// injectNodeFault kills (0), stops (1) or pauses (2) a node, or makes it reload its settings and discards the store's
// history (3).
func (c *soakCell) injectNodeFault(n *soakNode, kind int, duration time.Duration) {
	switch kind {
	case 0:
		n.signal(syscall.SIGKILL)
		c.restart(n)
	case 1:
		n.signal(syscall.SIGTERM)
		c.restart(n)
	case 2:
		n.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		n.signal(syscall.SIGCONT)
	default:
		n.signal(syscall.SIGHUP)
		c.store.CompactHistory()
	}
}

// injectLinkFault delays the data of a relay (4), silences its open connections (5), or drops responses and then closes
// the connections (6).
func injectLinkFault(r *relay, kind int, duration time.Duration) {
	switch kind {
	case 4:
		r.delay.Store(int64(duration / 10))
		time.Sleep(duration)
		r.delay.Store(0)
	case 5:
		r.silence()
	default:
		r.dropResponses.Store(true)
		time.Sleep(duration)
		r.dropResponses.Store(false)
		r.disconnect(true)
		r.disconnect(false)
	}
}

// injectStoreFault replaces the store's fault: the next 59 requests are refused (0), the next 29 requests get no response
// and have no effect (1), every transaction that comes as a fourth request takes effect without a response (2), or there
// is no fault (3).
func (c *soakCell) injectStoreFault(kind int) {
	var count int
	var mu sync.Mutex
	c.store.SetFault(func(path string) leased.Fault {
		mu.Lock()
		defer mu.Unlock()
		count++
		switch {
		case kind == 0 && count < 60:
			return leased.Unavailable
		case kind == 1 && count < 30:
			return leased.NoResponse
		case kind == 2 && path == "/kv-txn" && count%4 == 0:
			return leased.LostResponse
		}
		return leased.Healthy
	})
}

// slowLinksUntil limits the rate of one link after the other until done is closed.
func (c *soakCell) slowLinksUntil(done <-chan struct{}, rng *rand.Rand) {
	for {
		r := c.relays[rng.IntN(len(c.relays))]
		r.link.bytesPerSecond.Store(int64(4000 + rng.IntN(60000)))
		select {
		case <-done:
			return
		case <-time.After(time.Duration(200+rng.IntN(1200)) * time.Millisecond):
		}
		r.link.bytesPerSecond.Store(0)
	}
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

// injectWorkerFault crashes and restarts a worker (8), or drains it and loses the responses to three starts (9).
func (c *soakCell) injectWorkerFault(w *soakWorker, kind int, duration time.Duration) {
	if kind == 8 {
		w.relay.disconnect(true)
		w.Crash()
		time.Sleep(duration)
		w.relay.disconnect(false)
		c.register(w, "ready")
		return
	}
	w.LoseStartResponses(3)
	c.register(w, "draining")
	time.Sleep(duration)
	c.register(w, "ready")
}

// logNodeOutput adds the lines of the nodes' logs that contain the given text to the test's log.
func (c *soakCell) logNodeOutput(subject string) {
	for _, n := range c.nodes {
		for _, line := range n.process.matchingLines(c.t, subject) {
			c.t.Log(line)
		}
	}
}
