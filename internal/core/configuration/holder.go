package configuration

import (
	"crypto/sha256"
	"time"

	"sequoiastall/internal/core/object"
)

// FreshFor is the default time for which a confirmation counts. With a poll every second, a revoked key stops working
// within 4 s.
const FreshFor = 3 * time.Second

// MaxHeartbeatAge is the maximum age of a heartbeat for its member to count in Reachability.
const MaxHeartbeatAge = 2 * time.Second

// Active is a node's active revision. It is immutable and safe for concurrent use.
type Active struct {
	Document Document
	Set      object.Set
	Index    *object.Index
	Since    time.Time // when it became active at this node
}

// Authenticate returns the key that a secret belongs to. Candidates are compared in constant time.
func (a *Active) Authenticate(secret string) (object.Key, bool) {
	if a == nil {
		return object.Key{}, false
	}
	return a.Index.Key(sha256.Sum256([]byte(secret)))
}

// Outcome is the result of an offer.
type Outcome int

// Outcomes of an offer.
const (
	Rejected  Outcome = iota // the error says why
	Adopted                  // the document is active now
	Unchanged                // the document has the active revision
	Older                    // a newer revision is active
)

// String returns the outcome's name.
func (o Outcome) String() string { return [...]string{"rejected", "adopted", "unchanged", "older"}[o] }

// Holder holds the active revision of a node and the last time at which it was known to be the newest. It isn't safe
// for concurrent use: its owner serialises the calls and may pass the result of Current to other goroutines.
type Holder struct {
	freshFor            time.Duration
	active              *Active
	confirmedAt         time.Time // zero if never; every revision published before this time is the active one or older
	latestKnown         int64     // highest revision known to exist
	pendingConfirmation confirmation
}

// confirmation records that the store had the given revision at a point in time.
type confirmation struct {
	revision int64
	at       time.Time
}

// NewHolder returns a holder without a revision. A confirmation counts for the duration freshFor.
func NewHolder(freshFor time.Duration) *Holder { return &Holder{freshFor: freshFor} }

// Current returns the active revision, nil if there is none.
func (h *Holder) Current() *Active { return h.active }

// Revision returns the number of the active revision, 0 if there is none.
func (h *Holder) Revision() int64 {
	if h.active == nil {
		return 0
	}
	return h.active.Document.Revision
}

// Missing returns the highest revision known to exist if it is newer than the active one, otherwise 0.
func (h *Holder) Missing() int64 {
	if h.latestKnown > h.Revision() {
		return h.latestKnown
	}
	return 0
}

// Offer makes a document the active revision if it is valid and newer than the active one. An offer doesn't confirm
// anything: the document may come from a peer or from a watch's buffer and can be of any age. It fails with
// *InvalidError or *DivergedError.
func (h *Holder) Offer(d Document, now time.Time) (Outcome, error) {
	revision := h.Revision()
	if h.active != nil && d.Revision < revision {
		return Older, nil
	}
	if h.active != nil && d.Revision == revision {
		if d.Digest != h.active.Document.Digest {
			return Rejected, &DivergedError{Revision: revision, Active: h.active.Document.Digest, Offered: d.Digest}
		}
		return Unchanged, nil
	}
	set, err := d.Decode()
	if err != nil {
		return Rejected, err
	}
	index, err := object.NewIndex(set)
	if err != nil {
		return Rejected, &InvalidError{Revision: d.Revision, Reason: err.Error()}
	}
	h.active = &Active{Document: d, Set: set, Index: index, Since: now}
	h.latestKnown = max(h.latestKnown, d.Revision)
	h.applyConfirmation(h.pendingConfirmation)
	return Adopted, nil
}

// Confirm records that a read of the store, sent at the time sent, returned the given revision. The time at which the
// response is handled doesn't count, because the process may have been paused before that. It reports whether the active
// revision was confirmed; if the read returned a newer one, the confirmation counts once that one is active.
func (h *Holder) Confirm(revision int64, sent time.Time) bool {
	return h.ConfirmRelayed(revision, 0, sent)
}

// ConfirmRelayed records a confirmation that a peer passed on in its reply to a call, which this node sent at the time
// sent: some node read the given revision from the store, and that was age before the peer replied. Only replies may be
// used: the transit time of a call that the peer itself makes is unknown.
func (h *Holder) ConfirmRelayed(revision int64, age time.Duration, sent time.Time) bool {
	if age < 0 {
		return false
	}
	h.ObserveRevision(revision)
	return h.applyConfirmation(confirmation{revision: revision, at: sent.Add(-age)})
}

// applyConfirmation applies a confirmation. One of an older revision than the active one counts too: everything that was
// published before it is already active here.
func (h *Holder) applyConfirmation(c confirmation) bool {
	if h.active == nil || c.revision > h.Revision() {
		if c.at.After(h.pendingConfirmation.at) {
			h.pendingConfirmation = c
		}
		return false
	}
	if c.at.After(h.confirmedAt) {
		h.confirmedAt = c.at
	}
	return true
}

// ObserveRevision records that a revision exists, without confirming anything.
func (h *Holder) ObserveRevision(revision int64) { h.latestKnown = max(h.latestKnown, revision) }

// Age returns the time since the last confirmation, during which a newer revision than the active one may have been
// published; false if there was no confirmation. Gossip relays this age, so each relay adds the time that the
// confirmation spent at it.
func (h *Holder) Age(now time.Time) (time.Duration, bool) {
	if h.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(h.confirmedAt)), true
}

// Authenticate returns the key that a secret belongs to in the active revision. Authority decides whether the node may
// accept work with it.
func (h *Holder) Authenticate(secret string) (object.Key, bool) { return h.active.Authenticate(secret) }

// Reachability is a node's view of the other members and the store. It is computed for the time of the call to
// Authority: only heartbeats and store states younger than MaxHeartbeatAge count.
type Reachability struct {
	Known          int  // other members, including those not heard from, without those that announced that they left
	Heard          int  // of these, members heard from
	StoreReachable int  // of the members heard from, those that reach the store
	Store          bool // this node reaches the store
}

// storeOutage reports whether the store is considered down for all nodes, so that no revision can be published: neither
// this node nor any member heard from reaches it, and at least half of the other members are heard from. Without hearing
// from others, a node can't distinguish an outage from its own isolation.
func (r Reachability) storeOutage() bool {
	return !r.Store && r.StoreReachable == 0 && r.Heard > 0 && 2*r.Heard >= r.Known
}

// Reason says why a node may or may not accept work authenticated by key.
type Reason string

// Reasons of an authority.
const (
	Fresh           Reason = "fresh"            // confirmed recently
	Outage          Reason = "store_outage"     // not confirmed, but no revision can be published
	NoConfiguration Reason = "no_configuration" // rejected: no revision is active
	Unconfirmed     Reason = "unconfirmed"      // rejected: the node may be cut off from publications
)

// Authority is the decision whether a node may accept work authenticated by key now. If not, the work is rejected as not
// run and the node is taken out of the load balancer.
type Authority struct {
	Serve    bool
	Reason   Reason
	Revision int64
	Age      time.Duration // of the confirmation; 0 if there was none
}

// Authority decides by the freshness rule whether the node may accept work authenticated by key.
func (h *Holder) Authority(now time.Time, r Reachability) Authority {
	age, confirmed := h.Age(now)
	a := Authority{Revision: h.Revision(), Age: age}
	switch {
	case h.active == nil:
		a.Reason = NoConfiguration
	case confirmed && age <= h.freshFor:
		a.Serve, a.Reason = true, Fresh
	case r.storeOutage():
		a.Serve, a.Reason = true, Outage
	default:
		a.Reason = Unconfirmed
	}
	return a
}
