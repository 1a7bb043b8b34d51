package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/rcrowley/go-metrics"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// Defaults of Options.
const (
	defaultBodyLimit   = 4 << 20
	defaultReadTimeout = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
	defaultDeadline    = 10 * time.Second
	nodeCallTimeout    = 5 * time.Second
	readBufferBytes    = 16 << 10 // limits the size of a request's header
)

// Options configures a Gateway.
type Options struct {
	NodeID      string
	Node        Node
	Router      *Router
	Store       port.Store // holds the claims of requests with an idempotency key
	Clock       port.Clock
	Log         *slog.Logger
	Registry    *telemetry.Registry
	Metrics     http.Handler  // serves GET /metrics; nil for none
	BodyLimit   int           // maximum request body in bytes; 0 for 4 MB
	ReadTimeout time.Duration // for reading a whole request from the caller; 0 for 10 s
}

// Gateway is the HTTP API that a node offers to callers.
type Gateway struct {
	node   Node
	proxy  *proxy
	claims *claims
	gate   *gate
	app    *fiber.App
}

type requestMetrics struct {
	requests, attempts, retries, hedges, refusals metrics.Counter
	latency                                       *telemetry.Histogram
}

func newRequestMetrics(r *telemetry.Registry) *requestMetrics {
	counter := func(name string) metrics.Counter { return r.Counter("request_" + name + "_total") }
	return &requestMetrics{r.Counter("requests_total"), counter("tries"), counter("retries"), counter("hedges"), counter("refusals"),
		r.Histogram("request_try_time_us")}
}

// New returns a gateway that isn't serving yet.
func New(o Options) *Gateway {
	if o.BodyLimit == 0 {
		o.BodyLimit = defaultBodyLimit
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = defaultReadTimeout
	}
	start := o.Clock.Now().UnixNano()
	g := &Gateway{node: o.Node, gate: newGate(),
		proxy: &proxy{router: o.Router, node: o.NodeID, start: start, log: o.Log, metrics: newRequestMetrics(o.Registry)},
		claims: &claims{store: o.Store, clock: o.Clock,
			writer: o.NodeID + "-" + strconv.FormatInt(start, 36)}}
	g.app = fiber.New(fiber.Config{BodyLimit: o.BodyLimit, ReadTimeout: o.ReadTimeout, IdleTimeout: defaultIdleTimeout,
		ReadBufferSize: readBufferBytes, ErrorHandler: handleError, DisablePreParseMultipartForm: true,
		StrictRouting: true, CaseSensitive: true})
	g.routes(o.Metrics)
	return g
}

func (g *Gateway) routes(metricsHandler http.Handler) {
	g.app.Post("/v1/jobs", g.requireReady(g.submit))
	g.app.Get("/v1/jobs/:id", g.status)
	g.app.Delete("/v1/jobs/:id", g.cancel)
	g.app.Get("/v1/jobs", g.viewHandler(func(ctx context.Context, id Identity) any { return g.node.Jobs(ctx, id.Team) }))
	g.app.Get("/v1/nodes", g.viewHandler(func(context.Context, Identity) any { return g.node.Nodes() }))
	g.app.Get("/v1/queues", g.viewHandler(func(ctx context.Context, _ Identity) any { return g.node.Queues(ctx) }))
	g.app.Get("/v1/teams", g.viewHandler(func(context.Context, Identity) any { return g.node.Teams() }))
	g.app.Get("/v1/partitions", g.viewHandler(func(context.Context, Identity) any { return g.node.Partitions() }))
	// No key is required: operators have none when they publish a revision and wait until it is active.
	g.app.Get("/v1/revision", func(c fiber.Ctx) error { return c.JSON(g.node.Revision()) })
	g.app.All("/services/:service/*", g.requireReady(g.forward))
	g.app.Get("/healthz", g.health)
	if metricsHandler != nil {
		g.app.Get("/metrics", adaptor.HTTPHandler(metricsHandler))
	}
}

// Serve accepts connections until the listener is closed or Close is called.
func (g *Gateway) Serve(l net.Listener) error {
	return g.app.Listener(lingerListener{l}, fiber.ListenConfig{DisableStartupMessage: true})
}

// Drain makes /healthz fail and rejects new work, then waits until all open requests have ended or ctx ends. The last
// responses may not have been fully sent by then; Close waits for them.
func (g *Gateway) Drain(ctx context.Context) error { return g.gate.drain(ctx) }

// Close closes the listeners, waits for open connections until ctx ends and closes the idle connections to instances.
func (g *Gateway) Close(ctx context.Context) error {
	err := g.app.ShutdownWithContext(ctx)
	g.proxy.router.pool.closeIdle()
	return err
}

// requireReady wraps a handler that accepts new work. It rejects requests while the node is draining or its
// configuration isn't confirmed.
func (g *Gateway) requireReady(handler func(fiber.Ctx) error) fiber.Handler {
	return func(c fiber.Ctx) error {
		if !g.gate.enter() {
			return notRun(CodeDraining, "the node is draining")
		}
		defer g.gate.leave()
		if err := g.node.Authority(); err != nil {
			return notRun(CodeNoAuthority, err.Error())
		}
		return handler(c)
	}
}

func (g *Gateway) health(c fiber.Ctx) error {
	if g.gate.isClosed() {
		return notRun(CodeDraining, "the node is draining")
	}
	if err := g.node.Authority(); err != nil {
		return notRun(CodeNoAuthority, err.Error())
	}
	return c.SendString("ok\n")
}

// authenticate returns the identity of the request's API key, nil if the request has none.
func (g *Gateway) authenticate(c fiber.Ctx) (*Identity, *Error) {
	header := c.Get(fiber.HeaderAuthorization)
	if header == "" {
		return nil, nil
	}
	scheme, secret, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return nil, notRun(CodeUnknownKey, "Authorization must be: Bearer <secret>")
	}
	id, err := g.node.Authenticate(secret)
	if err != nil {
		return nil, nodeError(err, false)
	}
	return &id, nil
}

// authorize checks that the caller may submit work to a queue and returns the team that the work belongs to. team is the
// team named by the work, empty for that of the key.
func (g *Gateway) authorize(c fiber.Ctx, queue Queue, team string) (string, *Error) {
	id, err := g.authenticate(c)
	if err != nil {
		return "", err
	}
	if id == nil {
		if queue.Open {
			return team, nil
		}
		return "", missingKey()
	}
	switch {
	case team != "" && team != id.Team:
		return "", notRun(CodeWrongTeam, "the key is of another team than the work")
	case !queue.Open && queue.Team != "" && queue.Team != id.Team:
		return "", notRun(CodeWrongTeam, "the queue is of another team than the key")
	case !g.node.MayUse(*id, queue.Name):
		return "", notRun(CodeQueueNotAllowed, "the key may not use queue "+strconv.Quote(queue.Name))
	}
	return id.Team, nil
}

func missingKey() *Error {
	return notRun(CodeKeyMissing, "a key is needed: Authorization: Bearer <secret>")
}

func (g *Gateway) submit(c fiber.Ctx) error {
	key := strings.Clone(c.Get(HeaderIdempotencyKey))
	if key == "" {
		return notRun(CodeInvalid, HeaderIdempotencyKey+" is missing")
	}
	if problem := checkKey(key); problem != "" {
		return notRun(CodeInvalid, problem)
	}
	if c.Get(fiber.HeaderContentEncoding) != "" {
		return notRun(CodeInvalid, "Content-Encoding isn't supported")
	}
	spec, apiErr := parseSpec(c.Request().Body())
	if apiErr != nil {
		return apiErr
	}
	queue, ok := g.node.Queue(spec.Queue)
	if !ok {
		return notRun(CodeUnknownQueue, "there is no queue "+strconv.Quote(spec.Queue))
	}
	team, apiErr := g.authorize(c, queue, spec.Team)
	if apiErr != nil {
		return apiErr
	}
	if team == "" {
		return notRun(CodeInvalid, "team is missing")
	}
	if queue.Class != spec.Class {
		return notRun(CodeInvalid, fmt.Sprintf("queue %q takes class %s, not %s", queue.Name, queue.Class, spec.Class))
	}
	spec.Team = team
	ctx, cancel := context.WithTimeout(context.Background(), nodeCallTimeout)
	defer cancel()
	status, err := g.node.Submit(ctx, team, key, spec)
	if err != nil {
		return nodeError(err, true)
	}
	return c.Status(fiber.StatusAccepted).JSON(status)
}

// visibleJob returns the status of the requested job if the caller may see it: the job belongs to the key's team or is
// on an open queue.
func (g *Gateway) visibleJob(ctx context.Context, c fiber.Ctx) (job.Status, error) {
	id, apiErr := g.authenticate(c)
	if apiErr != nil {
		return job.Status{}, apiErr
	}
	status, err := g.node.Status(ctx, job.ID(strings.Clone(c.Params("id"))))
	if err != nil {
		if id == nil {
			return job.Status{}, missingKey()
		}
		return job.Status{}, nodeError(err, false)
	}
	queue, ok := g.node.Queue(status.Spec.Queue)
	switch {
	case id != nil && id.Team == status.Spec.Team, ok && queue.Open:
		return status, nil
	case id == nil:
		return job.Status{}, missingKey()
	}
	return job.Status{}, notRun(CodeWrongTeam, "the key is of another team than the job")
}

func (g *Gateway) status(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), nodeCallTimeout)
	defer cancel()
	status, err := g.visibleJob(ctx, c)
	if err != nil {
		return err
	}
	return c.JSON(status)
}

func (g *Gateway) cancel(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), nodeCallTimeout)
	defer cancel()
	status, err := g.visibleJob(ctx, c)
	if err != nil {
		return err
	}
	if status, err = g.node.Cancel(ctx, status.ID); err != nil {
		return nodeError(err, true)
	}
	return c.JSON(status)
}

func (g *Gateway) viewHandler(get func(ctx context.Context, id Identity) any) fiber.Handler {
	return func(c fiber.Ctx) error {
		id, apiErr := g.authenticate(c)
		if apiErr != nil {
			return apiErr
		}
		if id == nil {
			return missingKey()
		}
		ctx, cancel := context.WithTimeout(context.Background(), nodeCallTimeout)
		defer cancel()
		return c.JSON(get(ctx, *id))
	}
}

// forward forwards a request to an instance of a service.
func (g *Gateway) forward(c fiber.Ctx) error {
	g.proxy.metrics.requests.Inc(1)
	call, apiErr := g.parseCall(c)
	if apiErr != nil {
		return apiErr
	}
	key := c.Get(HeaderIdempotencyKey)
	if problem := checkKey(key); problem != "" {
		return notRun(CodeInvalid, problem)
	}
	removeClaim := func() {}
	if key != "" && !call.idempotent {
		ctx, cancel := context.WithDeadline(context.Background(), call.deadline)
		name, revision, apiErr := g.claims.create(ctx, call.team, call.service.Name, key)
		cancel()
		if apiErr != nil {
			return apiErr
		}
		removeClaim = func() { g.claims.remove(name, revision) }
	}
	resp, apiErr := g.proxy.do(call)
	if apiErr != nil {
		if apiErr.Outcome == routing.NotRun {
			removeClaim()
		}
		return apiErr
	}
	stripHopByHop(&resp.Header)
	resp.Header.CopyTo(&c.Response().Header)
	c.Response().SkipBody = resp.SkipBody
	c.Response().SetBodyRaw(resp.Body())
	return nil
}

// parseCall checks a request and determines its team, idempotency and deadline.
func (g *Gateway) parseCall(c fiber.Ctx) (*call, *Error) {
	svc, ok := g.node.Service(c.Params("service"))
	if !ok {
		return nil, notRun(CodeUnknownService, "there is no such service")
	}
	queue, ok := g.node.Queue(svc.Queue)
	if !ok {
		return nil, notRun(CodeUnknownQueue, "the service's queue doesn't exist")
	}
	team, apiErr := g.authorize(c, queue, "")
	if apiErr != nil {
		return nil, apiErr
	}
	if !queue.Open && svc.Team != team {
		return nil, notRun(CodeWrongTeam, "the service is of another team than the key")
	}
	parsed := &call{in: c.Request(), service: svc, team: team, idempotent: svc.Idempotent, path: upstreamPath(c)}
	if value := c.Get(HeaderIdempotent); value != "" {
		if value != "true" && value != "false" {
			return nil, notRun(CodeInvalid, HeaderIdempotent+" must be true or false")
		}
		parsed.idempotent = value == "true"
	}
	timeout := svc.Deadline
	if timeout == 0 {
		timeout = defaultDeadline
	}
	if value := c.Get(HeaderDeadline); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms < 1 || ms > routing.LongestDeadline.Milliseconds() {
			return nil, notRun(CodeInvalid, HeaderDeadline+" must be 1 to "+
				strconv.FormatInt(routing.LongestDeadline.Milliseconds(), 10))
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	parsed.deadline = time.Now().Add(min(timeout, routing.LongestDeadline))
	return parsed, nil
}

// upstreamPath returns the path and query after /services/<service>, unmodified.
func upstreamPath(c fiber.Ctx) string {
	path := string(c.Request().URI().PathOriginal())
	parts := strings.SplitN(path, "/", 4) // "", services, service, rest
	rest := "/"
	if len(parts) == 4 {
		rest += parts[3]
	}
	if query := c.Request().URI().QueryString(); len(query) > 0 {
		rest += "?" + string(query)
	}
	return rest
}
