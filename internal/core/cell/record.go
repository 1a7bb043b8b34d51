package cell

import (
	"time"

	"github.com/pkg/errors"
)

// recordVersion is the format version of the records in the store. A build reads its own and all earlier versions.
const recordVersion = 1

// ErrRecordVersion is returned for a record that was written by a later build.
var ErrRecordVersion = errors.New("record has an unknown version")

// jobRecord is the stored form of an accepted job.
type jobRecord struct {
	Version int `json:"v"`
	Job
}

// progressRecord is the stored form of a job's progress.
type progressRecord struct {
	Version int    `json:"v"`
	Phase   Phase  `json:"phase"`
	Reason  string `json:"reason,omitempty"`
	Began   bool   `json:"began,omitempty"` // a task has started
	// Service and ConfigVersion are those of the job if its queue has been sent to another service since it was accepted.
	Service       string         `json:"service,omitempty"`
	ConfigVersion int64          `json:"config,omitempty"`
	Steps         []stepProgress `json:"steps,omitempty"`
}

// stepProgress lists the tasks of a step that have ever been placed.
type stepProgress struct {
	Done         []int          `json:"done,omitempty"`
	Tasks        []taskProgress `json:"tasks,omitempty"`
	GangRun      int            `json:"gang_run,omitempty"`
	GangFailures int            `json:"gang_failed,omitempty"`
	FailedRun    int            `json:"failed_run,omitempty"` // last run of the gang that was counted in gang_failed
}

// taskProgress is a task that was placed and isn't done.
type taskProgress struct {
	Task       int      `json:"i"`
	Run        int      `json:"r"`
	Failed     int      `json:"f,omitempty"`
	FailedRun  int      `json:"fr,omitempty"` // last run that was counted in f
	Worker     WorkerID `json:"w,omitempty"`  // empty unless the run may exist on this worker
	Checkpoint string   `json:"c,omitempty"`

	Crashes   []WorkerID `json:"cw,omitempty"` // workers that crashed under the task
	Confirmed int        `json:"cc,omitempty"` // crashes under a run that its worker had confirmed
}

// FinalRecord is what is kept of a job that has ended.
type FinalRecord struct {
	Version int    `json:"v"`
	Queue   string `json:"queue"`
	Team    string `json:"team"`
	Phase   Phase  `json:"phase"`
	Reason  string `json:"reason,omitempty"`
	EndedMS int64  `json:"ended_ms"` // Unix milliseconds
}

// EncodeJob returns the record of an accepted job.
func EncodeJob(j Job) ([]byte, error) {
	b, err := encodeRecord(jobRecord{Version: recordVersion, Job: j})
	return b, errors.Wrap(err, "encode job")
}

// DecodeJob decodes the record of an accepted job. It returns ErrRecordVersion or an error of the decoder.
func DecodeJob(b []byte) (Job, error) {
	var r jobRecord
	if err := decodeRecord(b, &r); err != nil {
		return Job{}, errors.Wrap(err, "decode job")
	}
	if r.Version < 1 || r.Version > recordVersion {
		return Job{}, errors.Wrapf(ErrRecordVersion, "job %s: %d", r.ID, r.Version)
	}
	return r.Job, r.Job.check()
}

// ErrInvalidJob is returned for a record whose job can't be scheduled.
var ErrInvalidJob = errors.New("record has an invalid job")

// maxJobTasks bounds the tasks of a job, so that a corrupt record can't fill the memory.
const maxJobTasks = 100_000

// check reports the first part of a job that the scheduler can't work with.
func (j Job) check() error {
	tasks := 0
	for n, s := range j.Steps {
		if s.Count < 1 || s.Count > maxJobTasks-tasks {
			return errors.Wrapf(ErrInvalidJob, "%s: step %d has %d tasks", j.ID, n, s.Count)
		}
		tasks += s.Count
		if s.Each.HasNegative() || s.EstimateMS < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
			return errors.Wrapf(ErrInvalidJob, "%s: step %d has a negative figure", j.ID, n)
		}
		for _, a := range s.After {
			if a < 0 || a >= n {
				return errors.Wrapf(ErrInvalidJob, "%s: step %d depends on step %d", j.ID, n, a)
			}
		}
	}
	return nil
}

// DecodeFinal decodes the record of a job that has ended. It returns ErrRecordVersion or an error of the decoder.
func DecodeFinal(b []byte) (FinalRecord, error) {
	var r FinalRecord
	if err := decodeRecord(b, &r); err != nil {
		return r, errors.Wrap(err, "decode final record")
	}
	if r.Version < 1 || r.Version > recordVersion {
		return r, errors.Wrapf(ErrRecordVersion, "final record: %d", r.Version)
	}
	return r, nil
}

// encodeProgress returns the record of the job's progress.
func encodeProgress(j *job) ([]byte, error) {
	r := progressRecord{Version: recordVersion, Phase: j.phase, Reason: j.reason, Began: j.started}
	if j.moved {
		r.Service, r.ConfigVersion = j.Service, j.ConfigVersion
	}
	for _, st := range j.steps {
		r.Steps = append(r.Steps, st.progress())
	}
	b, err := encodeRecord(r)
	return b, errors.Wrapf(err, "encode progress of %s", j.ID)
}

func (st *step) progress() stepProgress {
	p := stepProgress{GangRun: st.gangRun, GangFailures: st.gangFailures, FailedRun: st.lastFailedRun}
	for n, t := range st.tasks {
		if t.phase == taskDone {
			p.Done = append(p.Done, n)
			continue
		}
		if t.run == 0 {
			continue
		}
		row := taskProgress{Task: n, Run: t.run, Failed: t.failures, FailedRun: t.lastFailedRun, Checkpoint: t.checkpoint,
			Crashes: t.crashes.workers, Confirmed: t.crashes.confirmed}
		if t.worker != nil && t.phase != taskReserved {
			row.Worker = t.worker.ID
		}
		p.Tasks = append(p.Tasks, row)
	}
	return p
}

// DecodePhase returns the phase in a progress record. It returns ErrRecordVersion or an error of the decoder.
func DecodePhase(b []byte) (Phase, error) {
	var r progressRecord
	if err := decodeRecord(b, &r); err != nil {
		return "", errors.Wrap(err, "decode progress")
	}
	if r.Version < 1 || r.Version > recordVersion {
		return "", errors.Wrapf(ErrRecordVersion, "progress: %d", r.Version)
	}
	return r.Phase, nil
}

// restoreProgress applies a progress record to a newly created job.
func (s *Scheduler) restoreProgress(j *job, b []byte) error {
	var r progressRecord
	if err := decodeRecord(b, &r); err != nil {
		return errors.Wrapf(err, "decode progress of %s", j.ID)
	}
	if r.Version < 1 || r.Version > recordVersion {
		return errors.Wrapf(ErrRecordVersion, "progress of %s: version %d", j.ID, r.Version)
	}
	if len(r.Steps) > len(j.steps) {
		return errors.Errorf("progress of %s has %d steps, the job has %d", j.ID, len(r.Steps), len(j.steps))
	}
	j.phase, j.reason, j.started = r.Phase, r.Reason, r.Began || r.Phase == Running
	if r.Service != "" {
		j.Service, j.ConfigVersion, j.moved = r.Service, r.ConfigVersion, true
	}
	for i, p := range r.Steps {
		s.restoreStep(j.steps[i], p)
	}
	return nil
}

// restoreStep applies the recorded progress of a step. Tasks whose run may exist become taskUnresolved and hold their
// capacity until it is known that the run doesn't exist.
func (s *Scheduler) restoreStep(st *step, p stepProgress) {
	st.gangRun, st.gangFailures, st.lastFailedRun = p.GangRun, p.GangFailures, p.FailedRun
	for _, n := range p.Done {
		if n >= 0 && n < len(st.tasks) && st.tasks[n].phase != taskDone {
			st.tasks[n].phase = taskDone
			st.unfinished--
			st.waiting--
			st.job.started = true
		}
	}
	for _, row := range p.Tasks {
		if row.Task < 0 || row.Task >= len(st.tasks) {
			continue
		}
		t := st.tasks[row.Task]
		t.run, t.failures, t.lastFailedRun, t.checkpoint = row.Run, row.Failed, row.FailedRun, row.Checkpoint
		t.crashes = crashHistory{workers: row.Crashes, confirmed: row.Confirmed}
		if row.Worker != "" && t.phase == taskWaiting {
			s.allocate(t, s.workerOf(row.Worker))
			t.phase = taskUnresolved
			st.waiting--
		}
	}
	st.updateProbation()
}

// finalRecord returns the encoded FinalRecord of a job that has ended.
func finalRecord(j *job, now time.Time) ([]byte, error) {
	b, err := encodeRecord(FinalRecord{Version: recordVersion, Queue: j.Queue, Team: j.Team, Phase: j.phase, Reason: j.reason,
		EndedMS: now.UnixMilli()})
	return b, errors.Wrapf(err, "encode final record of %s", j.ID)
}
