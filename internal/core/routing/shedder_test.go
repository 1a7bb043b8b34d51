package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func enter(t *testing.T, q *WaitQueue, id uint64, team string, class int, l Limits) (*Waiter, error) {
	t.Helper()
	return q.Enter(Waiter{ID: id, Team: team, Class: class, Deadline: epoch.Add(time.Minute)}, l, epoch)
}

// Guards against an unbounded queue, and against a team or class that fills all of it.
func TestWaitQueueLimits(t *testing.T) {
	var q WaitQueue
	l := Limits{Total: 4, Team: 2, Class: 3}
	for i, team := range []string{"a", "a", "b"} {
		_, err := enter(t, &q, uint64(i), team, 0, l)
		assert.NilError(t, err)
	}
	_, err := enter(t, &q, 9, "a", 1, l)
	assert.ErrorIs(t, err, ErrTeamFull)
	_, err = enter(t, &q, 9, "c", 0, l)
	assert.ErrorIs(t, err, ErrClassFull)
	assert.Equal(t, q.Len(), 3)
}

// Guards against shedding a higher class while a lower one waits, and against shedding the wrong waiter within a class.
func TestWaitQueueShedsLowestClassOfLargestTeam(t *testing.T) {
	var q WaitQueue
	l := Limits{Total: 4, Team: 4}
	for i, w := range []Waiter{{Team: "a", Class: 1}, {Team: "a"}, {Team: "a"}, {Team: "b"}} {
		_, err := enter(t, &q, uint64(i), w.Team, w.Class, l)
		assert.NilError(t, err)
	}
	shed, err := enter(t, &q, 10, "c", 1, l)
	assert.NilError(t, err)
	assert.Equal(t, shed.ID, uint64(2))
	shed, err = enter(t, &q, 11, "c", 1, l)
	assert.NilError(t, err)
	assert.Equal(t, shed.ID, uint64(3))
	shed, err = enter(t, &q, 12, "d", 1, l)
	assert.NilError(t, err)
	assert.Equal(t, shed.ID, uint64(1))
	_, err = enter(t, &q, 13, "e", 0, l)
	assert.ErrorIs(t, err, ErrQueueFull)
	shed, err = enter(t, &q, 14, "e", 1, l)
	assert.NilError(t, err)
	assert.Equal(t, shed.ID, uint64(11))
}

// Guards against one team's many requests delaying another team's few, and against ignoring classes.
func TestWaitQueueServesTeamsInTurn(t *testing.T) {
	var q WaitQueue
	l := Limits{Total: 100, Team: 100}
	for i := range uint64(6) {
		_, err := enter(t, &q, i, "flood", 0, l)
		assert.NilError(t, err)
	}
	for i := range uint64(2) {
		_, err := enter(t, &q, 10+i, "few", 0, l)
		assert.NilError(t, err)
	}
	_, err := enter(t, &q, 20, "flood", 1, l)
	assert.NilError(t, err)
	var order []uint64
	for {
		w, ok := q.Next(epoch)
		if !ok {
			break
		}
		order = append(order, w.ID)
	}
	assert.DeepEqual(t, order, []uint64{20, 10, 0, 11, 1, 2, 3, 4, 5})
}

// Guards against queueing a request that can't be served before its deadline, and against serving a caller that has
// given up.
func TestWaitQueueRefusesLateWork(t *testing.T) {
	var q WaitQueue
	now := epoch
	for range 50 {
		q.RecordFreedPermit(now)
		now = now.Add(100 * time.Millisecond)
	}
	now = now.Add(-100 * time.Millisecond)
	l := Limits{Total: 100, Team: 100}
	for i := range uint64(5) {
		_, err := q.Enter(Waiter{ID: i, Team: "a", Deadline: now.Add(time.Second)}, l, now)
		assert.NilError(t, err)
	}
	_, err := q.Enter(Waiter{ID: 6, Team: "a", Deadline: now.Add(400 * time.Millisecond)}, l, now)
	assert.ErrorIs(t, err, ErrTooLate)
	_, err = q.Enter(Waiter{ID: 7, Team: "b", Deadline: now.Add(400 * time.Millisecond)}, l, now)
	assert.NilError(t, err)
	_, ok := q.Next(now.Add(time.Second))
	assert.Assert(t, !ok)
	assert.Assert(t, q.Leave(7))
	assert.Assert(t, !q.Leave(7))
}
