package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/gateway"
	"sequoiastall/internal/wait"
)

// experimentTimeout bounds the wait for what an experiment observes.
const experimentTimeout = 30 * time.Second

// Experiment is what an experiment has observed. Times are in milliseconds; fields that don't apply are absent.
type Experiment struct {
	Name string `json:"name"`
	// Takeover: from the death of an owner.
	Partitions   int     `json:"partitions,omitempty"` // of the dead owner
	Workers      int     `json:"workers,omitempty"`    // that successors acquired
	FirstAcquire float64 `json:"first_acquire_ms,omitempty"`
	AllAcquired  float64 `json:"all_acquired_ms,omitempty"`
	FirstStart   float64 `json:"first_start_ms,omitempty"` // in one of the dead owner's partitions
	// LastStart is when the last of the dead owner's partitions saw its first placement.
	LastStart float64 `json:"last_partition_first_start_ms,omitempty"`
	// Configuration: from the store's answer to the publisher.
	InForceFirst float64 `json:"in_force_first_ms,omitempty"`
	InForceAll   float64 `json:"in_force_all_ms,omitempty"`
	// Allowance: one job of a team at its limit, in one partition.
	Limit       int64   `json:"limit,omitempty"`
	AtStart     int64   `json:"running_after_1s,omitempty"`
	ReachedHalf float64 `json:"half_of_limit_ms,omitempty"`
	Reached     float64 `json:"whole_limit_ms,omitempty"`
	Stranded    int64   `json:"stranded,omitempty"` // of the limit, at the end
	Moves       int     `json:"moves,omitempty"`
}

func (c *cell) experiment(ctx context.Context, o Options) (*Experiment, error) {
	switch o.Experiment {
	case "":
		return nil, nil
	case "takeover":
		return c.takeover(ctx)
	case "configuration":
		return c.configurationChange(ctx, o.Shape)
	case "allowance":
		return c.allowanceMove(ctx, o.Shape)
	}
	return nil, errors.Errorf("experiment %q is not takeover, configuration or allowance", o.Experiment)
}

// takeover kills the node with the most partitions and follows its successors in their logs.
func (c *cell) takeover(ctx context.Context) (*Experiment, error) {
	views, err := c.views(ctx)
	if err != nil {
		return nil, err
	}
	owned := map[string]bool{}
	victim := ""
	for _, v := range views {
		if len(v.Partitions) > len(owned) {
			victim, owned = v.ID, map[string]bool{}
			for _, p := range v.Partitions {
				owned[p] = true
			}
		}
	}
	for i, n := range c.nodes {
		if n.id == victim {
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			n.process.kill()
		}
	}
	at := time.Now()
	e := &Experiment{Name: "takeover", Partitions: len(owned)}
	deadline := at.Add(experimentTimeout)
	for {
		if err := c.readTakeover(e, owned, at); err != nil {
			return nil, err
		}
		if e.LastStart > 0 || time.Now().After(deadline) {
			wait.For(ctx, 2*time.Second) // the last workers may follow
			return e, c.readTakeover(e, owned, at)
		}
		if !wait.For(ctx, pollInterval) {
			return nil, ctx.Err()
		}
	}
}

func (c *cell) readTakeover(e *Experiment, owned map[string]bool, at time.Time) error {
	started := map[string]float64{}
	e.Workers, e.FirstAcquire, e.AllAcquired, e.FirstStart, e.LastStart = 0, 0, 0, 0, 0
	for _, n := range c.nodes {
		err := n.process.lines(`"partition":"`, func(l logLine) bool {
			after := float64(l.Time.Sub(at).Microseconds()) / 1000
			if after < 0 || !owned[l.Partition] {
				return true
			}
			switch {
			case l.Message == "worker" && l.Action == "acquired":
				e.Workers++
				if e.FirstAcquire == 0 || after < e.FirstAcquire {
					e.FirstAcquire = after
				}
				e.AllAcquired = max(e.AllAcquired, after)
			case l.Decision == "start":
				if first, seen := started[l.Partition]; !seen || after < first {
					started[l.Partition] = after
				}
			}
			return true
		})
		if err != nil {
			return err
		}
	}
	for _, after := range started {
		if e.FirstStart == 0 || after < e.FirstStart {
			e.FirstStart = after
		}
		if len(started) == len(owned) {
			e.LastStart = max(e.LastStart, after)
		}
	}
	return nil
}

// configurationChange publishes a revision and reads in the nodes' logs when it came into force.
func (c *cell) configurationChange(ctx context.Context, s Shape) (*Experiment, error) {
	s.Teams++
	if err := c.publish(ctx, s); err != nil {
		return nil, err
	}
	at := time.Now()
	e := &Experiment{Name: "configuration"}
	for {
		inForce := 0
		e.InForceFirst, e.InForceAll = 0, 0
		for _, n := range c.nodes {
			found := time.Time{}
			err := n.process.lines("configuration in force", func(l logLine) bool {
				if l.Revision == 2 {
					found = l.Time
				}
				return found.IsZero()
			})
			if err != nil {
				return nil, err
			}
			if found.IsZero() {
				continue
			}
			inForce++
			// A node may have the revision before the publisher has the store's answer.
			after := max(0.001, float64(found.Sub(at).Microseconds())/1000)
			if e.InForceFirst == 0 || after < e.InForceFirst {
				e.InForceFirst = after
			}
			e.InForceAll = max(e.InForceAll, after)
		}
		if inForce == len(c.nodes) {
			return e, nil
		}
		if time.Since(at) > experimentTimeout || !wait.For(ctx, pollInterval) {
			return nil, errors.Errorf("the revision is in force at %d of %d nodes", inForce, len(c.nodes))
		}
	}
}

// allowanceMove lets one team ask for its whole limit in one partition, and follows how the limit gets there.
func (c *cell) allowanceMove(ctx context.Context, s Shape) (*Experiment, error) {
	const team = 0
	spec := job.Spec{Queue: teamQueue(team), Class: job.Batch, Tasks: int32(s.limit()) * 2, Idempotent: true,
		Resources: resource.Vector{Slots: 1, MilliCPU: 500, MemoryMB: 256}, DurationMS: 60_000}
	caller := callerclient.Client{Address: c.nodes[0].address, Secret: teamSecret(team), HTTP: http.DefaultClient}
	if _, err := caller.Submit(ctx, "allowance", spec); err != nil {
		return nil, err
	}
	at := time.Now()
	e := &Experiment{Name: "allowance", Limit: int64(s.limit())}
	for time.Since(at) < 15*time.Second {
		var teams []gateway.TeamView
		if err := c.get(ctx, c.nodes[0].address, "/v1/teams", c.secret(), &teams); err != nil {
			return nil, err
		}
		running := int64(0)
		for _, t := range teams {
			if t.Name == teamName(team) {
				running = t.Running
			}
		}
		after := float64(time.Since(at).Milliseconds())
		if e.AtStart == 0 && after >= 1000 {
			e.AtStart = running
		}
		if e.ReachedHalf == 0 && running >= e.Limit/2 {
			e.ReachedHalf = after
		}
		e.Stranded = max(0, e.Limit-running)
		if running >= e.Limit {
			e.Reached = after
			break
		}
		if !wait.For(ctx, pollInterval) {
			return nil, ctx.Err()
		}
	}
	for _, n := range c.nodes {
		err := n.process.lines(`"msg":"allowance"`, func(l logLine) bool {
			e.Moves++
			return true
		})
		if err != nil {
			return nil, err
		}
	}
	return e, nil
}

// String describes the experiment on one line.
func (e *Experiment) String() string {
	switch e.Name {
	case "takeover":
		return fmt.Sprintf("takeover of %d partitions: %d workers acquired %.0f to %.0f ms after the death, first start %.0f ms, last partition's first start %.0f ms",
			e.Partitions, e.Workers, e.FirstAcquire, e.AllAcquired, e.FirstStart, e.LastStart)
	case "configuration":
		return fmt.Sprintf("configuration in force everywhere %.0f ms after the publication", e.InForceAll)
	}
	return fmt.Sprintf("allowance: half of the limit of %d after %.0f ms, all after %.0f ms, %d stranded, %d moves",
		e.Limit, e.ReachedHalf, e.Reached, e.Stranded, e.Moves)
}
