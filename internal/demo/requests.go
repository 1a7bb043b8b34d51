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
	senders       = 16
	triesOnRefuse = 20
	longestDelay  = 30 // milliseconds that an instance is asked to take
)

// exchange is one try of a caller's request.
type exchange struct {
	service    string
	id         string // counted by the stand-in's run log
	idempotent bool
	outcome    string // ok, not_run, ran or unknown
	code       string // of a refusal
	latency    time.Duration
	wrong      string // how the answer differs from the caller's own
	from       string // instance and worker that answered
}

const outcomeOK = "ok"

// planned is a request before it is sent.
type planned struct {
	number  int
	service object.Service
	team    string
	delay   int
}

// sendRequests sends the requests of all services in a mixed order at different nodes.
func (d *demo) sendRequests(ctx context.Context) []exchange {
	rng := random.New(random.NewPCG(d.options.Seed, 2))
	var all []planned
	for _, s := range d.set.Services {
		for range d.options.Requests {
			all = append(all, planned{service: s, team: d.callerOf(s, rng), delay: rng.IntN(longestDelay)})
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	next := make(chan planned)
	var mu sync.Mutex
	var done []exchange
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() {
			for p := range next {
				tries := d.send(ctx, p)
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

// callerOf returns a team that may call a service: any team if its queue is open.
func (d *demo) callerOf(s object.Service, rng *random.Rand) string {
	if q, ok := d.index.Queue(s.Queue); ok && q.Open {
		return d.set.Teams[rng.IntN(len(d.set.Teams))].Name
	}
	return s.Team
}

// send sends a request until it is answered or may have run, at another node after each refusal.
func (d *demo) send(ctx context.Context, p planned) []exchange {
	var tries []exchange
	for try := range triesOnRefuse {
		x := d.try(ctx, p, try)
		tries = append(tries, x)
		if x.outcome != callerclient.NotRun || !wait.For(ctx, pollInterval) {
			break
		}
	}
	return tries
}

func (d *demo) try(ctx context.Context, p planned, try int) exchange {
	x := exchange{service: p.service.Name, id: fmt.Sprintf("demo-%d-%d", p.number, try), idempotent: p.service.Idempotent}
	path, body := fmt.Sprintf("/%s/%d", p.team, p.number), fmt.Sprintf("request %d of %s, try %d", p.number, p.team, try)
	header := map[string]string{worker.HeaderRequestID: x.id, worker.HeaderDelay: strconv.Itoa(p.delay)}
	if !x.idempotent && p.number%2 == 0 {
		header["Idempotency-Key"] = x.id
	}
	begun := time.Now()
	data, err := d.caller(p.number+try, p.team).Call(ctx, http.MethodPost, "/services/"+p.service.Name+path, header, []byte(body))
	x.latency = time.Since(begun)
	if err != nil {
		x.outcome, x.code = callerclient.OutcomeOf(err), "no_answer"
		var r *callerclient.RefusalError
		if errors.As(err, &r) {
			x.code = r.Code
		}
		return x
	}
	x.outcome = outcomeOK
	var echo worker.Echo
	if err := json.Unmarshal(data, &echo); err != nil {
		x.wrong = "it isn't whole: " + err.Error()
	}
	x.from = echo.Instance + " on " + echo.Worker
	if x.wrong == "" && (echo.Path != path || echo.Body != body || echo.Method != http.MethodPost) {
		x.wrong = fmt.Sprintf("it is that of %s %s with body %q", echo.Method, echo.Path, echo.Body)
	}
	return x
}
