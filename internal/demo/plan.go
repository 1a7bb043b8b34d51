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
	// demandFactor is the demand in relation to the capacity that services leave free. It is above 1 so that work has
	// to wait.
	demandFactor = 4
	// jobsPerTeam is the number of a team's batch jobs. Several jobs spread its tasks over the partitions.
	jobsPerTeam        = 4
	gangTasks          = 8
	urgentTasks        = 10
	declaredDurationMS = 1000
	// Bounds of the actual duration of a task, the upper one exclusive.
	minDurationMS = 600
	maxDurationMS = 1400
)

// taskSize is what a batch task reserves: one slot and half of the CPU and memory per slot of a sample worker.
var taskSize = resource.Vector{Slots: 1, MilliCPU: 1000, MemoryMB: 1024}

// class is a class of work in the summary.
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
	status job.Status // when the job has ended
	err    error
}

func newTeamKey(team string) (object.Key, string) {
	secret := rand.Text()
	sum := sha256.Sum256([]byte(secret))
	return object.Key{Meta: object.Meta{Kind: object.KindKey, Name: "demo-run-" + team}, Team: team,
		SHA256: hex.EncodeToString(sum[:])}, secret
}

func compareKeys(a, b object.Key) int { return cmp.Compare(a.Name, b.Name) }

func (d *demo) clientFor(node int, team string) *callerclient.Client {
	return d.cell.Client(node%len(d.cell.Nodes), d.secrets[team], d.client)
}

// queueOf returns a queue of the given class and priority that the team may use: its own if it has one, otherwise an
// open one.
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

// planJobs returns more work for every team than the team can run at once.
func (d *demo) planJobs() []*plannedJob {
	rng := random.New(random.NewPCG(d.options.Seed, 1))
	var jobs []*plannedJob
	free, totalTeamCapacity := d.freeCapacity(), int64(0)
	for _, t := range d.set.Teams {
		totalTeamCapacity += d.teamCapacity(t.Name)
	}
	for _, t := range d.set.Teams {
		capacity := d.teamCapacity(t.Name)
		if q, ok := d.queueOf(t.Name, object.ClassBatch, object.Normal); ok {
			tasks := min(demandFactor*free*capacity/max(1, totalTeamCapacity)/jobsPerTeam, int64(q.TaskLimit()))
			for i := range jobsPerTeam {
				jobs = d.addJob(jobs, classBatch, t.Name, q, tasks, taskSize, i%2 == 0, rng)
			}
		}
		if q, ok := d.queueOf(t.Name, object.ClassGang, object.Normal); ok {
			size := taskSize.Scale(2)
			tasks := min(gangTasks, int64(q.TaskLimit()), capacity/size.Slots)
			for range 2 {
				jobs = d.addJob(jobs, classGang, t.Name, q, tasks, size, true, rng)
			}
		}
		if q, ok := d.queueOf(t.Name, object.ClassBatch, object.Urgent); ok {
			jobs = d.addJob(jobs, classUrgent, t.Name, q, min(urgentTasks, int64(q.TaskLimit()), capacity), taskSize, true, rng)
		}
	}
	return jobs
}

func (d *demo) addJob(jobs []*plannedJob, c class, team string, q object.Queue, tasks int64, size resource.Vector,
	idempotent bool, rng *random.Rand) []*plannedJob {
	if tasks < 1 {
		return jobs
	}
	payload := fmt.Sprintf(`{"true_duration_ms": %d}`, minDurationMS+rng.IntN(maxDurationMS-minDurationMS))
	return append(jobs, &plannedJob{class: c, team: team, key: fmt.Sprintf("demo-%s-%d", team, len(jobs)),
		spec: job.Spec{Team: team, Queue: q.Name, Name: string(c), Class: job.Class(q.Class), Tasks: int32(tasks),
			Resources: size, DurationMS: declaredDurationMS, Idempotent: idempotent, Payload: []byte(payload)}})
}

// teamCapacity returns the number of batch tasks that a team can run at once in addition to its services.
func (d *demo) teamCapacity(team string) int64 {
	allowed := d.cellCapacity()
	if quota, ok := d.index.Team(team); ok && quota.Limited {
		allowed = allowed.Min(quota.Limit)
	}
	return tasksIn(allowed.Sub(d.reservedByServices(team)))
}

// freeCapacity returns the number of batch tasks that fit into the cell in addition to all services.
func (d *demo) freeCapacity() int64 { return tasksIn(d.cellCapacity().Sub(d.reservedByServices(""))) }

func (d *demo) cellCapacity() resource.Vector {
	var total resource.Vector
	for _, v := range d.cell.Capacity() {
		total = total.Add(v)
	}
	return total
}

// reservedByServices returns what the services of a team reserve, or those of all teams if team is empty.
func (d *demo) reservedByServices(team string) resource.Vector {
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
