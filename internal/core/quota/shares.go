package quota

import (
	"cmp"
	"math"
	"slices"

	"sequoiastall/internal/core/resource"
)

// defaultWeight applies to teams for which no weight was set.
const defaultWeight = 1.0

// Shares orders teams by weighted dominant-resource fairness over the whole cell. It belongs to one goroutine.
type Shares struct {
	teams    map[string]*teamShare
	weights  float64 // sum
	capacity resource.Vector
	keys     []orderKey // scratch of Order
}

type teamShare struct {
	weight        float64
	local, remote resource.Vector
}

type orderKey struct {
	team  string
	ratio float64
}

// NewShares returns Shares without teams.
func NewShares() *Shares { return &Shares{teams: map[string]*teamShare{}} }

// SetWeight sets a team's weight. A weight of 0 or less, or one that isn't a number, puts the team behind all others.
func (s *Shares) SetWeight(team string, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 0
	}
	s.team(team).weight = weight
	s.sum()
}

// SetCapacity sets the capacity of the cell.
func (s *Shares) SetCapacity(total resource.Vector) { s.capacity = total }

// SetRemote sets what a team uses in other partitions, as gossip tells.
func (s *Shares) SetRemote(team string, usage resource.Vector) { s.team(team).remote = usage }

// AddLocal changes what a team uses in this partition.
func (s *Shares) AddLocal(team string, delta resource.Vector) {
	t := s.team(team)
	t.local = t.local.Add(delta)
}

// Forget removes a team that is no longer configured.
func (s *Shares) Forget(team string) {
	delete(s.teams, team)
	s.sum()
}

// Usage returns what a team uses in the whole cell.
func (s *Shares) Usage(team string) resource.Vector {
	t := s.teams[team]
	if t == nil {
		return resource.Vector{}
	}
	return t.local.Add(t.remote)
}

// Ratio returns a team's dominant share of the cell divided by its fraction of the weights: 1 is exactly its share. It is
// infinite for a team of weight 0, and 0 for an unknown team or an unknown capacity.
func (s *Shares) Ratio(team string) float64 {
	t := s.teams[team]
	if t == nil {
		return 0
	}
	if t.weight == 0 {
		return math.Inf(1)
	}
	return t.local.Add(t.remote).DominantShare(s.capacity) * s.weights / t.weight
}

// Capacity returns the capacity of the cell.
func (s *Shares) Capacity() resource.Vector { return s.capacity }

// Weight returns a team's part of all weights, 0 for an unknown team.
func (s *Shares) Weight(team string) float64 {
	if t := s.teams[team]; t != nil && s.weights > 0 {
		return t.weight / s.weights
	}
	return 0
}

// Order returns the teams with the lowest ratio first and ties by name, in a slice of its own.
func (s *Shares) Order(teams []string) []string {
	s.keys = s.keys[:0]
	for _, team := range teams {
		s.keys = append(s.keys, orderKey{team, s.Ratio(team)})
	}
	slices.SortFunc(s.keys, func(a, b orderKey) int {
		if c := cmp.Compare(a.ratio, b.ratio); c != 0 {
			return c
		}
		return cmp.Compare(a.team, b.team)
	})
	ordered := make([]string, len(teams))
	for i := range s.keys {
		ordered[i] = s.keys[i].team
	}
	return ordered
}

// OverShare reports whether a team uses more than its share.
func (s *Shares) OverShare(team string) bool {
	return s.Ratio(team) > 1 && !s.Usage(team).IsZero()
}

func (s *Shares) team(name string) *teamShare {
	t := s.teams[name]
	if t == nil {
		t = &teamShare{weight: defaultWeight}
		s.teams[name] = t
		s.sum()
	}
	return t
}

// sum adds the weights in ascending order, so that the result doesn't depend on the order of a map.
func (s *Shares) sum() {
	weights := make([]float64, 0, len(s.teams))
	for _, t := range s.teams {
		weights = append(weights, t.weight)
	}
	slices.Sort(weights)
	s.weights = 0
	for _, w := range weights {
		s.weights += w
	}
}
