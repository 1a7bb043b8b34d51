package demo

import (
	"context"
	"encoding/json"
	"fmt"
	random "math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/standin/worker"
	"sequoiastall/internal/wait"
)

const (
	senderCount = 16 // goroutines that send requests concurrently
	maxTries    = 20 // of one request
	maxDelayMS  = 30 // exclusive upper bound of the processing time that a request sets, in milliseconds
)

// requestTry is one try of a caller's request and its result.
type requestTry struct {
	service    string
	id         string // request ID under which the run log counts executions
	idempotent bool
	outcome    string // ok, not_run, ran or unknown
	code       string // error code of a refusal
	latency    time.Duration
	mismatch   string // how the response differs from the expected one; empty if it doesn't
	responder  string // instance and worker that responded
}

const outcomeOK = "ok"

// plannedRequest is a request before it is sent.
type plannedRequest struct {
	number  int
	service object.Service
	team    string
	delay   int
}

// sendRequests sends the requests to all services in random order through different nodes.
func (d *demo) sendRequests(ctx context.Context) []requestTry {
	rng := random.New(random.NewPCG(d.options.Seed, 2))
	var all []plannedRequest
	for _, s := range d.set.Services {
		for range d.options.Requests {
			all = append(all, plannedRequest{service: s, team: d.callingTeam(s, rng), delay: rng.IntN(maxDelayMS)})
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	next := make(chan plannedRequest)
	var mu sync.Mutex
	var done []requestTry
	var wg sync.WaitGroup
	for range senderCount {
		wg.Go(func() {
			for p := range next {
				tries := d.sendWithRetries(ctx, p)
				mu.Lock()
				done = append(done, tries...)
				mu.Unlock()
			}
		})
	}
	for i, p := range all {
		p.number = i
		next <- p
	}
	close(next)
	wg.Wait()
	return done
}

// callingTeam returns a team that may call a service: any team if its queue is open.
func (d *demo) callingTeam(s object.Service, rng *random.Rand) string {
	if q, ok := d.index.Queue(s.Queue); ok && q.Open {
		return d.set.Teams[rng.IntN(len(d.set.Teams))].Name
	}
	return s.Team
}

// sendWithRetries sends a request until it gets a response or may have run. After each refusal it retries through another
// node.
func (d *demo) sendWithRetries(ctx context.Context, p plannedRequest) []requestTry {
	var tries []requestTry
	for try := range maxTries {
		x := d.sendOnce(ctx, p, try)
		tries = append(tries, x)
		if x.outcome != callerclient.NotRun || !wait.For(ctx, pollInterval) {
			break
		}
	}
	return tries
}

func (d *demo) sendOnce(ctx context.Context, p plannedRequest, try int) requestTry {
	x := requestTry{service: p.service.Name, id: fmt.Sprintf("demo-%d-%d", p.number, try), idempotent: p.service.Idempotent}
	path, body := fmt.Sprintf("/%s/%d", p.team, p.number), fmt.Sprintf("request %d of %s, try %d", p.number, p.team, try)
	header := map[string]string{worker.HeaderRequestID: x.id, worker.HeaderDelay: strconv.Itoa(p.delay)}
	if !x.idempotent && p.number%2 == 0 {
		header["Idempotency-Key"] = x.id
	}
	startedAt := time.Now()
	data, err := d.clientFor(p.number+try, p.team).Call(ctx, http.MethodPost, "/services/"+p.service.Name+path, header, []byte(body))
	x.latency = time.Since(startedAt)
	if err != nil {
		x.outcome, x.code = callerclient.OutcomeOf(err), "no_answer"
		var r *callerclient.ResponseError
		if errors.As(err, &r) {
			x.code = r.Code
		}
		return x
	}
	x.outcome = outcomeOK
	var echo worker.Echo
	if err := json.Unmarshal(data, &echo); err != nil {
		x.mismatch = "it can't be decoded: " + err.Error()
	}
	x.responder = echo.Instance + " on " + echo.Worker
	if x.mismatch == "" && (echo.Path != path || echo.Body != body || echo.Method != http.MethodPost) {
		x.mismatch = fmt.Sprintf("it is that of %s %s with body %q", echo.Method, echo.Path, echo.Body)
	}
	return x
}
