package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sequoiastall/internal/standin/leased"
)

var (
	soakSeeds   = flag.Int("soak.seeds", 0, "number of further seeds to play, from soak.first on")
	soakFirst   = flag.Uint64("soak.first", 1000, "first of the further seeds")
	soakSeconds = flag.Int("soak.seconds", 5, "seconds of faults for each seed")
)

// soakRegression lists seeds that CI plays: one that never failed, and each that ever did, with its cause.
var soakRegression = []uint64{
	1,
	1026, // a worker that restarted under its name was told to forget ends by its earlier life's count
}

// Guards against promises that break under faults that overlap: nodes killed, stopped and frozen, links delayed, reset,
// silenced and cut one way, a store that fails, workers that crash, drain and lose answers. Accepted jobs run once and
// end; refused ones never run; what is shown as completed is done.
func TestSoak(t *testing.T) {
	seeds := soakRegression
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
	jobs := make([][]*soakJob, 4)
	for i := range jobs {
		clients.Go(func() { jobs[i] = c.submitUntil(done, rand.New(rand.NewPCG(seed, uint64(i+1))), i) })
	}
	faults.Go(func() { c.injectFaults(done, rand.New(rand.NewPCG(seed, 0))) })
	time.Sleep(time.Duration(*soakSeconds) * time.Second)
	close(done)
	faults.Wait()
	clients.Wait()
	c.clearFaults()
	for _, list := range jobs {
		for _, j := range list {
			c.checkOutcome(j)
		}
	}
	for _, v := range c.ledger.Violations() {
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
			c.t.Fatalf("not in time: %s", what)
		}
	}
}

// soakJob is a job as its caller knows it.
type soakJob struct {
	id, path, body string
	tasks          []string
	accepted       bool // answered with 200
	unknown        bool // a try had no answer, or one that leaves open whether the job runs
	canceled       bool
}

func newSoakJob(rng *rand.Rand, client, number int) *soakJob {
	j := &soakJob{id: fmt.Sprintf("%08x%08x", client+1, number)}
	j.path = []string{"/plain/", "/advised/"}[rng.IntN(2)] + j.id
	count := 1 + rng.IntN(3)
	for i := range count {
		j.tasks = append(j.tasks, fmt.Sprintf("%s.0.0.%d", j.id, i))
	}
	j.tasks = append(j.tasks, j.id+".0.1.0")
	step := fmt.Sprintf(`"cpu":%d,"mem_mb":100,"estimate_ms":300`, soakTaskCPU)
	j.body = fmt.Sprintf(`{"spec":"s","steps":[{"count":%d,%s},{"count":1,%s,"after":[0]}]}`, count, step, step)
	return j
}

// submitUntil hands in jobs, asks for their states and cancels some, until done is closed.
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
		for try := 0; try < 4 && !j.accepted; try++ {
			switch status, _ := c.call(c.nodes[rng.IntN(len(c.nodes))], http.MethodPost, j.path, j.body); status {
			case http.StatusOK:
				j.accepted = true
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			default:
				j.unknown = true
			}
		}
		known := jobs[rng.IntN(len(jobs))]
		c.checkState(known, c.nodes[rng.IntN(len(c.nodes))])
		if known.accepted && !known.canceled && rng.IntN(10) == 0 {
			status, _ := c.call(c.nodes[rng.IntN(len(c.nodes))], http.MethodDelete, known.path, "")
			known.canceled = status != http.StatusServiceUnavailable
		}
	}
}

// checkState asks a node for a job's state and compares it with what the workers know. It reports whether the job has ended.
func (c *soakCell) checkState(j *soakJob, n *soakNode) bool {
	status, body := c.call(n, http.MethodGet, j.path, "")
	switch {
	case status == http.StatusGone && j.accepted:
		c.t.Errorf("%s: %s doesn't know the accepted job", j.id, n.settings.Name)
	case strings.Contains(body, `"failed"`):
		c.t.Errorf("%s is shown as failed, no run failed", j.id)
	case strings.Contains(body, `"completed"`):
		for _, task := range j.tasks {
			if !c.ledger.WasDone(task) {
				c.t.Errorf("%s is shown as completed, %s isn't done", j.id, task)
			}
		}
		return true
	case strings.Contains(body, `"canceled"`):
		if !j.canceled {
			c.t.Errorf("%s is shown as canceled, nobody canceled it", j.id)
		}
		return true
	}
	return status == http.StatusGone
}

// checkOutcome waits until a job has ended, or makes sure that a refused one never began.
func (c *soakCell) checkOutcome(j *soakJob) {
	if !j.accepted {
		if !j.unknown && c.ledger.Begun(j.id) {
			c.t.Errorf("%s began although every try was refused", j.id)
		}
		return
	}
	c.eventually(j.id+" ends", func() bool { return c.checkState(j, c.nodes[0]) && c.checkState(j, c.nodes[len(c.nodes)-1]) })
}

// injectFaults makes faults that overlap, until done is closed, and waits for their ends.
func (c *soakCell) injectFaults(done <-chan struct{}, rng *rand.Rand) {
	var running sync.WaitGroup
	defer running.Wait()
	busy := make([]bool, len(c.nodes)) // owned by this goroutine; a node is stopped or frozen once at a time
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
		length := time.Duration(100+rng.IntN(2500)) * time.Millisecond
		switch kind := rng.IntN(10); {
		case kind < 4:
			if i := rng.IntN(len(c.nodes)); !busy[i] {
				busy[i] = true
				running.Go(func() { c.injectNodeFault(c.nodes[i], kind, length); freed <- i })
			}
		case kind < 7:
			r := c.relays[rng.IntN(len(c.relays))]
			running.Go(func() { injectLinkFault(r, kind, length) })
		case kind == 7:
			c.injectStoreFault(rng.IntN(4))
		default:
			w := c.workers[rng.IntN(len(c.workers))]
			running.Go(func() { c.injectWorkerFault(w, kind, length) })
		}
	}
}

func (c *soakCell) injectNodeFault(n *soakNode, kind int, length time.Duration) {
	switch kind {
	case 0:
		n.signal(syscall.SIGKILL)
		c.restart(n)
	case 1:
		n.signal(syscall.SIGTERM)
		c.restart(n)
	case 2:
		n.signal(syscall.SIGSTOP)
		time.Sleep(length)
		n.signal(syscall.SIGCONT)
	default:
		n.signal(syscall.SIGHUP)
		c.store.DropHistory()
	}
}

func injectLinkFault(r *relay, kind int, length time.Duration) {
	switch kind {
	case 4:
		r.delay.Store(int64(length / 10))
		time.Sleep(length)
		r.delay.Store(0)
	case 5:
		r.silence()
	default:
		r.dropResponses.Store(true)
		time.Sleep(length)
		r.dropResponses.Store(false)
		r.disconnect(true)
		r.disconnect(false)
	}
}

// injectStoreFault changes how the store fails; each change ends the one before.
func (c *soakCell) injectStoreFault(kind int) {
	var count int
	var mu sync.Mutex
	c.store.SetFault(func(path string) leased.Fault {
		mu.Lock()
		defer mu.Unlock()
		count++
		switch {
		case kind == 0 && count < 60:
			return leased.Busy
		case kind == 1 && count < 30:
			return leased.Silent
		case kind == 2 && path == "/kv-txn" && count%4 == 0:
			return leased.LostAnswer
		}
		return leased.Healthy
	})
}

func (c *soakCell) injectWorkerFault(w *soakWorker, kind int, length time.Duration) {
	if kind == 8 {
		w.relay.disconnect(true)
		w.Crash()
		time.Sleep(length)
		w.relay.disconnect(false)
		c.register(w, "ready")
		return
	}
	w.LoseAnswers(3)
	c.register(w, "draining")
	time.Sleep(length)
	c.register(w, "ready")
}

// logNodeOutput shows what the nodes have logged of a job or a node.
func (c *soakCell) logNodeOutput(subject string) {
	for _, n := range c.nodes {
		for _, line := range n.process.matchingLines(c.t, subject) {
			c.t.Log(line)
		}
	}
}
