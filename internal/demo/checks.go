package demo

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/resource"
	"sequoiastall/internal/node"
	"sequoiastall/internal/port"
	"sequoiastall/internal/standin/worker"
)

// checkRuns checks the run log against the jobs: each task succeeded exactly once, and no worker or team ever exceeded
// its bound.
func (d *demo) checkRuns(runs []worker.Run, jobs []*plannedJob) {
	for _, v := range d.cell.Runs.Violations(d.cell.Capacity()) {
		d.addViolation(v)
	}
	succeeded := map[job.TaskID]int{}
	for _, r := range runs {
		if r.State == port.TaskSucceeded {
			succeeded[r.Task]++
		}
	}
	for _, j := range jobs {
		d.checkJob(j, succeeded)
	}
	teams := d.teamsOf(jobs)
	for _, r := range runs {
		if teams[r.Task.Job] == "" {
			d.addViolation(fmt.Sprintf("%s belongs to no job and no service of the run", r))
		}
	}
	limits := map[string]resource.Vector{}
	for _, t := range d.set.Teams {
		if quota, ok := d.index.Team(t.Name); ok && quota.Limited {
			limits[t.Name] = quota.Limit
		}
	}
	for _, text := range limitViolations(runs, teams, limits) {
		d.addViolation(text)
	}
}

// joinParts replaces the task IDs of divided jobs with the job ID and task index of the whole job.
func joinParts(runs []worker.Run, jobs []*plannedJob) []worker.Run {
	parts := map[job.ID][]job.Part{}
	for _, j := range jobs {
		parts[j.status.ID] = j.status.Parts
	}
	for i := range runs {
		t := &runs[i].Task
		if parent, k := t.Job.Parent(); k >= 0 && k < len(parts[parent]) {
			*t = job.TaskID{Job: parent, Index: parts[parent][k].First + t.Index}
		}
	}
	return runs
}

func (d *demo) checkJob(j *plannedJob, succeeded map[job.TaskID]int) {
	if j.err != nil {
		d.addViolation(fmt.Sprintf("%s job %s of %s was lost: %v", j.class, j.status.ID, j.team, j.err))
		return
	}
	if j.status.Phase != job.Done || j.status.Succeeded != j.spec.Tasks {
		d.addViolation(fmt.Sprintf("%s job %s of %s is %s with %d of %d tasks done, %d unknown: %s", j.class, j.status.ID, j.team,
			j.status.Phase, j.status.Succeeded, j.spec.Tasks, j.status.Unknown, j.status.Reason))
	}
	for i := range j.spec.Tasks {
		if n := succeeded[job.TaskID{Job: j.status.ID, Index: i}]; n != 1 {
			d.addViolation(fmt.Sprintf("task %s/%d of %s succeeded %d times", j.status.ID, i, j.team, n))
		}
	}
}

// teamsOf returns the team of each job of the run and of each service's instances.
func (d *demo) teamsOf(jobs []*plannedJob) map[job.ID]string {
	teams := map[job.ID]string{}
	for _, j := range jobs {
		teams[j.status.ID] = j.team
	}
	for _, z := range d.set.Zones {
		for k := range max(1, d.set.Cell.PartitionsPerZone) {
			for _, s := range d.set.Services {
				teams[node.ServiceID(d.index, fmt.Sprintf("%s/%d", z.Name, k), s)] = s.Team
			}
		}
	}
	return teams
}

// usageChange is a change of the resources in use, at the start or the end of a run.
type usageChange struct {
	at    time.Time
	delta resource.Vector
	start bool
	run   worker.Run
}

// changesOf returns the starts and ends of runs ordered by time. Ends come before starts at the same time.
func changesOf(runs []worker.Run) []usageChange {
	var changes []usageChange
	for _, r := range runs {
		changes = append(changes, usageChange{r.Start, r.Reserved, true, r})
		if !r.End.IsZero() {
			changes = append(changes, usageChange{r.End, r.Reserved.Scale(-1), false, r})
		}
	}
	slices.SortStableFunc(changes, func(a, b usageChange) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(changeOrder(a), changeOrder(b)))
	})
	return changes
}

func changeOrder(c usageChange) int {
	if c.start {
		return 1
	}
	return 0
}

// limitViolations describes every start that took a team beyond its limit across the cell.
func limitViolations(runs []worker.Run, teams map[job.ID]string, limits map[string]resource.Vector) []string {
	var out []string
	used := map[string]resource.Vector{}
	for _, c := range changesOf(runs) {
		team := teams[c.run.Task.Job]
		used[team] = used[team].Add(c.delta)
		if limit, limited := limits[team]; limited && c.start && !used[team].Fits(limit) {
			out = append(out, fmt.Sprintf("%s took team %s beyond its limit: %+v of %+v", c.run, team, used[team], limit))
		}
	}
	return out
}

// checkRequests checks the tries against the requests that the instances ran.
func (d *demo) checkRequests(tries []requestTry) {
	ran := d.cell.Runs.Requests()
	sent := map[string]bool{}
	for _, x := range tries {
		sent[x.id] = true
	}
	for id, n := range ran {
		if !sent[id] {
			d.addViolation(fmt.Sprintf("an instance ran request %q %d times, but it was never sent", id, n))
		}
	}
	for _, x := range tries {
		if text := requestViolation(x, ran[x.id]); text != "" {
			d.addViolation("request " + x.id + " to " + x.service + " " + text)
		}
	}
}

// requestViolation describes the guarantee that a try whose request ran n times violates. It returns "" if there is
// none.
func requestViolation(x requestTry, n int) string {
	switch {
	case x.mismatch != "":
		return "got an answer that isn't its own: " + x.mismatch
	case x.outcome == callerclient.NotRun && n > 0:
		return fmt.Sprintf("was refused as not run (%s) and ran %d times", x.code, n)
	case !x.idempotent && n > 1:
		return fmt.Sprintf("isn't idempotent and ran %d times", n)
	case x.outcome == outcomeOK && n == 0:
		return "was answered by " + x.responder + " and isn't in the run log"
	}
	return ""
}

// checkMetrics checks the nodes' metrics for counted invariant violations.
func (d *demo) checkMetrics(ctx context.Context) {
	for i, n := range d.cell.Nodes {
		data, err := d.clientFor(i, d.set.Teams[0].Name).Call(ctx, http.MethodGet, "/metrics", nil, nil)
		if err != nil {
			d.addViolation(fmt.Sprintf("the metrics of %s can't be read: %v", n.ID, err))
			continue
		}
		for _, line := range nonzeroViolations(string(data)) {
			d.addViolation(n.ID + " counted " + line)
		}
	}
}

// nonzeroViolations returns the violation counters in a metrics exposition that are above zero or can't be parsed.
func nonzeroViolations(text string) []string {
	var found []string
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || !strings.Contains(name, "violations") || strings.HasPrefix(name, "#") {
			continue
		}
		if n, err := strconv.ParseFloat(value, 64); err != nil || n > 0 {
			found = append(found, name+" "+value)
		}
	}
	return found
}
