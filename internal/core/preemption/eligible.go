package preemption

import "sequoiastall/internal/core/job"

// eligible reports whether a task may be preempted at all. Urgent work never is, nor is work that could be neither
// resumed nor run again. Other tasks make room if their team is above its share, or for urgent work if they are batch.
func eligible(r *Running, o *Options) bool {
	switch {
	case r.Urgent, !r.CanCheckpoint && !r.Idempotent:
		return false
	case o.Urgent && r.Class != job.Service:
		return true
	default:
		return o.OverShare[r.Team] && r.Team != o.Team
	}
}

// action is the mildest way to end a task.
func action(r *Running) Action {
	if r.CanCheckpoint {
		return Checkpoint
	}
	return Stop
}
