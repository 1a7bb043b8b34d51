package workerproc

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Job is a job of a test. Its specification describes how its tasks behave on a worker.
type Job struct {
	ID      string `json:"id"`
	Team    string `json:"team,omitempty"`
	Service string `json:"service,omitempty"` // whose workers run the tasks; empty: any
	Advised bool   `json:"advised,omitempty"` // starts need a ticket
	Steps   []Step `json:"steps"`
}

// Step describes the tasks of a step. Gangs end done together, and services run until they are stopped.
type Step struct {
	Count         int           `json:"count"`
	CPU           int64         `json:"cpu"` // thousandths of a core
	MemMB         int64         `json:"mem_mb"`
	Duration      time.Duration `json:"duration"` // of a run that nothing interrupts; of a service: its startup
	After         []int         `json:"after,omitempty"`
	Checkpointing bool          `json:"checkpointing,omitempty"`
	Gang          bool          `json:"gang,omitempty"`
	Service       bool          `json:"service,omitempty"`
	Speculative   bool          `json:"speculative,omitempty"`
	Label         string        `json:"label,omitempty"` // that the worker must have
	MaxPerServer  int           `json:"max_per_server,omitempty"`

	FailRuns        []int   `json:"fail_runs,omitempty"`        // numbers of the runs that fail halfway
	FailProbability float64 `json:"fail_probability,omitempty"` // of each other run
	CrashesWorker   bool    `json:"crashes_worker,omitempty"`   // the worker's process ends shortly after the start
}

// Spec returns the specification that the job is submitted with.
func (j Job) Spec() string {
	b, err := json.Marshal(j)
	if err != nil {
		panic(err) // can't happen: every field has a type that can be encoded
	}
	return string(b)
}

// ParseSpec returns the job that a specification describes.
func ParseSpec(spec string) (Job, error) {
	var j Job
	if err := json.Unmarshal([]byte(spec), &j); err != nil {
		return Job{}, errors.Wrap(err, "parse specification")
	}
	return j, nil
}

// Body returns the body of a client's request that submits the job.
func (j Job) Body() string {
	steps := make([]stepBody, len(j.Steps))
	for i, s := range j.Steps {
		steps[i] = stepBody{Count: s.Count, CPU: s.CPU, MemMB: s.MemMB, EstimateMS: s.Duration.Milliseconds(), After: s.After, Checkpointing: s.Checkpointing,
			Gang: s.Gang, Speculative: s.Speculative, Label: s.Label, MaxPerServer: s.MaxPerServer, LongRunning: s.Service}
		if s.Service {
			steps[i].MaxUnavailable = 1
		}
	}
	b, err := json.Marshal(map[string]any{"spec": j.Spec(), "steps": steps})
	if err != nil {
		panic(err) // can't happen: every field has a type that can be encoded
	}
	return string(b)
}

type stepBody struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu"`
	MemMB          int64  `json:"mem_mb"`
	EstimateMS     int64  `json:"estimate_ms"`
	After          []int  `json:"after,omitempty"`
	Checkpointing  bool   `json:"checkpointing,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	Speculative    bool   `json:"speculative,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	Label          string `json:"required_label,omitempty"`
	MaxPerServer   int    `json:"max_per_server,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`
}

// TaskName is the name of a task as it occurs in orders, in its parts.
type TaskName struct {
	Job                     string
	Occurrence, Step, Index int
}

// ParseTask splits the name of a task, which has the form JOB.OCCURRENCE.STEP.INDEX.
func ParseTask(name string) (TaskName, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskName{}, errors.Errorf("invalid task name %q", name)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskName{}, errors.Errorf("invalid task name %q", name)
		}
		numbers[i] = n
	}
	return TaskName{parts[0], numbers[0], numbers[1], numbers[2]}, nil
}

// String returns the name as it occurs in orders.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// StepName returns the name of the task's step.
func (n TaskName) StepName() string { return fmt.Sprintf("%s.%d.%d", n.Job, n.Occurrence, n.Step) }

// fails returns whether a run of a task ends as failed by its own fault. The same run always has the same outcome.
func (s Step) fails(task string, run int) bool {
	return slices.Contains(s.FailRuns, run) || fraction(task, run) < s.FailProbability
}

// fraction returns a number from 0 up to but not including 1 that depends on a run only.
func fraction(task string, run int) float64 {
	return float64(hash(task, run)) / (math.MaxUint32 + 1.0)
}

func hash(parts ...any) uint32 {
	h := fnv.New32a()
	fmt.Fprintln(h, parts...)
	sum := h.Sum32()
	// The last bytes of the input hardly change the high bits of FNV-1a.
	sum ^= sum >> 16
	sum *= 0x85ebca6b
	sum ^= sum >> 13
	sum *= 0xc2b2ae35
	return sum ^ sum>>16
}

// newCheckpoint returns the value of a checkpoint that a run of a step produces after an amount of work.
func newCheckpoint(work time.Duration, source ...any) string {
	return fmt.Sprintf("%08x%08x", work.Milliseconds(), hash(source...))
}

// checkpointedWork returns the work that a checkpoint stands for.
func checkpointedWork(value string) time.Duration {
	ms, err := strconv.ParseInt(value[:min(8, len(value))], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
