package node

import (
	"time"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/partition"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
)

// event is a message to an owner's loop. Only the loop accesses the partition's state machine.
type event interface {
	apply(o *owner, now time.Time)
}

type (
	tick             struct{}
	configChanged    struct{}
	hostsChanged     struct{}
	allowanceChanged struct{}
	jobChanged       struct{ record job.Record }
	jobRemoved       struct{ id job.ID }
	// stateVerified reports that the cache contains all writes that the store had applied at some time after this
	// owner started.
	stateVerified  struct{}
	workerAcquired struct {
		worker    string
		inventory port.Inventory
		sent      time.Time
	}
	workerLost struct {
		worker string
		token  port.Token
	}
	workerSynced struct {
		worker string
		sent   port.Sync
		result port.SyncResult
		sentAt time.Time
	}
	batchFailed struct {
		worker string
		sent   port.Sync
	}
	progressSaved  struct{ revision int64 }
	progressFailed struct{}
	// progressRead carries a progress document as the store has it, at the start, after a conflict or on a reread.
	progressRead struct {
		doc      partition.Progress
		revision int64
	}
	statusQuery struct {
		id    job.ID
		reply chan statusReply
	}
	endpointsQuery struct {
		request routing.EndpointsRequest
		reply   chan endpointsReply
	}
	allowanceQuery struct {
		request quota.AllowanceRequest
		reply   chan allowanceReply
	}
	moveFailed struct{ id job.ID }
)

type statusReply struct {
	status job.Status
	found  bool
}

type endpointsReply struct {
	set routing.EndpointSet
	err error
}

// allowanceReply carries the amount that the owner grants and no longer uses itself.
type allowanceReply struct{ granted allowanceGrant }

func (tick) apply(*owner, time.Time) {}

func (configChanged) apply(o *owner, now time.Time) { o.applyConfig(now) }

func (hostsChanged) apply(o *owner, now time.Time) { o.applyHosts(now) }

func (allowanceChanged) apply(o *owner, _ time.Time) { o.applyAllowances() }

func (e jobChanged) apply(o *owner, now time.Time) { o.machine.SetJob(e.record, now) }

func (e jobRemoved) apply(o *owner, _ time.Time) { o.machine.RemoveJob(e.id) }

func (stateVerified) apply(o *owner, _ time.Time) {
	o.verified = true
	o.machine.StateVerified()
	o.applyAllowances()
}

func (e workerAcquired) apply(o *owner, now time.Time) {
	o.machine.Acquired(e.worker, e.inventory, e.sent, now)
	if !o.verified {
		o.applyAllowances() // the adopted tasks are within the allowance
	}
	o.log.Info("worker", "action", "acquired", "worker", e.worker, "token", e.inventory.Token, "tasks", len(e.inventory.Tasks))
}

func (e workerLost) apply(o *owner, now time.Time) {
	if token, held := o.machine.LeaseToken(e.worker); held && token == e.token {
		o.machine.LeaseLost(e.worker, now)
		o.log.Warn("worker", "action", "lost", "worker", e.worker, "token", e.token)
	}
}

func (e workerSynced) apply(o *owner, now time.Time) {
	o.machine.Synced(e.worker, e.sent, e.result, e.sentAt, now)
}

func (e batchFailed) apply(o *owner, _ time.Time) { o.machine.SyncFailed(e.worker, e.sent) }

func (e progressSaved) apply(o *owner, now time.Time) {
	o.writingProgress = false
	o.machine.ProgressWritten(e.revision, now)
}

func (progressFailed) apply(o *owner, _ time.Time) {
	o.writingProgress = false
	o.machine.ProgressFailed()
}

func (e progressRead) apply(o *owner, _ time.Time) { o.machine.LoadProgress(e.doc, e.revision) }

func (e statusQuery) apply(o *owner, _ time.Time) {
	status, found := o.machine.Status(e.id)
	e.reply <- statusReply{status, found}
}

func (e endpointsQuery) apply(o *owner, now time.Time) {
	set, err := o.permits.request(e.request, now)
	e.reply <- endpointsReply{set, err}
}

func (e allowanceQuery) apply(o *owner, _ time.Time) {
	e.reply <- allowanceReply{o.reserveGrant(e.request)}
}

func (e moveFailed) apply(o *owner, _ time.Time) { o.machine.MoveFailed(e.id) }
