package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

// submitTimeout is the time limit for a submission, retries included.
const submitTimeout = 10 * time.Second

// submission is a submitted job.
type submission struct {
	id     job.ID
	tasks  int32
	urgent bool
	at     time.Time
	node   int
	secret string
	err    error // why it wasn't accepted
}

// submitter submits jobs at a constant rate, regardless of the outcome of earlier ones (open-loop load).
type submitter struct {
	cell     *cell
	options  Options
	mu       sync.Mutex
	sent     []submission
	inFlight sync.WaitGroup
}

// run submits jobs until ctx is done, and returns when all submissions have an outcome.
func (s *submitter) run(ctx context.Context) {
	defer s.inFlight.Wait()
	if s.options.Rate <= 0 {
		return
	}
	interval := time.Duration(float64(s.options.TasksPerJob) / s.options.Rate * float64(time.Second))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		s.send(ctx, i, s.options.TasksPerJob, false)
		if s.options.UrgentEvery > 0 && i%s.options.UrgentEvery == 0 {
			s.send(ctx, i, 1, true)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *submitter) send(ctx context.Context, i, tasks int, urgent bool) {
	s.inFlight.Go(func() {
		sub := s.submit(context.WithoutCancel(ctx), i, int32(tasks), urgent)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sent = append(s.sent, sub)
	})
}

func (s *submitter) submit(ctx context.Context, i int, tasks int32, urgent bool) submission {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	team := i % s.options.Shape.Teams
	spec := job.Spec{Queue: teamQueue(team), Class: job.Batch, Tasks: tasks, Idempotent: true,
		Resources:  resource.Vector{Slots: 1, MilliCPU: 500, MemoryMB: 256},
		DurationMS: s.options.TaskDuration.Milliseconds()}
	secret, key := teamSecret(team), fmt.Sprintf("load-%d", i)
	if s.options.Secret != "" {
		secret, spec.Queue = s.options.Secret, s.options.Queue
	}
	if urgent {
		spec.Queue, secret, key = urgentQueue, urgentSecret, key+"-urgent"
	}
	node := i % len(s.cell.nodes)
	sub := submission{tasks: tasks, urgent: urgent, at: time.Now(), node: node, secret: secret}
	caller := callerclient.Client{Address: s.cell.nodes[node].address, Secret: secret, HTTP: s.cell.http}
	status, err := caller.Submit(ctx, s.options.KeyPrefix+key, spec)
	sub.id, sub.err = status.ID, err
	return sub
}

// requestSender sends requests to the services at a constant rate.
type requestSender struct {
	cell      *cell
	options   Options
	mu        sync.Mutex
	latencies []time.Duration
	result    RequestResult
	inFlight  sync.WaitGroup
}

func (r *requestSender) run(ctx context.Context) {
	if r.options.RequestRate <= 0 || r.options.Shape.Services == 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.options.RequestRate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		r.inFlight.Go(func() { r.send(context.WithoutCancel(ctx), i) })
		select {
		case <-ctx.Done():
			r.inFlight.Wait()
			return
		case <-ticker.C:
		}
	}
}

func (r *requestSender) send(ctx context.Context, i int) {
	service := i % r.options.Shape.Services
	caller := callerclient.Client{Address: r.cell.nodes[i%len(r.cell.nodes)].address, HTTP: r.cell.http,
		Secret: teamSecret(service % r.options.Shape.Teams)}
	startedAt := time.Now()
	_, err := caller.Call(ctx, http.MethodGet, "/services/"+serviceName(service)+"/load", nil, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	if err != nil {
		r.result.Failed++
		return
	}
	r.result.OK++
	r.latencies = append(r.latencies, time.Since(startedAt))
}

func (r *requestSender) summary() RequestResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := summarise(r.latencies)
	r.result.P50MS, r.result.P99MS = w.P50MS, w.P99MS
	return r.result
}

// accepted reports whether the cell confirmed that the job is in the store.
func (s submission) accepted() bool { return s.err == nil }

var errNoNodes = errors.New("no ingress node is known")
