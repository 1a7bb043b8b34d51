package node

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/quota"
	"sequoiastall/internal/port"
	"sequoiastall/internal/telemetry"
)

// scriptedStore executes each write and answers it with the next scripted error, nil for the true answer.
type scriptedStore struct {
	*countingStore
	answers []error
}

func (s *scriptedStore) Put(ctx context.Context, w port.Write) (int64, error) {
	var scripted error
	if len(s.answers) > 0 {
		scripted, s.answers = s.answers[0], s.answers[1:]
	}
	if scripted == port.ErrUnavailable { // the write isn't executed
		return 0, scripted
	}
	s.mu.Lock()
	current, exists := s.entries[w.Key]
	s.mu.Unlock()
	if w.Condition == port.IfRevision && (!exists || current.Revision != w.Revision) {
		return 0, &port.ConflictError{Current: &current}
	}
	revision, err := s.countingStore.Put(ctx, w)
	if scripted != nil {
		return 0, scripted
	}
	return revision, err
}

// Guards against taking a write for not executed because a repetition of it wasn't sent: the allowance that it moves would
// be in use by two partitions.
func TestUnsentRepetitionDoesNotDecideAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{countingStore: newCountingStore(), answers: []error{nil, port.ErrUnknownOutcome, port.ErrUnavailable, port.ErrUnavailable}}
		log := slog.New(slog.NewJSONHandler(io.Discard, nil))
		n := New(Options{ID: "n1", Timing: DefaultTiming()}, Ports{Store: store, Clock: port.SystemClock{}}, noRoutes{}, log, telemetry.NewRegistry(log))
		record := quota.Record{Team: "red", Writer: "other"}
		value, err := json.Marshal(record)
		assert.NilError(t, err)
		revision, err := store.Put(t.Context(), port.Write{Key: port.AllowancePrefix + "red", Value: value})
		assert.NilError(t, err)
		n.state.putAllowance(record, revision)
		written, err := n.updateAllowance(t.Context(), "red", func(r quota.Record) (quota.Record, error) { return r, nil })
		assert.NilError(t, err)
		assert.Equal(t, written, revision+1, "the first attempt was executed")
	})
}

// Guards against reporting a write as not executed when the store stays away after an attempt with an unknown outcome.
func TestWriteStaysUndecidedWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{countingStore: newCountingStore(), answers: []error{port.ErrUnknownOutcome}}
		for range 1000 {
			store.answers = append(store.answers, port.ErrUnavailable)
		}
		log := slog.New(slog.NewJSONHandler(io.Discard, nil))
		n := New(Options{ID: "n1", Timing: DefaultTiming()}, Ports{Store: store, Clock: port.SystemClock{}}, noRoutes{}, log, telemetry.NewRegistry(log))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := n.updateAllowance(ctx, "red", func(r quota.Record) (quota.Record, error) { return r, nil })
		assert.ErrorIs(t, err, port.ErrUnknownOutcome)
	})
}
