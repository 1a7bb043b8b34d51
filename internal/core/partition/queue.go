package partition

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/core/resource"
)

// queue holds the known jobs by team, in scheduling order.
type queue struct {
	teams        map[string][]*job.State
	unsorted     map[string]bool
	teamOf       map[job.ID]string
	minResources resource.Vector // lower bound of what a task of any queued job needs
}

// recomputeMinResources recomputes minResources, which add can only lower.
func (q *queue) recomputeMinResources() {
	first := true
	for _, jobs := range q.teams {
		for _, s := range jobs {
			if first {
				q.minResources, first = s.Record.Spec.Resources, false
			}
			q.minResources = q.minResources.Min(s.Record.Spec.Resources)
		}
	}
}

// add adds a job unless it is already queued.
func (q *queue) add(s *job.State) {
	if q.teams == nil {
		q.teams, q.unsorted, q.teamOf = map[string][]*job.State{}, map[string]bool{}, map[job.ID]string{}
	}
	team := s.Record.Spec.Team
	if _, known := q.teamOf[s.Record.ID]; known {
		return
	}
	q.teamOf[s.Record.ID] = team
	q.minResources = q.minResources.Min(s.Record.Spec.Resources)
	q.teams[team] = append(q.teams[team], s)
	q.unsorted[team] = true
}

func (q *queue) remove(id job.ID) {
	team, known := q.teamOf[id]
	if !known {
		return
	}
	delete(q.teamOf, id)
	q.teams[team] = slices.DeleteFunc(q.teams[team], func(s *job.State) bool { return s.Record.ID == id })
	if len(q.teams[team]) == 0 {
		delete(q.teams, team)
		delete(q.unsorted, team)
	}
}

// jobs returns a team's jobs in scheduling order: urgent jobs, then services, then by deadline, then by submission
// time.
func (q *queue) jobs(team string) []*job.State {
	if q.unsorted[team] {
		slices.SortFunc(q.teams[team], compareJobs)
		delete(q.unsorted, team)
	}
	return q.teams[team]
}

func sortJobs(jobs []*job.State) { slices.SortFunc(jobs, compareJobs) }

func compareJobs(a, b *job.State) int {
	return cmp.Or(
		compareBool(a.Record.Spec.Urgent, b.Record.Spec.Urgent),
		compareBool(a.Record.Spec.Class == job.Service, b.Record.Spec.Class == job.Service),
		cmp.Compare(deadlineKey(a), deadlineKey(b)),
		cmp.Compare(a.Record.SubmittedMS, b.Record.SubmittedMS),
		cmp.Compare(a.Record.ID, b.Record.ID),
	)
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// deadlineKey sorts jobs without a deadline last.
func deadlineKey(s *job.State) int64 {
	if s.Record.Spec.DeadlineMS == 0 {
		return 1 << 62
	}
	return s.Record.Spec.DeadlineMS
}

// teamHeap is a min-heap of teams by their ratio of usage to share.
type teamHeap struct {
	names  []string
	ratios []float64
}

func newTeamHeap(q *queue, shares *quota.Shares) *teamHeap {
	h := &teamHeap{}
	for team := range q.teams {
		h.names = append(h.names, team)
	}
	sort.Strings(h.names)
	for _, team := range h.names {
		h.ratios = append(h.ratios, shares.Ratio(team))
	}
	heap.Init(h)
	return h
}

// Len implements heap.Interface.
func (h *teamHeap) Len() int { return len(h.names) }

// Less implements heap.Interface. Ties are broken by name, so that a cycle is deterministic.
func (h *teamHeap) Less(i, j int) bool {
	if h.ratios[i] != h.ratios[j] {
		return h.ratios[i] < h.ratios[j]
	}
	return h.names[i] < h.names[j]
}

// Swap implements heap.Interface.
func (h *teamHeap) Swap(i, j int) {
	h.names[i], h.names[j] = h.names[j], h.names[i]
	h.ratios[i], h.ratios[j] = h.ratios[j], h.ratios[i]
}

// Push implements heap.Interface; it isn't used.
func (h *teamHeap) Push(any) {}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(h.names) - 1
	name := h.names[last]
	h.names, h.ratios = h.names[:last], h.ratios[:last]
	return name
}
