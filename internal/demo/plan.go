package demo

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	random "math/rand/v2"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/core/resource"
)

const (
	// demandFactor is how many times the cell's room beside its services is asked for, so that work waits.
	demandFactor = 4
	// jobsPerTeam spreads a team's batch tasks over the partitions.
	jobsPerTeam   = 4
	gangTasks     = 8
	urgentTasks   = 10
	declaredRunMS = 1000
	shortestRunMS = 600
	longestRunMS  = 1400
)

// taskSize is what a batch task reserves: one slot and half of the slot's part of a sample worker.
var taskSize = resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: 1024}

// class is a kind of work as the summary shows it.
type class string

const (
	classUrgent class = "urgent"
	classBatch  class = "batch"
	classGang   class = "gang"
)

// plannedJob is a job of the run.
type plannedJob struct {
	class  class
	team   string
	key    string // idempotency key
	spec   job.Spec
	status job.Status // at its end
	err    error
}

func newKey(team string) (object.Key, string) {
	secret := rand.Text()
	sum := sha256.Sum256([]byte(secret))
	return object.Key{Meta: object.Meta{Kind: object.KindKey, Name: "demo-run-" + team}, Team: team,
		SHA256: hex.EncodeToString(sum[:])}, secret
}

func compareKeys(a, b object.Key) int { return cmp.Compare(a.Name, b.Name) }

func (d *demo) caller(node int, team string) *callerclient.Client {
	return d.cell.Caller(node%len(d.cell.Nodes), d.secrets[team], d.client)
}

// queueOf returns a queue that the team may use: its own if it has one, else one that is open.
func (d *demo) queueOf(team string, c object.Class, p object.Priority) (object.Queue, bool) {
	var found object.Queue
	for _, q := range d.set.Queues {
		if q.Class != c || q.Priority != p || !q.Open && q.Team != team {
			continue
		}
		if found.Name == "" || found.Open && !q.Open {
			found = q
		}
	}
	return found, found.Name != ""
}

// planJobs returns more work for every team than it has room for.
func (d *demo) planJobs() []*plannedJob {
	rng := random.New(random.NewPCG(d.options.Seed, 1))
	var jobs []*plannedJob
	free, rooms := d.free(), int64(0)
	for _, t := range d.set.Teams {
		rooms += d.room(t.Name)
	}
	for _, t := range d.set.Teams {
		room := d.room(t.Name)
		if q, ok := d.queueOf(t.Name, object.ClassBatch, object.Normal); ok {
			tasks := min(demandFactor*free*room/max(1, rooms)/jobsPerTeam, int64(q.TaskLimit()))
			for i := range jobsPerTeam {
				jobs = d.add(jobs, classBatch, t.Name, q, tasks, taskSize, i%2 == 0, rng)
			}
		}
		if q, ok := d.queueOf(t.Name, object.ClassGang, object.Normal); ok {
			size := taskSize.Scale(2)
			tasks := min(gangTasks, int64(q.TaskLimit()), room/size.Slots)
			for range 2 {
				jobs = d.add(jobs, classGang, t.Name, q, tasks, size, true, rng)
			}
		}
		if q, ok := d.queueOf(t.Name, object.ClassBatch, object.Urgent); ok {
			jobs = d.add(jobs, classUrgent, t.Name, q, min(urgentTasks, int64(q.TaskLimit()), room), taskSize, true, rng)
		}
	}
	return jobs
}

func (d *demo) add(jobs []*plannedJob, c class, team string, q object.Queue, tasks int64, size resource.Vector,
	idempotent bool, rng *random.Rand) []*plannedJob {
	if tasks < 1 {
		return jobs
	}
	payload := fmt.Sprintf(`{"true_duration_ms": %d}`, shortestRunMS+rng.IntN(longestRunMS-shortestRunMS))
	return append(jobs, &plannedJob{class: c, team: team, key: fmt.Sprintf("demo-%s-%d", team, len(jobs)),
		spec: job.Spec{Team: team, Queue: q.Name, Name: string(c), Class: job.Class(q.Class), Tasks: int32(tasks),
			Resources: size, DurationMS: declaredRunMS, Idempotent: idempotent, Payload: []byte(payload)}})
}

// room returns the number of batch tasks that a team may run beside its services.
func (d *demo) room(team string) int64 {
	most := d.total()
	if quota, ok := d.index.Team(team); ok && quota.Limited {
		most = most.Min(quota.Limit)
	}
	return tasksIn(most.Sub(d.services(team)))
}

// free returns the number of batch tasks that fit into the cell beside all services.
func (d *demo) free() int64 { return tasksIn(d.total().Sub(d.services(""))) }

func (d *demo) total() resource.Vector {
	var total resource.Vector
	for _, v := range d.cell.Capacity() {
		total = total.Add(v)
	}
	return total
}

// services returns what the services of a team reserve, or those of all teams if team is empty.
func (d *demo) services(team string) resource.Vector {
	var used resource.Vector
	for _, s := range d.set.Services {
		if team == "" || s.Team == team {
			used = used.Add(serviceSize(s).Scale(int64(s.Replicas)))
		}
	}
	return used
}

func tasksIn(v resource.Vector) int64 {
	return max(0, min(v.Slots/taskSize.Slots, v.MilliCPU/taskSize.MilliCPU, v.MemoryMB/taskSize.MemoryMB))
}

func serviceSize(s object.Service) resource.Vector {
	v := s.Resources.Vector()
	if v.Slots == 0 {
		v.Slots = int64(s.Concurrency)
	}
	return v
}
