package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"sequoiastall/internal/standin/workerproc"
)

var (
	soakSeeds       = flag.Int("soak.seeds", 0, "number of additional seeds to run, starting with soak.first")
	soakFirst       = flag.Uint64("soak.first", 1000, "first of the additional seeds")
	soakNodes       = flag.Int("soak.nodes", 4, "number of nodes; from 17 on, members carry the calls to workers")
	soakSeconds     = flag.Int("soak.seconds", 5, "seconds of fault injection for each additional seed")
	soakWorkers     = flag.Int("soak.workers", 6, "number of workers")
	soakBinary      = flag.String("soak.binary", "", "path of another binary that the nodes run")
	soakFaults      = flag.String("soak.faults", allFaults, "faults of the additional seeds: SOURCE or SOURCE.KIND, with commas, or all")
	soakInterval    = flag.Float64("soak.interval", 1, "factor for the time between two faults of the additional seeds")
	soakClients     = flag.Int("soak.clients", 4, "number of clients that submit jobs")
	soakJobInterval = flag.Duration("soak.jobs", 800*time.Millisecond, "mean time between two jobs of a client")
	soakPatience    = flag.Duration("soak.patience", 60*time.Second, "wait for each outcome after the faults")
	soakLogs        = flag.String("soak.logs", "", "directory that keeps the nodes' logs of each seed that fails")
)

// soakPlan says which faults a seed injects.
type soakPlan struct {
	seed     uint64
	faults   string        // for selectFaults
	interval float64       // factor for the time between two faults
	length   time.Duration // of the injection
}

// regressionPlans lists what CI runs: a mix that has never failed, and the faults under which the soak has failed, with the
// cause.
var regressionPlans = []soakPlan{
	{1, allFaults, 1, 5 * time.Second},
	// A worker that had restarted under the same ID received the acknowledgement cursor of its previous incarnation and
	// discarded ended runs that had not been acknowledged.
	{1026, "machine.crash,machine.unanswered,node,peer,worker,storage", 0.7, 5 * time.Second},
	// Workers that restarted with less capacity received tasks up to their former capacity.
	{4000, "machine.change", 0.5, 4 * time.Second},
}

// TestSoak guards against guarantees that break under overlapping faults: nodes are killed, stopped and paused, and get
// malformed messages; the link of any pair is delayed, limited in rate, reset, silenced, refused and cut in one direction,
// with data that is lost or comes late; the store fails; workers crash, pause, drain, lapse, change their capacity, and
// carry out orders late. Every rule of runcheck must hold, all accepted jobs must end, services must run until they are
// canceled, and no node may end by itself.
func TestSoak(t *testing.T) {
	plans := regressionPlans
	for i := range *soakSeeds {
		plans = append(plans, soakPlan{*soakFirst + uint64(i), *soakFaults, *soakInterval, time.Duration(*soakSeconds) * time.Second})
	}
	for _, p := range plans {
		t.Run(fmt.Sprint("seed=", p.seed), func(t *testing.T) { soak(t, p) })
	}
}

func soak(t *testing.T, p soakPlan) {
	seed := p.seed
	c := newSoakCell(t, seed)
	defer c.keepLogs(seed)
	c.awaitReady()
	var clients, faults sync.WaitGroup
	// Each client and each source of faults has its own random numbers, so that a seed keeps its meaning when another kind
	// is added.
	jobs := make([][]*soakJob, *soakClients+1)
	for i := range *soakClients {
		clients.Go(func() { jobs[i] = c.submitUntilCalm(rand.New(rand.NewPCG(seed, clientsStream+uint64(i))), i) })
	}
	clients.Go(func() {
		jobs[*soakClients] = c.submitServices(rand.New(rand.NewPCG(seed, servicesStream)), *soakClients)
	})
	for _, source := range selectFaults(p.faults) {
		faults.Go(func() { source.injectUntilCalm(c, p) })
	}
	faults.Go(func() { c.sendMalformedUntilCalm(rand.New(rand.NewPCG(seed, malformedStream))) })
	time.Sleep(p.length)
	close(c.calm)
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
	c.checkOutcomes(slices.Concat(jobs...))
	c.reportViolations()
}

// reportViolations fails the test for each violation of a rule up to now.
func (c *soakCell) reportViolations() {
	c.t.Helper()
	now, wall := workerproc.Now(), time.Now()
	for _, v := range c.checker.Violations(now) {
		c.t.Error(v)
		c.reportViolation(v, wall.Add(v.At-now))
	}
}

func (c *soakCell) awaitReady() {
	for _, n := range c.nodes {
		c.eventually(n.settings.Name+" answers", func() bool {
			status, _ := c.call(n, keyOf(soakTeams[0]), http.MethodGet, "/plain/", "", callTimeout)
			return status == http.StatusOK
		})
	}
}

// sendMalformedUntilCalm sends malformed messages to all nodes in turn until no further faults are injected.
func (c *soakCell) sendMalformedUntilCalm(rng *rand.Rand) {
	for i := 0; c.sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond); i++ {
		c.sendMalformed(c.nodes[i%len(c.nodes)], rng)
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
