package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiastall/internal/core/object"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// document returns a revision in which the secrets with the given numbers are keys.
func document(t assert.TestingT, revision int64, secrets ...int) Document {
	set := object.Set{Cell: object.Cell{Meta: object.Meta{Kind: object.KindCell, Name: "main"}}}
	for _, n := range secrets {
		sum := sha256.Sum256([]byte(fmt.Sprint("secret-", n)))
		set.Keys = append(set.Keys, object.Key{Meta: object.Meta{Kind: object.KindKey, Name: fmt.Sprint("k", n)},
			Team: "a", SHA256: hex.EncodeToString(sum[:])})
	}
	d, err := NewDocument(set, revision, "test")
	assert.NilError(t, err)
	return d
}

// Guards against a node that goes back to an older revision, or that adopts a damaged or divergent document.
func TestOffer(t *testing.T) {
	h := NewHolder(FreshFor)
	damaged := document(t, 9, 1)
	damaged.Data = append([]byte{' '}, damaged.Data...)
	for _, step := range []struct {
		offer   Document
		outcome Outcome
		active  int64
	}{
		{document(t, 0), Rejected, 0},
		{document(t, 2, 1), Adopted, 2},
		{document(t, 2, 1), Unchanged, 2},
		{document(t, 2, 1, 2), Rejected, 2},
		{document(t, 1), Older, 2},
		{damaged, Rejected, 2},
		{Document{Revision: 9, Data: []byte("[]"), Digest: object.Digest([]byte("[]"))}, Rejected, 2},
		{document(t, 5, 2), Adopted, 5},
	} {
		outcome, err := h.Offer(step.offer, start)
		assert.Equal(t, outcome, step.outcome)
		assert.Equal(t, err != nil, step.outcome == Rejected)
		assert.Equal(t, h.Revision(), step.active)
	}
	_, err := h.Offer(document(t, 5, 3), start)
	var diverged *DivergedError
	assert.Assert(t, errors.As(err, &diverged))
}

// Guards against a set that passes the check but whose record exceeds the store's limit of 1 MB per value.
func TestLargestRecordFitsTheStore(t *testing.T) {
	data := make([]byte, object.MaxEncodedBytes)
	value, err := Document{Revision: math.MaxInt64, Digest: object.Digest(data), Data: data, Writer: strings.Repeat("w", 64)}.Marshal()
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= 1_000_000, "%d bytes", len(value))
}

// Guards against a set that can't be indexed but replaces the active one.
func TestOfferWithBadHash(t *testing.T) {
	h := NewHolder(FreshFor)
	offer(h, document(t, 1, 1))
	set := h.Current().Set
	set.Keys = []object.Key{{Meta: object.Meta{Kind: object.KindKey, Name: "k"}, SHA256: strings.Repeat("0", 66)}}
	d, err := NewDocument(set, 2, "test")
	assert.NilError(t, err)
	outcome, err := h.Offer(d, start)
	assert.Equal(t, outcome, Rejected)
	assert.ErrorContains(t, err, "bad hash")
	assert.Equal(t, h.Revision(), int64(1))
}

// Guards against accepting a secret that isn't the secret of a key in the active revision.
func TestAuthenticate(t *testing.T) {
	h := NewHolder(FreshFor)
	_, ok := h.Authenticate("secret-1")
	assert.Assert(t, !ok, "a node without a configuration knows no key")
	_, err := h.Offer(document(t, 1, 1), start)
	assert.NilError(t, err)
	key, ok := h.Authenticate("secret-1")
	assert.Assert(t, ok && key.Name == "k1")
	for _, secret := range []string{"", "secret-2", "secret-1 "} {
		_, ok = h.Authenticate(secret)
		assert.Assert(t, !ok)
	}
}

// Guards against a confirmation that counts for too long, in particular one that was delayed at a relay or in a paused
// process.
func TestAuthority(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	peersReach := Reachability{Known: 4, Heard: 4, StoreReachable: 4}
	noneReach := Reachability{Known: 4, Heard: 2}
	for name, tc := range map[string]struct {
		confirm func(h *Holder)
		at      int
		reach   Reachability
		want    Reason
	}{
		"never confirmed":             {func(*Holder) {}, 0, peersReach, Unconfirmed},
		"own read":                    {func(h *Holder) { h.Confirm(2, at(0)) }, 3000, peersReach, Fresh},
		"own read, too old":           {func(h *Holder) { h.Confirm(2, at(0)) }, 3001, peersReach, Unconfirmed},
		"relayed":                     {func(h *Holder) { h.ConfirmRelayed(2, time.Second, at(1000)) }, 3000, peersReach, Fresh},
		"relayed, too old":            {func(h *Holder) { h.ConfirmRelayed(2, time.Second, at(1000)) }, 3001, peersReach, Unconfirmed},
		"negative age":                {func(h *Holder) { h.ConfirmRelayed(2, -time.Hour, at(0)) }, 1, peersReach, Unconfirmed},
		"an older answer comes late":  {func(h *Holder) { h.Confirm(2, at(1000)); h.ConfirmRelayed(2, 0, at(0)) }, 4000, peersReach, Fresh},
		"newer revision known":        {func(h *Holder) { h.Confirm(3, at(0)) }, 1, peersReach, Unconfirmed},
		"newer revision adopted":      {func(h *Holder) { h.Confirm(3, at(0)); offer(h, document(t, 3)) }, 3000, peersReach, Fresh},
		"newest still missing":        {func(h *Holder) { h.Confirm(4, at(0)); offer(h, document(t, 3)) }, 1, peersReach, Unconfirmed},
		"store behind":                {func(h *Holder) { h.Confirm(1, at(0)) }, 1, peersReach, Fresh},
		"outage":                      {func(h *Holder) { h.Confirm(2, at(0)) }, 9000, noneReach, Outage},
		"outage since the start":      {func(*Holder) {}, 0, noneReach, Outage},
		"fewer than half heard":       {func(*Holder) {}, 0, Reachability{Known: 5, Heard: 2}, Unconfirmed},
		"one member reaches":          {func(*Holder) {}, 0, Reachability{Known: 4, Heard: 4, StoreReachable: 1}, Unconfirmed},
		"alone":                       {func(*Holder) {}, 0, Reachability{}, Unconfirmed},
		"reaches, but not yet polled": {func(*Holder) {}, 0, Reachability{Known: 4, Heard: 4, Store: true}, Unconfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHolder(FreshFor)
			assert.Equal(t, h.Authority(start, noneReach).Reason, NoConfiguration)
			offer(h, document(t, 2))
			tc.confirm(h)
			got := h.Authority(at(tc.at), tc.reach)
			assert.Equal(t, got.Reason, tc.want)
			assert.Equal(t, got.Serve, tc.want == Fresh || tc.want == Outage)
		})
	}
}

func offer(h *Holder, d Document) {
	if outcome, err := h.Offer(d, start); outcome != Adopted || err != nil {
		panic(fmt.Sprint(outcome, err))
	}
}
