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

// maxResponseBytes limits the size of an instance's response, which is held in memory.
const maxResponseBytes = 32 << 20

// splitList splits a comma-separated header value.
func splitList(value []byte) []string {
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
	metrics *requestMetrics
}

// call is a caller's request to a service.
type call struct {
	in         *fasthttp.Request
	path       string
	service    Service
	team       string
	idempotent bool
	deadline   time.Time
}

// attempt is the result of sending a request to one instance.
type attempt struct {
	pick    routing.Pick
	number  int
	resp    *fasthttp.Response // complete response, nil if there is none
	outcome routing.Outcome
	err     error
}

// do forwards a call, with retries and hedging, and returns the complete response of one instance or an error.
func (p *proxy) do(c *call) (*fasthttp.Response, *Error) {
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	pick, err := p.router.acquire(ctx, c.service, c.team, c.deadline)
	if err != nil {
		return nil, p.refusalError(c, err)
	}
	var tried []job.TaskID
	mayHaveRun := false
	for number := 1; ; number++ {
		tried = append(tried, pick.Instance)
		last, used := p.attemptHedged(ctx, c, pick, number, tried)
		if last.outcome == routing.Ran {
			return last.resp, nil
		}
		tried, number = used, number+len(used)-len(tried)
		mayHaveRun = mayHaveRun || last.outcome == routing.Unknown
		verdict := p.router.decideRetry(c.service.Name, last.outcome, c.idempotent, number, c.deadline)
		if verdict != routing.Retry {
			return nil, failureError(last, verdict, mayHaveRun)
		}
		p.metrics.retries.Inc(1)
		if pick, err = p.router.pickRetry(c.service.Name, tried, false); err != nil {
			return nil, failureError(last, routing.Retry, mayHaveRun)
		}
	}
}

// refusalError returns the error for a request that obtained no permit. Nothing was sent.
func (p *proxy) refusalError(c *call, err error) *Error {
	p.metrics.refusals.Inc(1)
	p.log.LogAttrs(context.Background(), slog.LevelInfo, "request refused", slog.String("service", c.service.Name),
		slog.String("team", c.team), slog.String("reason", err.Error()), slog.String("outcome", routing.NotRun.String()))
	if errors.Is(err, routing.ErrNoService) || errors.Is(err, routing.ErrNoInstance) {
		return notRun(CodeNoInstance, err.Error())
	}
	return notRun(CodeOverload, err.Error())
}

// failureError returns the error for a request whose last attempt failed. Its outcome is not_run only if none of the
// attempts may have run.
func failureError(last attempt, v routing.RetryVerdict, mayHaveRun bool) *Error {
	e := &Error{Code: CodeUpstreamFailed, Outcome: routing.NotRun, RetryAfter: defaultRetryAfter}
	if v == routing.StopNotIdempotent {
		e.RetryAfter = 0
	}
	if mayHaveRun {
		e.Outcome = routing.Unknown
	}
	reason := "the instance didn't run the request"
	if last.err != nil {
		reason = "the try failed: " + last.err.Error()
	}
	if isTimeout(last.err) {
		e.Code, reason = CodeUpstreamTimeout, "the instance didn't answer in time"
	}
	e.Message = reason + "; no retry: " + v.String()
	if v == routing.Retry {
		e.Message = reason + "; no instance is free for a retry"
	}
	return e
}

// attemptHedged makes an attempt, and a second one in parallel if the first is slow and hedging is allowed. It returns
// when both have ended, with the response if either has one, and with the instances tried so far.
func (p *proxy) attemptHedged(ctx context.Context, c *call, pick routing.Pick, number int, tried []job.TaskID) (attempt, []job.TaskID) {
	delay, ok := p.router.hedgeDelay(c.service.Name)
	if !c.idempotent || !c.service.Hedge || !ok || number >= routing.MaxAttempts {
		return p.attempt(ctx, c, pick, number, "first"), tried
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, 2)
	go func() { results <- p.attempt(ctx, c, pick, number, "first") }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case only := <-results:
		return only, tried
	case <-timer.C:
	}
	second, err := p.router.pickRetry(c.service.Name, tried, true)
	if err != nil {
		return <-results, tried
	}
	if !p.router.withdrawHedge(c.service.Name) {
		p.router.release(second, routing.Abandoned, 0)
		return <-results, tried
	}
	p.metrics.hedges.Inc(1)
	go func() { results <- p.attempt(ctx, c, second, number+1, "hedge") }()
	tried = append(tried, second.Instance)
	first := <-results
	if first.outcome == routing.Ran {
		cancel()
		<-results
		return first, tried
	}
	other := <-results
	if other.outcome == routing.NotRun && first.outcome == routing.Unknown {
		return first, tried
	}
	return other, tried
}

// attempt sends the request to one instance and releases its permit.
func (p *proxy) attempt(ctx context.Context, c *call, pick routing.Pick, number int, kind string) attempt {
	p.metrics.attempts.Inc(1)
	start := time.Now()
	a := attempt{pick: pick, number: number}
	timeout := routing.AttemptTimeout(time.Until(c.deadline), c.idempotent, number-1)
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.resp, a.outcome, a.err = p.send(attemptCtx, c, pick, number)
	latency := time.Since(start)
	result, observed := routing.FailedAttempt, time.Duration(0)
	switch {
	case a.outcome == routing.Ran:
		observed = max(latency, 1)
		if a.resp.StatusCode() < fasthttp.StatusInternalServerError {
			result = routing.Succeeded
		}
	case ctx.Err() == context.Canceled || errors.Is(a.err, errNoConnection):
		result = routing.Abandoned
	}
	p.router.release(pick, result, observed)
	p.metrics.latency.Record(latency)
	p.logAttempt(c, &a, kind, latency)
	return a
}

func (p *proxy) send(ctx context.Context, c *call, pick routing.Pick, number int) (*fasthttp.Response, routing.Outcome, error) {
	// Later attempts use a new connection: if an attempt got no response, the idle connections may have stopped
	// responding too.
	conn, err := p.router.pool.get(ctx, pick.Worker, pick.Address, number > 1)
	if err != nil {
		return nil, routing.NotRun, err
	}
	id := p.node + "-" + strconv.FormatInt(p.start, 36) + "-" + strconv.FormatUint(p.count.Add(1), 36)
	// The instance gets the deadline of this attempt, after which the permit is available to another request.
	deadline, _ := ctx.Deadline()
	req := newUpstreamRequest(c.in, c.path, c.team, pick, id, time.Until(deadline))
	resp := &fasthttp.Response{}
	outcome, err := p.router.pool.exchange(ctx, conn, req, resp, c.service.EchoesRequestID)
	if outcome != routing.Ran {
		return nil, outcome, err
	}
	return resp, outcome, nil
}

func (p *proxy) logAttempt(c *call, a *attempt, kind string, latency time.Duration) {
	if !p.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attrs := []slog.Attr{slog.String("service", c.service.Name), slog.String("instance", a.pick.Instance.String()),
		slog.String("worker", a.pick.Worker), slog.String("instance_zone", a.pick.Zone), slog.Int("try", a.number),
		slog.String("kind", kind), slog.String("reason", a.pick.Reason.String()),
		slog.String("outcome", a.outcome.String()), slog.Int64("latency_us", latency.Microseconds())}
	if a.err != nil {
		attrs = append(attrs, slog.String("error", a.err.Error()))
	}
	p.log.LogAttrs(context.Background(), slog.LevelInfo, "request routed", attrs...)
}
