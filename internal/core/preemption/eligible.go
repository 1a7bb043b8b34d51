package preemption

import "sequoiastall/internal/core/job"

// eligible reports whether a task may be preempted. Urgent tasks never are, nor are tasks that can be neither resumed
// nor rerun. Urgent work may preempt batch tasks and gangs of any team. Otherwise a task may only be preempted for
// another team's work, if its own team is above its share.
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

// leastSevereAction returns the least severe action that ends a task.
func leastSevereAction(r *Running) Action {
	if r.CanCheckpoint {
		return Checkpoint
	}
	return Stop
}
