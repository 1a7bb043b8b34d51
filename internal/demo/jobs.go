package demo

import (
	"context"
	"sync"

	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/wait"
)

// nearlyFull is the part of the cell's slots, in percent, from which on it counts as full.
const nearlyFull = 95

// runJobs submits the jobs at different nodes and waits for their ends. Urgent jobs follow when the cell is full.
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

// runJob submits a job twice at different nodes, as a caller does whose first answer was lost, and asks a third node for
// its end.
func (d *demo) runJob(ctx context.Context, i int, j *plannedJob) {
	first, err := d.caller(i, j.team).Submit(ctx, j.key, j.spec)
	if err != nil {
		j.err = err
		return
	}
	if i%5 == 0 {
		again, err := d.caller(i+1, j.team).Submit(ctx, j.key, j.spec)
		if err != nil {
			j.err = err
			return
		}
		if again.ID != first.ID {
			d.breach("job " + string(first.ID) + " was submitted twice with one key and became also " + string(again.ID))
		}
	}
	j.status, j.err = d.caller(i+2, j.team).Wait(ctx, first.ID)
	j.status.ID = first.ID
}

// waitFull waits until the cell is nearly full, or gives up when that takes too long.
func (d *demo) waitFull(ctx context.Context) {
	const looks = 60
	total := d.total().Slots
	for range looks {
		var used resource.Vector
		for _, r := range d.cell.Runs.Runs() {
			if r.End.IsZero() {
				used = used.Add(r.Reserved)
			}
		}
		if used.Slots*100 >= total*nearlyFull || !wait.For(ctx, pollInterval) {
			return
		}
	}
}
