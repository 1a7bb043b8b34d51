package proof

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"sequoiastall/internal/standin/runcheck"
	"sequoiastall/internal/standin/workerproc"
)

// callTimeout bounds a client's wait for a response.
const callTimeout = 4 * time.Second

// soakJob is a job as seen by its caller.
type soakJob struct {
	workerproc.Job
	path     string
	key      string
	service  bool // runs until it is canceled
	accepted bool // a node responded with 200
	canceled bool // a cancellation may have taken effect
}

// tasks returns the names of the job's tasks.
func (j *soakJob) tasks() []string {
	var names []string
	for step, s := range j.Steps {
		for i := range s.Count {
			names = append(names, workerproc.TaskName{Job: j.ID, Step: step, Index: i}.String())
		}
	}
	return names
}

// soakQueues are the queues by their prefix. Jobs of the advised queue need tickets; the urgent queue comes first.
var soakQueues = []string{"/plain/", "/advised/", "/advised/", "/urgent/"}

// soakTeams are the teams, each with one key. The first has a limit, which its jobs reach.
var soakTeams = []string{"capped", "team", "other"}

func keyOf(team string) string { return "key-" + team }

// newSoakJob returns a job of one or two steps: plain tasks, a gang, tasks with checkpoints, tasks that fail, or tasks that
// only some workers may run.
func newSoakJob(rng *rand.Rand, client, number int) *soakJob {
	queue := soakQueues[rng.IntN(len(soakQueues))]
	j := &soakJob{Job: workerproc.Job{ID: fmt.Sprintf("%08x%08x", client+1, number), Team: soakTeams[rng.IntN(len(soakTeams))], Advised: queue == "/advised/"}}
	j.path, j.key = queue+j.ID, keyOf(j.Team)
	first := workerproc.Step{Count: 1 + rng.IntN(3), CPU: soakTaskCPU, MemMB: 100, Duration: logUniform(rng, minTask, maxTask)}
	second := first
	second.Count, second.After = 1, []int{0}
	switch rng.IntN(10) {
	case 0, 1:
		first.Gang, first.Count = true, 2+rng.IntN(2)
	case 2:
		first.Checkpointing, first.Duration = true, logUniform(rng, time.Second, maxTask)
	case 3:
		first.FailRuns = []int{1}
	case 4:
		first.FailProbability = 0.4
	case 5:
		if !j.Advised { // those that the advice admits may lack the label
			first.Label = soakLabels[rng.IntN(len(soakLabels))]
		}
	case 6:
		first.MaxPerServer = 1
	case 7:
		first.CPU, first.MemMB = 2*soakTaskCPU, 1000
	}
	j.Steps = []workerproc.Step{first, second}
	return j
}

// minTask and maxTask bound the duration of tasks that end by themselves. The longest outlast a lease.
const (
	minTask = 60 * time.Millisecond
	maxTask = 6 * time.Second
)

// logUniform returns a random duration between two bounds, as often in each octave.
func logUniform(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return time.Duration(float64(shortest) * math.Pow(float64(longest)/float64(shortest), rng.Float64()))
}

// newSoakService returns a job whose task runs until it is canceled.
func newSoakService(client, number int) *soakJob {
	step := workerproc.Step{Count: 1, CPU: soakTaskCPU, MemMB: 100, Duration: 100 * time.Millisecond, Service: true}
	j := &soakJob{Job: workerproc.Job{ID: fmt.Sprintf("%08x%08x", client+1, number), Team: "team", Advised: true, Steps: []workerproc.Step{step}}, service: true}
	j.path, j.key = "/advised/"+j.ID, keyOf(j.Team)
	return j
}

// maxServices bounds the services, which must leave most of the capacity free.
const maxServices = 4

// submitServices submits services, which are canceled only by checkOutcome, until no further faults are
// injected.
func (c *soakCell) submitServices(rng *rand.Rand, client int) []*soakJob {
	var jobs []*soakJob
	for len(jobs) < maxServices && c.sleep(time.Duration(rng.IntN(1500))*time.Millisecond) {
		j := newSoakService(client, len(jobs))
		c.submit(j, rng)
		jobs = append(jobs, j)
	}
	return jobs
}

// submitUntilCalm submits jobs, queries their states and cancels some of them, until no further faults are injected.
func (c *soakCell) submitUntilCalm(rng *rand.Rand, client int) []*soakJob {
	var jobs []*soakJob
	for number := 0; c.sleep(time.Duration((0.3 + rng.ExpFloat64()) * float64(*soakJobInterval))); number++ {
		j := newSoakJob(rng, client, number)
		jobs = append(jobs, j)
		c.submit(j, rng)
		if !j.accepted && number%2 == 0 { // no random number is drawn, so that seeds keep their meaning
			c.cancel(j, c.nodes[number/2%len(c.nodes)])
		}
		if j.accepted && rng.IntN(10) == 0 {
			c.cancel(j, c.anyNode(rng))
		}
		sampled := jobs[rng.IntN(len(jobs))]
		c.checkState(sampled, c.anyNode(rng))
		if sampled.accepted && !sampled.canceled && rng.IntN(10) == 0 {
			c.cancel(sampled, c.anyNode(rng))
		}
	}
	return jobs
}

func (c *soakCell) anyNode(rng *rand.Rand) *soakNode { return c.nodes[rng.IntN(len(c.nodes))] }

// submit submits a job, up to four times until it is accepted, and at times once more. At times the client doesn't wait for
// the response.
func (c *soakCell) submit(j *soakJob, rng *rand.Rand) {
	for attempt := 0; attempt < 4 && !j.accepted; attempt++ {
		timeout := callTimeout
		if rng.IntN(12) == 0 {
			timeout = time.Duration(1+rng.IntN(40)) * time.Millisecond
		}
		c.attempt(j, c.anyNode(rng), timeout)
	}
	if j.accepted && rng.IntN(8) == 0 {
		c.attempt(j, c.anyNode(rng), callTimeout)
	}
}

// attempt sends a job to a node once.
func (c *soakCell) attempt(j *soakJob, n *soakNode, timeout time.Duration) {
	c.checker.Submitting(workerproc.Now(), j.Job)
	status, _ := c.call(n, j.key, http.MethodPost, j.path, j.Body(), timeout)
	answer := runcheck.Unknown
	switch status {
	case http.StatusOK:
		j.accepted, answer = true, runcheck.Accepted
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		answer = runcheck.Refused
	}
	c.checker.Answered(workerproc.Now(), j.ID, answer)
}

// cancel cancels a job at a node, and returns whether the node has acknowledged that. For a job that no node has accepted, the answer
// that there is no such job is an acknowledgment too: a submission may still be on its way.
func (c *soakCell) cancel(j *soakJob, n *soakNode) bool {
	c.checker.Canceling(workerproc.Now(), j.ID)
	status, _ := c.call(n, j.key, http.MethodDelete, j.path, "", callTimeout)
	j.canceled = j.canceled || status != http.StatusServiceUnavailable
	acknowledged := status == http.StatusOK || status == http.StatusGone && !j.accepted
	if acknowledged {
		c.checker.Canceled(workerproc.Now(), j.ID)
	}
	return acknowledged
}

// checkState records the state that a node reports for a job. It returns whether the job has ended.
func (c *soakCell) checkState(j *soakJob, n *soakNode) bool {
	status, body := c.call(n, j.key, http.MethodGet, j.path, "", callTimeout)
	if status == http.StatusGone {
		if j.accepted {
			c.checker.Shown(workerproc.Now(), j.ID, "unknown")
		}
		return true
	}
	for _, state := range []string{"completed", "failed", "canceled"} {
		if strings.Contains(body, fmt.Sprintf("%q", state)) {
			c.checker.Shown(workerproc.Now(), j.ID, state)
			return true
		}
	}
	return false
}

// outcomeCheckers is how many jobs are checked at the same time at the end.
const outcomeCheckers = 8

// checkOutcomes waits until all accepted jobs have ended.
func (c *soakCell) checkOutcomes(jobs []*soakJob) {
	var wg sync.WaitGroup
	next := make(chan *soakJob)
	for range outcomeCheckers {
		wg.Go(func() {
			for j := range next {
				c.checkOutcome(j)
			}
		})
	}
	for _, j := range jobs {
		if j.accepted {
			next <- j
		}
	}
	close(next)
	wg.Wait()
}

func (c *soakCell) checkOutcome(j *soakJob) {
	if j.service && !j.canceled {
		if !c.eventually(j.ID+" runs", func() bool { return c.checker.IsRunning(j.tasks()[0]) }) {
			return
		}
		c.eventually(j.ID+" is canceled", func() bool { return c.cancel(j, c.nodes[0]) })
	}
	c.eventually(j.ID+" ends", func() bool { return c.checkState(j, c.nodes[0]) && c.checkState(j, c.nodes[len(c.nodes)-1]) })
	for _, task := range j.tasks() {
		c.eventually(j.ID+" has no runs", func() bool { return !c.checker.IsRunning(task) })
	}
}

// eventually waits until a condition holds, and reports an error if it doesn't in time.
func (c *soakCell) eventually(what string, condition func() bool) bool {
	c.t.Helper()
	for end := time.Now().Add(*soakPatience); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Errorf("timed out waiting until %s", what)
			c.reportSince(what[:min(16, len(what))], time.Time{}, time.Now())
			return false
		}
	}
	return true
}

// call sends a caller's request to a node and returns the status code and the response as text. The code is 0 if there
// was no response.
func (c *soakCell) call(n *soakNode, key, method, path, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.settings.IP, n.settings.CallersPort, path), strings.NewReader(body))
	if err != nil {
		panic(err) // can't happen: the URL is valid
	}
	r.Host = soakHost
	r.Header.Set("Authorization", "Bearer "+key)
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
