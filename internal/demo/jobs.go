package demo

import (
	"context"
	"sync"

	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/wait"
)

// fullPercent is the percentage of used slots from which the cell counts as full.
const fullPercent = 95

// runJobs submits the jobs to different nodes and waits until they have ended. Urgent jobs are submitted once the cell
// is full.
func (d *demo) runJobs(ctx context.Context, jobs []*plannedJob) {
	var wg sync.WaitGroup
	submit := func(urgent bool) {
		for i, j := range jobs {
			if (j.class == classUrgent) == urgent {
				wg.Go(func() { d.runJob(ctx, i, j) })
			}
		}
	}
	submit(false)
	d.waitFull(ctx)
	submit(true)
	wg.Wait()
}

// runJob submits a job and waits for its end through another node. Every fifth job is submitted a second time, through
// a third node, as a caller does after a lost response.
func (d *demo) runJob(ctx context.Context, i int, j *plannedJob) {
	first, err := d.clientFor(i, j.team).Submit(ctx, j.key, j.spec)
	if err != nil {
		j.err = err
		return
	}
	if i%5 == 0 {
		again, err := d.clientFor(i+1, j.team).Submit(ctx, j.key, j.spec)
		if err != nil {
			j.err = err
			return
		}
		if again.ID != first.ID {
			d.addViolation("job " + string(first.ID) + " was submitted twice with the same idempotency key and also got the ID " + string(again.ID))
		}
	}
	j.status, j.err = d.clientFor(i+2, j.team).Wait(ctx, first.ID)
	j.status.ID = first.ID
}

// waitFull waits until the cell is full, for at most maxPolls polls.
func (d *demo) waitFull(ctx context.Context) {
	const maxPolls = 60
	total := d.cellCapacity().Slots
	for range maxPolls {
		var used resource.Vector
		for _, r := range d.cell.Runs.Runs() {
			if r.End.IsZero() {
				used = used.Add(r.Reserved)
			}
		}
		if used.Slots*100 >= total*fullPercent || !wait.For(ctx, pollInterval) {
			return
		}
	}
}
