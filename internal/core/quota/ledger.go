package quota

import (
	"fmt"

	"sequoiastall/internal/core/resource"
)

// LimitError reports that a reservation would have taken a team above its allowance; nothing was reserved.
type LimitError struct {
	Team                    string
	Wanted, Allowance, Used resource.Vector
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("team %s can't use %+v more: %+v of its allowance of %+v in this partition is used",
		e.Team, e.Wanted, e.Used, e.Allowance)
}

// Ledger tracks each team's allowance and usage in one partition. Teams without an allowance may use nothing. It isn't
// safe for concurrent use.
type Ledger struct {
	teams        map[string]account
	overReleased int
}

type account struct{ allowance, used resource.Vector }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{teams: map[string]account{}} }

// SetAllowance sets what a team may use in the partition. It is Unlimited for a team without a limit.
func (l *Ledger) SetAllowance(team string, v resource.Vector) {
	a := l.teams[team]
	a.allowance = v.Max(resource.Vector{})
	l.setAccount(team, a)
}

// Allowance returns what a team may use.
func (l *Ledger) Allowance(team string) resource.Vector { return l.teams[team].allowance }

// Used returns what a team uses.
func (l *Ledger) Used(team string) resource.Vector { return l.teams[team].used }

// Reserve adds v to a team's usage. It changes nothing if it fails, which it does with *LimitError, also for a negative
// v. It enforces the invariant that a reservation never takes a team above its allowance.
func (l *Ledger) Reserve(team string, v resource.Vector) error {
	a := l.teams[team]
	if v.HasNegative() || !withinAllowance(v, a) {
		return &LimitError{Team: team, Wanted: v, Allowance: a.allowance, Used: a.used}
	}
	a.used = a.used.Add(v)
	l.setAccount(team, a)
	return nil
}

// withinAllowance reports whether a team may use v in addition. It ignores the components that are 0 in v, so that a team
// that is above a lowered allowance in one component can still use others.
func withinAllowance(v resource.Vector, a account) bool {
	slack := a.allowance.Sub(a.used)
	return v.Fits(slack.Max(resource.Vector{}))
}

// Restore adds tasks that already run to a team's usage, which may then exceed the allowance. Negative amounts are
// ignored.
func (l *Ledger) Restore(team string, v resource.Vector) {
	if v.HasNegative() {
		return
	}
	a := l.teams[team]
	a.used = a.used.Add(v)
	l.setAccount(team, a)
}

// Release subtracts what Reserve or Restore added. Negative amounts are ignored. An amount above what is used is reduced
// to it and counted in OverReleased.
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
	l.setAccount(team, a)
}

// OverReleased returns how often more was released than was used, which indicates a bug in the caller.
func (l *Ledger) OverReleased() int { return l.overReleased }

// Excess returns by how much each team is above its allowance, for example after the allowance was lowered. Teams within
// their allowance are left out.
func (l *Ledger) Excess() map[string]resource.Vector {
	excess := map[string]resource.Vector{}
	for team, a := range l.teams {
		if over := a.used.Sub(a.allowance).Max(resource.Vector{}); !over.IsZero() {
			excess[team] = over
		}
	}
	return excess
}

// Slack returns what a team may still use. Components in which it is above its allowance are 0.
func (l *Ledger) Slack(team string) resource.Vector {
	a := l.teams[team]
	return a.allowance.Sub(a.used).Max(resource.Vector{})
}

// setAccount stores an account, or deletes it if it is empty.
func (l *Ledger) setAccount(team string, a account) {
	if a == (account{}) {
		delete(l.teams, team)
		return
	}
	l.teams[team] = a
}
