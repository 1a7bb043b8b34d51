package quota

import (
	"fmt"

	"sequoiastall/internal/core/resource"
)

// LimitError tells that a reservation would have taken a team above its allowance; nothing was reserved.
type LimitError struct {
	Team                    string
	Wanted, Allowance, Used resource.Vector
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("team %s can't use %+v more: %+v of its allowance of %+v in this partition is used",
		e.Team, e.Wanted, e.Used, e.Allowance)
}

// Ledger keeps what each team may use and uses in one partition. Teams without an allowance may use nothing. It belongs
// to one goroutine.
type Ledger struct {
	teams        map[string]account
	overReleased int
}

type account struct{ allowance, used resource.Vector }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{teams: map[string]account{}} }

// SetAllowance sets what a team may use in the partition; Unlimited for a team without a limit.
func (l *Ledger) SetAllowance(team string, v resource.Vector) {
	a := l.teams[team]
	a.allowance = v.Max(resource.Vector{})
	l.set(team, a)
}

// Allowance returns what a team may use.
func (l *Ledger) Allowance(team string) resource.Vector { return l.teams[team].allowance }

// Used returns what a team uses.
func (l *Ledger) Used(team string) resource.Vector { return l.teams[team].used }

// Reserve takes v for a team. It fails with *LimitError, also for a negative v, and then changes nothing. It asserts the
// invariant that a reservation never takes a team above its allowance.
func (l *Ledger) Reserve(team string, v resource.Vector) error {
	a := l.teams[team]
	if v.HasNegative() || !withinAllowance(v, a) {
		return &LimitError{Team: team, Wanted: v, Allowance: a.allowance, Used: a.used}
	}
	a.used = a.used.Add(v)
	l.set(team, a)
	return nil
}

// withinAllowance passes over the components that v doesn't ask for, so that a team that is above a lowered allowance in
// one component can still use others.
func withinAllowance(v resource.Vector, a account) bool {
	slack := a.allowance.Sub(a.used)
	return v.Fits(slack.Max(resource.Vector{}))
}

// Restore takes over work that already runs; it may exceed the allowance. Negative amounts are ignored.
func (l *Ledger) Restore(team string, v resource.Vector) {
	if v.HasNegative() {
		return
	}
	a := l.teams[team]
	a.used = a.used.Add(v)
	l.set(team, a)
}

// Release returns what Reserve or Restore took. Negative amounts are ignored. An amount above what is used is cut to it
// and counted in OverReleased.
func (l *Ledger) Release(team string, v resource.Vector) {
	if v.HasNegative() {
		return
	}
	a := l.teams[team]
	amount := v.Min(a.used)
	if amount != v {
		l.overReleased++
	}
	a.used = a.used.Sub(amount)
	l.set(team, a)
}

// OverReleased returns how often more was released than was used, which is a fault of the caller.
func (l *Ledger) OverReleased() int { return l.overReleased }

// Excess returns by how much teams are above a lowered allowance.
func (l *Ledger) Excess() map[string]resource.Vector {
	excess := map[string]resource.Vector{}
	for team, a := range l.teams {
		if over := a.used.Sub(a.allowance).Max(resource.Vector{}); !over.IsZero() {
			excess[team] = over
		}
	}
	return excess
}

// Slack returns what a team may still use; components are 0 where it is above its allowance.
func (l *Ledger) Slack(team string) resource.Vector {
	a := l.teams[team]
	return a.allowance.Sub(a.used).Max(resource.Vector{})
}

// set stores an account, or drops an empty one.
func (l *Ledger) set(team string, a account) {
	if a == (account{}) {
		delete(l.teams, team)
		return
	}
	l.teams[team] = a
}
