package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/routing"
)

// maxAnswerBytes bounds the answer of an instance, which is held in memory.
const maxAnswerBytes = 32 << 20

// splitNames splits a comma-separated header value.
func splitNames(value []byte) []string {
	var names []string
	for _, part := range bytes.Split(value, []byte(",")) {
		if name := strings.TrimSpace(string(part)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// proxy forwards requests to service instances.
type proxy struct {
	router  *Router
	node    string // prefix of request IDs
	start   int64
	count   atomic.Uint64
	log     *slog.Logger
	metrics *meters
}

// call is one caller's request to a service.
type call struct {
	in         *fasthttp.Request
	path       string
	service    Service
	team       string
	idempotent bool
	deadline   time.Time
}

// try is the end of one try.
type try struct {
	pick    routing.Pick
	number  int
	resp    *fasthttp.Response // whole answer, nil if there is none
	outcome routing.Outcome
	err     error
}

// do forwards a call and returns the whole answer of one instance or an error.
func (p *proxy) do(c *call) (*fasthttp.Response, *Error) {
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	pick, err := p.router.acquire(ctx, c.service, c.team, c.deadline)
	if err != nil {
		return nil, p.refusal(c, err)
	}
	var tried []job.TaskID
	mayHaveRun := false
	for number := 1; ; number++ {
		tried = append(tried, pick.Instance)
		t, used := p.tryHedged(ctx, c, pick, number, tried)
		if t.outcome == routing.Ran {
			return t.resp, nil
		}
		tried, number = used, number+len(used)-len(tried)
		mayHaveRun = mayHaveRun || t.outcome == routing.Unknown
		verdict := p.router.decide(c.service.Name, t.outcome, c.idempotent, number, c.deadline)
		if verdict != routing.Retry {
			return nil, failure(t, verdict, mayHaveRun)
		}
		p.metrics.retries.Inc(1)
		if pick, err = p.router.again(c.service.Name, tried, false); err != nil {
			return nil, failure(t, routing.Retry, mayHaveRun)
		}
	}
}

// refusal describes a request for which no permit was had. Nothing was sent.
func (p *proxy) refusal(c *call, err error) *Error {
	p.metrics.refused.Inc(1)
	p.log.LogAttrs(context.Background(), slog.LevelInfo, "request refused", slog.String("service", c.service.Name),
		slog.String("team", c.team), slog.String("reason", err.Error()), slog.String("outcome", routing.NotRun.String()))
	if errors.Is(err, routing.ErrNoService) || errors.Is(err, routing.ErrNoInstance) {
		return notRun(CodeNoInstance, err.Error())
	}
	return notRun(CodeOverload, err.Error())
}

// failure describes the end of a request whose last try failed. It is not_run only if no try may have run.
func failure(t try, v routing.Verdict, mayHaveRun bool) *Error {
	e := &Error{Code: CodeUpstreamFailed, Outcome: routing.NotRun, RetryAfter: defaultRetryAfter}
	if v == routing.StopNotIdempotent {
		e.RetryAfter = 0
	}
	if mayHaveRun {
		e.Outcome = routing.Unknown
	}
	reason := "the instance didn't run the request"
	if t.err != nil {
		reason = "the try failed: " + t.err.Error()
	}
	if isTimeout(t.err) {
		e.Code, reason = CodeUpstreamTimeout, "the instance didn't answer in time"
	}
	e.Message = reason + "; no retry: " + v.String()
	if v == routing.Retry {
		e.Message = reason + "; no instance is free for a retry"
	}
	return e
}

// tryHedged makes a try, and a second one beside it if the first is slow and hedging is allowed. It returns when both
// have ended, with the answer if either has one, and with the instances tried so far.
func (p *proxy) tryHedged(ctx context.Context, c *call, pick routing.Pick, number int, tried []job.TaskID) (try, []job.TaskID) {
	delay, ok := p.router.hedgeDelay(c.service.Name)
	if !c.idempotent || !c.service.Hedge || !ok || number >= routing.MaxTries {
		return p.try(ctx, c, pick, number, "first"), tried
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan try, 2)
	go func() { ends <- p.try(ctx, c, pick, number, "first") }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case t := <-ends:
		return t, tried
	case <-timer.C:
	}
	second, err := p.router.again(c.service.Name, tried, true)
	if err != nil {
		return <-ends, tried
	}
	if !p.router.takeHedge(c.service.Name) {
		p.router.done(second, routing.Abandoned, 0)
		return <-ends, tried
	}
	p.metrics.hedges.Inc(1)
	go func() { ends <- p.try(ctx, c, second, number+1, "hedge") }()
	tried = append(tried, second.Instance)
	first := <-ends
	if first.outcome == routing.Ran {
		cancel()
		<-ends
		return first, tried
	}
	other := <-ends
	if other.outcome == routing.NotRun && first.outcome == routing.Unknown {
		return first, tried
	}
	return other, tried
}

// try sends the request to one instance and returns its permit.
func (p *proxy) try(ctx context.Context, c *call, pick routing.Pick, number int, kind string) try {
	p.metrics.tries.Inc(1)
	start := time.Now()
	t := try{pick: pick, number: number}
	timeout := routing.TryTimeout(time.Until(c.deadline), c.idempotent, number-1)
	tryCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t.resp, t.outcome, t.err = p.send(tryCtx, c, pick, number)
	latency := time.Since(start)
	result, observed := routing.FailedTry, time.Duration(0)
	switch {
	case t.outcome == routing.Ran:
		observed = max(latency, 1)
		if t.resp.StatusCode() < fasthttp.StatusInternalServerError {
			result = routing.Succeeded
		}
	case ctx.Err() == context.Canceled || errors.Is(t.err, errNoConnection):
		result = routing.Abandoned
	}
	p.router.done(pick, result, observed)
	p.metrics.latency.Record(latency)
	p.logTry(c, &t, kind, latency)
	return t
}

func (p *proxy) send(ctx context.Context, c *call, pick routing.Pick, number int) (*fasthttp.Response, routing.Outcome, error) {
	// After a try that got no answer, idle connections may be as silent as the one it used.
	conn, err := p.router.pool.get(ctx, pick.Worker, pick.Address, number > 1)
	if err != nil {
		return nil, routing.NotRun, err
	}
	id := p.node + "-" + strconv.FormatInt(p.start, 36) + "-" + strconv.FormatUint(p.count.Add(1), 36)
	// The instance is told the deadline of this try, after which the permit is free for another request.
	deadline, _ := ctx.Deadline()
	req := outgoing(c.in, c.path, c.team, pick, id, time.Until(deadline))
	resp := &fasthttp.Response{}
	outcome, err := p.router.pool.exchange(ctx, conn, req, resp, c.service.EchoesRequestID)
	if outcome != routing.Ran {
		return nil, outcome, err
	}
	return resp, outcome, nil
}

func (p *proxy) logTry(c *call, t *try, kind string, latency time.Duration) {
	if !p.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attrs := []slog.Attr{slog.String("service", c.service.Name), slog.String("instance", t.pick.Instance.String()),
		slog.String("worker", t.pick.Worker), slog.String("instance_zone", t.pick.Zone), slog.Int("try", t.number),
		slog.String("kind", kind), slog.String("reason", t.pick.Reason.String()),
		slog.String("outcome", t.outcome.String()), slog.Int64("latency_us", latency.Microseconds())}
	if t.err != nil {
		attrs = append(attrs, slog.String("error", t.err.Error()))
	}
	p.log.LogAttrs(context.Background(), slog.LevelInfo, "request routed", attrs...)
}
