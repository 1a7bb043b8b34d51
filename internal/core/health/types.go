// Package health tells workers that fail everything from jobs that fail everywhere. A worker is quarantined on failures
// of jobs that succeed elsewhere; a job fails on failures on workers that are sound. The evidence for one doesn't count
// for the other, so that both can be present at once.
package health

import (
	"time"

	"sequoiastall/internal/core/job"
)

const (
	// workerStreak is the number of different jobs that fail in a row before a worker is quarantined.
	workerStreak = 5
	// suspectStreak is the number of other jobs in a worker's streak from which a failure there says nothing on a job.
	suspectStreak = 2
	// jobWorkers is the number of different workers on which a task fails, or that die, before the job fails.
	jobWorkers = 3
	// taskWorkers fails a job whatever the state of the workers, so that no task is started for ever.
	taskWorkers = 9
	// evidenceTime is how long a success counts as evidence for work of the same kind.
	evidenceTime = 10 * time.Minute
	// deathTime is how long the death of a worker counts against the jobs that ran there. Hosts fail now and then; only
	// deaths in close succession point at a job.
	deathTime = time.Hour
	// sameEvent joins the deaths of workers of one rack or zone.
	sameEvent = 2 * time.Second
	// probeDelay and probeMaximum bound the back-off between probes.
	probeDelay   = 30 * time.Second
	probeMaximum = 30 * time.Minute
	// streakLimit bounds the jobs that are remembered for a worker.
	streakLimit = 4 * workerStreak
	// kindLimit bounds the kinds of work that are remembered.
	kindLimit = 4096
)

// Outcome is the end of a task.
type Outcome struct {
	Worker    string
	Task      job.TaskID
	Kind      string // work that behaves alike: queue and service
	Succeeded bool
}

// Death is the loss of a worker.
type Death struct {
	Worker, Zone, Rack string
	Workers            int // live in the partition before it, this one included
	Jobs               []Presence
}

// Presence tells that a job ran on a worker that died.
type Presence struct {
	Job     job.ID
	Workers int // on which the job ran
}

// Action is what follows from the evidence.
type Action int

// Actions.
const (
	Quarantine Action = iota
	Restore           // end the quarantine
	FailJob
)

// String returns the action's name.
func (a Action) String() string { return [...]string{"quarantine", "restore", "fail job"}[a] }

// Verdict is a conclusion. Worker is set for Quarantine and Restore, Job for FailJob.
type Verdict struct {
	Action Action
	Worker string
	Job    job.ID
	Reason string
}
