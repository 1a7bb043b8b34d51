// Package health distinguishes faulty workers, on which every job fails, from faulty jobs, which fail on every worker.
// A worker is quarantined after failures of jobs that succeed elsewhere; a job is failed after failures on healthy
// workers. Failures that count as evidence against a worker don't count against a job and vice versa, so that both kinds
// of fault are detected when they occur at the same time.
package health

import (
	"time"

	"sequoiastall/internal/core/job"
)

const (
	// quarantineStreak is the number of different jobs that fail in a row before a worker is quarantined.
	quarantineStreak = 5
	// suspectWorkerStreak is the number of other jobs in a worker's streak from which a failure on that worker no longer
	// counts against a job.
	suspectWorkerStreak = 2
	// jobFailureWorkers is the number of different workers on which a task fails, or that are lost while they run the
	// job, before the job is failed.
	jobFailureWorkers = 3
	// maxTaskFailureWorkers is the number of different workers on which a task fails before the job is failed whatever
	// the state of those workers, so that no task is restarted forever.
	maxTaskFailureWorkers = 9
	// evidenceWindow is how long a success counts as evidence for work of the same kind.
	evidenceWindow = 10 * time.Minute
	// lossWindow is how long the loss of a worker counts against the jobs that ran on it. Hosts fail now and then, so
	// only losses in close succession suggest that a job causes them.
	lossWindow = time.Hour
	// lossGroupWindow is the time within which losses of workers in one zone count as one event, such as the loss of a
	// rack or of the whole zone.
	lossGroupWindow = 2 * time.Second
	// probeMinDelay and probeMaxDelay bound the back-off between probes.
	probeMinDelay = 30 * time.Second
	probeMaxDelay = 30 * time.Minute
	// maxStreak bounds the number of jobs that are kept in a worker's streak.
	maxStreak = 4 * quarantineStreak
	// maxKinds is the number of kinds of work from which a new kind first evicts those without a success within
	// evidenceWindow.
	maxKinds = 4096
)

// Outcome is the end of a task.
type Outcome struct {
	Worker    string
	Task      job.TaskID
	Kind      string // identifies work that behaves alike: its service, or its queue and job name
	Succeeded bool
}

// WorkerLoss is the loss of a worker.
type WorkerLoss struct {
	Worker, Zone, Rack string
	Workers            int // workers that were live in the partition before the loss, including this one
	Jobs               []ExposedJob
}

// ExposedJob is a job that ran on a lost worker.
type ExposedJob struct {
	Job     job.ID
	Workers int // number of workers on which the job ran
}

// Action is the action that a Verdict calls for.
type Action int

// Actions.
const (
	Quarantine Action = iota
	Restore           // end the quarantine
	FailJob
)

// String returns the action's name.
func (a Action) String() string { return [...]string{"quarantine", "restore", "fail job"}[a] }

// Verdict is a conclusion from the evidence. Worker is set for Quarantine and Restore, Job for FailJob.
type Verdict struct {
	Action Action
	Worker string
	Job    job.ID
	Reason string
}
