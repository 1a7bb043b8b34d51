package quota

import (
	"cmp"
	"math"
	"slices"

	"sequoiastall/internal/core/resource"
)

// defaultWeight applies to teams for which no weight was set.
const defaultWeight = 1.0

// Shares orders teams by weighted dominant-resource fairness over the whole cell. It isn't safe for concurrent
// use.
type Shares struct {
	teams       map[string]*teamState
	totalWeight float64 // of all teams
	capacity    resource.Vector
	orderBuf    []orderKey // reused by Order
}

type teamState struct {
	weight        float64
	local, remote resource.Vector
}

type orderKey struct {
	team  string
	ratio float64
}

// NewShares returns Shares without teams.
func NewShares() *Shares { return &Shares{teams: map[string]*teamState{}} }

// SetWeight sets a team's weight. A weight that isn't positive and finite counts as 0, which orders the team after all
// others.
func (s *Shares) SetWeight(team string, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 0
	}
	s.getOrCreateTeam(team).weight = weight
	s.updateTotalWeight()
}

// SetCapacity sets the capacity of the cell.
func (s *Shares) SetCapacity(total resource.Vector) { s.capacity = total }

// SetRemote sets what a team uses in other partitions, as reported by gossip.
func (s *Shares) SetRemote(team string, usage resource.Vector) {
	s.getOrCreateTeam(team).remote = usage
}

// AddLocal adds delta to what a team uses in this partition.
func (s *Shares) AddLocal(team string, delta resource.Vector) {
	t := s.getOrCreateTeam(team)
	t.local = t.local.Add(delta)
}

// RemoveTeam removes a team that is no longer configured.
func (s *Shares) RemoveTeam(team string) {
	delete(s.teams, team)
	s.updateTotalWeight()
}

// Usage returns what a team uses in the whole cell.
func (s *Shares) Usage(team string) resource.Vector {
	t := s.teams[team]
	if t == nil {
		return resource.Vector{}
	}
	return t.local.Add(t.remote)
}

// Ratio returns a team's dominant share of the cell divided by its fraction of the total weight. It is 1 if the team uses
// exactly its share, infinite for a team of weight 0, and 0 for an unknown team or an unknown capacity.
func (s *Shares) Ratio(team string) float64 {
	t := s.teams[team]
	if t == nil {
		return 0
	}
	if t.weight == 0 {
		return math.Inf(1)
	}
	return t.local.Add(t.remote).DominantShare(s.capacity) * s.totalWeight / t.weight
}

// Capacity returns the capacity of the cell.
func (s *Shares) Capacity() resource.Vector { return s.capacity }

// Weight returns a team's fraction of the total weight, or 0 for an unknown team.
func (s *Shares) Weight(team string) float64 {
	if t := s.teams[team]; t != nil && s.totalWeight > 0 {
		return t.weight / s.totalWeight
	}
	return 0
}

// Order returns the teams in ascending order of their ratios, and by name for equal ratios, in a new slice.
func (s *Shares) Order(teams []string) []string {
	s.orderBuf = s.orderBuf[:0]
	for _, team := range teams {
		s.orderBuf = append(s.orderBuf, orderKey{team, s.Ratio(team)})
	}
	slices.SortFunc(s.orderBuf, func(a, b orderKey) int {
		if c := cmp.Compare(a.ratio, b.ratio); c != 0 {
			return c
		}
		return cmp.Compare(a.team, b.team)
	})
	ordered := make([]string, len(teams))
	for i := range s.orderBuf {
		ordered[i] = s.orderBuf[i].team
	}
	return ordered
}

// OverShare reports whether a team uses more than its share.
func (s *Shares) OverShare(team string) bool {
	return s.Ratio(team) > 1 && !s.Usage(team).IsZero()
}

func (s *Shares) getOrCreateTeam(name string) *teamState {
	t := s.teams[name]
	if t == nil {
		t = &teamState{weight: defaultWeight}
		s.teams[name] = t
		s.updateTotalWeight()
	}
	return t
}

// updateTotalWeight adds the weights in ascending order, so that the sum doesn't depend on the order of a map.
func (s *Shares) updateTotalWeight() {
	weights := make([]float64, 0, len(s.teams))
	for _, t := range s.teams {
		weights = append(weights, t.weight)
	}
	slices.Sort(weights)
	s.totalWeight = 0
	for _, w := range weights {
		s.totalWeight += w
	}
}
