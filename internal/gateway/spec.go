package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
)

// Limits on a job specification. A job's record must fit into a store value, which is limited to 1 MB.
const (
	maxNameBytes    = 256
	maxKeyBytes     = 256
	maxTasks        = 100_000
	maxPayloadBytes = 256 << 10
	maxConcurrency  = 10_000
	maxDuration     = 30 * 24 * time.Hour
	maxSlots        = 100_000
	maxMilliCPU     = 10_000_000
	maxMemoryMB     = 100_000_000
	maxAccelerators = 10_000
)

// parseSpec decodes and validates a job specification. Unknown fields and trailing data are errors.
func parseSpec(body []byte) (job.Spec, *Error) {
	var spec job.Spec
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&spec); err != nil {
		return spec, notRun(CodeInvalid, "the body isn't a job specification: "+err.Error())
	}
	if _, err := d.Token(); err != io.EOF {
		return spec, notRun(CodeInvalid, "the body has more than one JSON value")
	}
	if problem := checkSpec(&spec); problem != "" {
		return spec, notRun(CodeInvalid, problem)
	}
	return spec, nil
}

// checkSpec describes the first problem of a specification. It returns an empty string if there is none.
func checkSpec(s *job.Spec) string {
	r := s.Resources
	fields := []struct {
		name          string
		value, lo, hi int64
	}{
		{"tasks", int64(s.Tasks), 1, maxTasks},
		{"resources.slots", r.Slots, 0, maxSlots},
		{"resources.milli_cpu", r.MilliCPU, 0, maxMilliCPU},
		{"resources.memory_mb", r.MemoryMB, 0, maxMemoryMB},
		{"resources.accelerators", r.Accelerators, 0, maxAccelerators},
		{"duration_ms", s.DurationMS, 0, maxDuration.Milliseconds()},
		{"deadline_ms", s.DeadlineMS, 0, 1 << 52},
		{"concurrency", int64(s.Concurrency), 0, maxConcurrency},
		{"payload length", int64(len(s.Payload)), 0, maxPayloadBytes},
		{"team length", int64(len(s.Team)), 0, maxNameBytes},
		{"queue length", int64(len(s.Queue)), 1, maxNameBytes},
		{"name length", int64(len(s.Name)), 0, maxNameBytes},
		{"pool length", int64(len(s.Pool)), 0, maxNameBytes},
		{"service length", int64(len(s.Service)), 0, maxNameBytes},
	}
	for _, f := range fields {
		if f.value < f.lo || f.value > f.hi {
			return fmt.Sprintf("%s is %d, must be %d to %d", f.name, f.value, f.lo, f.hi)
		}
	}
	switch {
	case s.Class == job.Service:
		// The published services determine which instances run; an owner removes a service job that none of them
		// requests.
		return "class is service: operators start services by publishing them"
	case s.Class != job.Batch && s.Class != job.Gang:
		return fmt.Sprintf("class is %q, must be batch or gang", s.Class)
	case r == resource.Vector{}:
		return "resources is empty"
	case s.Service != "":
		return "service must not be given"
	case s.FirstIndex != 0:
		return "first_index must not be given" // set by nodes in the parts of a divided job
	case s.Concurrency > 0:
		return "concurrency must not be given"
	}
	return ""
}

// checkKey describes the problem of an idempotency key. It returns an empty string if there is none.
func checkKey(key string) string {
	if len(key) > maxKeyBytes {
		return fmt.Sprintf("%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return HeaderIdempotencyKey + " has a character that isn't printable ASCII"
		}
	}
	return ""
}
