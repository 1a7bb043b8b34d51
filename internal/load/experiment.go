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

// experimentTimeout is the time limit for the event that an experiment observes.
const experimentTimeout = 30 * time.Second

// Experiment holds the observations of an experiment. Times are in milliseconds; fields that don't apply are absent.
type Experiment struct {
	Name string `json:"name"`
	// Takeover: times from the kill of an owner.
	Partitions   int     `json:"partitions,omitempty"` // that the killed owner had
	Workers      int     `json:"workers,omitempty"`    // that the successors acquired
	FirstAcquire float64 `json:"first_acquire_ms,omitempty"`
	AllAcquired  float64 `json:"all_acquired_ms,omitempty"`
	FirstStart   float64 `json:"first_start_ms,omitempty"` // in any of the killed owner's partitions
	// LastPartitionStart is when the last of the killed owner's partitions had its first start.
	LastPartitionStart float64 `json:"last_partition_first_start_ms,omitempty"`
	// Configuration: times from the store's response to the publisher.
	InForceFirst float64 `json:"in_force_first_ms,omitempty"`
	InForceAll   float64 `json:"in_force_all_ms,omitempty"`
	// Allowance: one job in one partition that needs the team's whole limit.
	Limit          int64   `json:"limit,omitempty"`
	RunningAfter1s int64   `json:"running_after_1s,omitempty"`
	ReachedHalf    float64 `json:"half_of_limit_ms,omitempty"`
	ReachedLimit   float64 `json:"whole_limit_ms,omitempty"`
	Stranded       int64   `json:"stranded,omitempty"` // slots of the limit that are unused at the end
	Moves          int     `json:"moves,omitempty"`
}

func (c *cell) runExperiment(ctx context.Context, o Options) (*Experiment, error) {
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

// takeover kills the node that owns the most partitions and observes the takeover in the other nodes' logs.
func (c *cell) takeover(ctx context.Context) (*Experiment, error) {
	views, err := c.nodeViews(ctx)
	if err != nil {
		return nil, err
	}
	owned := map[string]bool{}
	killed := ""
	for _, v := range views {
		if len(v.Partitions) > len(owned) {
			killed, owned = v.ID, map[string]bool{}
			for _, p := range v.Partitions {
				owned[p] = true
			}
		}
	}
	for i, n := range c.nodes {
		if n.id == killed {
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			n.process.kill()
		}
	}
	killedAt := time.Now()
	e := &Experiment{Name: "takeover", Partitions: len(owned)}
	deadline := killedAt.Add(experimentTimeout)
	for {
		if err := c.readTakeover(e, owned, killedAt); err != nil {
			return nil, err
		}
		if e.LastPartitionStart > 0 || time.Now().After(deadline) {
			wait.For(ctx, 2*time.Second) // the last workers may be acquired later
			return e, c.readTakeover(e, owned, killedAt)
		}
		if !wait.For(ctx, pollInterval) {
			return nil, ctx.Err()
		}
	}
}

func (c *cell) readTakeover(e *Experiment, owned map[string]bool, killedAt time.Time) error {
	started := map[string]float64{}
	e.Workers, e.FirstAcquire, e.AllAcquired, e.FirstStart, e.LastPartitionStart = 0, 0, 0, 0, 0
	for _, n := range c.nodes {
		err := n.process.scanLog(`"partition":"`, func(l logLine) bool {
			after := float64(l.Time.Sub(killedAt).Microseconds()) / 1000
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
			e.LastPartitionStart = max(e.LastPartitionStart, after)
		}
	}
	return nil
}

// configurationChange publishes a revision and reads from the nodes' logs when it came into force.
func (c *cell) configurationChange(ctx context.Context, s Shape) (*Experiment, error) {
	s.Teams++
	if err := c.publish(ctx, s); err != nil {
		return nil, err
	}
	publishedAt := time.Now()
	e := &Experiment{Name: "configuration"}
	for {
		inForce := 0
		e.InForceFirst, e.InForceAll = 0, 0
		for _, n := range c.nodes {
			found := time.Time{}
			err := n.process.scanLog("configuration in force", func(l logLine) bool {
				// startCell published revision 1, so the change is revision 2.
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
			// A node may receive the revision before the publisher receives the store's response.
			after := max(0.001, float64(found.Sub(publishedAt).Microseconds())/1000)
			if e.InForceFirst == 0 || after < e.InForceFirst {
				e.InForceFirst = after
			}
			e.InForceAll = max(e.InForceAll, after)
		}
		if inForce == len(c.nodes) {
			return e, nil
		}
		if time.Since(publishedAt) > experimentTimeout || !wait.For(ctx, pollInterval) {
			return nil, errors.Errorf("the revision is in force at %d of %d nodes", inForce, len(c.nodes))
		}
	}
}

// allowanceMove submits a job that needs a team's whole limit in one partition, and measures how long the allowance
// takes to move there.
func (c *cell) allowanceMove(ctx context.Context, s Shape) (*Experiment, error) {
	const team = 0
	spec := job.Spec{Queue: teamQueue(team), Class: job.Batch, Tasks: int32(s.teamLimit()) * 2, Idempotent: true,
		Resources: resource.Vector{Slots: 1, MilliCPU: 500, MemoryMB: 256}, DurationMS: 60_000}
	caller := callerclient.Client{Address: c.nodes[0].address, Secret: teamSecret(team), HTTP: http.DefaultClient}
	if _, err := caller.Submit(ctx, "allowance", spec); err != nil {
		return nil, err
	}
	submittedAt := time.Now()
	e := &Experiment{Name: "allowance", Limit: int64(s.teamLimit())}
	for time.Since(submittedAt) < 15*time.Second {
		var teams []gateway.TeamView
		if err := c.getJSON(ctx, c.nodes[0].address, "/v1/teams", c.cellSecret(), &teams); err != nil {
			return nil, err
		}
		running := int64(0)
		for _, t := range teams {
			if t.Name == teamName(team) {
				running = t.Running
			}
		}
		after := float64(time.Since(submittedAt).Milliseconds())
		if e.RunningAfter1s == 0 && after >= 1000 {
			e.RunningAfter1s = running
		}
		if e.ReachedHalf == 0 && running >= e.Limit/2 {
			e.ReachedHalf = after
		}
		e.Stranded = max(0, e.Limit-running)
		if running >= e.Limit {
			e.ReachedLimit = after
			break
		}
		if !wait.For(ctx, pollInterval) {
			return nil, ctx.Err()
		}
	}
	for _, n := range c.nodes {
		// A node logs one such line for each allowance that one of its partitions transfers to another partition.
		err := n.process.scanLog(`"msg":"allowance"`, func(l logLine) bool {
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
			e.Partitions, e.Workers, e.FirstAcquire, e.AllAcquired, e.FirstStart, e.LastPartitionStart)
	case "configuration":
		return fmt.Sprintf("configuration in force everywhere %.0f ms after the publication", e.InForceAll)
	}
	return fmt.Sprintf("allowance: half of the limit of %d after %.0f ms, all after %.0f ms, %d stranded, %d moves",
		e.Limit, e.ReachedHalf, e.ReachedLimit, e.Stranded, e.Moves)
}
