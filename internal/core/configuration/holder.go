package configuration

import (
	"crypto/sha256"
	"time"

	"sequoiastall/internal/core/object"
)

// FreshFor is how long a confirmation lets a node accept keyed work. Together with polling every second it keeps a
// revoked key from working for more than 4 s.
const FreshFor = 3 * time.Second

// HeardWithin is the greatest age of a heartbeat for its member to count in Reachability.
const HeardWithin = 2 * time.Second

// Held is a revision in force. It doesn't change and may be read from any goroutine.
type Held struct {
	Document Document
	Set      object.Set
	Index    *object.Index
	Since    time.Time // when it came into force at this node
}

// Authenticate finds the key of a secret. Candidates are compared in constant time.
func (h *Held) Authenticate(secret string) (object.Key, bool) {
	if h == nil {
		return object.Key{}, false
	}
	return h.Index.Key(sha256.Sum256([]byte(secret)))
}

// Outcome says what an offer did.
type Outcome int

// Outcomes of an offer.
const (
	Rejected  Outcome = iota // the error says why
	Adopted                  // in force from now on
	Unchanged                // the held revision was offered
	Older                    // a newer revision is held
)

// String returns the outcome's name.
func (o Outcome) String() string { return [...]string{"rejected", "adopted", "unchanged", "older"}[o] }

// Holder holds the revision in force at a node and when it was last known that there is no newer one. It isn't safe for
// concurrent use: its owner serialises the calls and may hand out Current to other goroutines.
type Holder struct {
	fresh     time.Duration
	held      *Held
	confirmed time.Time // zero if never; every revision published before this moment is the held one or older
	newest    int64     // highest revision heard of
	pending   confirmation
}

// confirmation tells that at a moment the store's revision was the given one.
type confirmation struct {
	revision int64
	at       time.Time
}

// NewHolder returns a holder that holds nothing. A confirmation counts for the time fresh.
func NewHolder(fresh time.Duration) *Holder { return &Holder{fresh: fresh} }

// Current returns the revision in force, nil if there is none.
func (h *Holder) Current() *Held { return h.held }

// Revision returns the number of the revision in force, 0 if there is none.
func (h *Holder) Revision() int64 {
	if h.held == nil {
		return 0
	}
	return h.held.Document.Revision
}

// Missing returns the highest revision heard of if it is newer than the one in force, otherwise 0.
func (h *Holder) Missing() int64 {
	if h.newest > h.Revision() {
		return h.newest
	}
	return 0
}

// Offer puts a document into force if it is valid and newer than the held one. An offer doesn't confirm anything: the
// document may come from a peer or from a watch's buffer, where it can be of any age. It fails with *InvalidError or
// *DivergedError.
func (h *Holder) Offer(d Document, now time.Time) (Outcome, error) {
	revision := h.Revision()
	if h.held != nil && d.Revision < revision {
		return Older, nil
	}
	if h.held != nil && d.Revision == revision {
		if d.Digest != h.held.Document.Digest {
			return Rejected, &DivergedError{Revision: revision, Held: h.held.Document.Digest, Offered: d.Digest}
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
	h.held = &Held{Document: d, Set: set, Index: index, Since: now}
	h.newest = max(h.newest, d.Revision)
	h.confirm(h.pending)
	return Adopted, nil
}

// Confirm records that a read of the store, sent at the time sent, found the given revision. The time of the answer
// doesn't count, because the process may have been paused before it looked at the answer. It reports whether the
// revision in force was confirmed; if a newer one was found, the confirmation counts once that is in force.
func (h *Holder) Confirm(revision int64, sent time.Time) bool {
	return h.ConfirmRelayed(revision, 0, sent)
}

// ConfirmRelayed records that some node found the given revision in the store, age before a peer answered a call of
// this node that was sent at the time sent. Only answers count: how long a peer's own call was on its way can't be
// known.
func (h *Holder) ConfirmRelayed(revision int64, age time.Duration, sent time.Time) bool {
	if age < 0 {
		return false
	}
	h.Learn(revision)
	return h.confirm(confirmation{revision: revision, at: sent.Add(-age)})
}

// confirm applies a confirmation. One of an older revision than the held one counts too: what was published before it
// is in force here.
func (h *Holder) confirm(c confirmation) bool {
	if h.held == nil || c.revision > h.Revision() {
		if c.at.After(h.pending.at) {
			h.pending = c
		}
		return false
	}
	if c.at.After(h.confirmed) {
		h.confirmed = c.at
	}
	return true
}

// Learn records that a revision exists, without confirming anything.
func (h *Holder) Learn(revision int64) { h.newest = max(h.newest, revision) }

// Age returns for how long a newer revision than the one in force may have been published; false if no confirmation was seen. Gossip relays
// this age, so each relay adds the time that the confirmation waited at it.
func (h *Holder) Age(now time.Time) (time.Duration, bool) {
	if h.confirmed.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(h.confirmed)), true
}

// Authenticate finds the key of a secret in the revision in force. Whether the node may act on it is for Authority.
func (h *Holder) Authenticate(secret string) (object.Key, bool) { return h.held.Authenticate(secret) }

// Reachability is what a node hears of the other members. It is computed for the moment at which Authority is asked:
// only heartbeats and store states younger than HeardWithin count.
type Reachability struct {
	Known    int  // other members, including silent ones, without those that announced that they left
	Heard    int  // of these, members heard from
	Reaching int  // of the members heard from, those that reach the store
	Store    bool // this node reaches the store
}

// outage reports whether the store is down for everybody, so that nobody can publish. A node without any other member
// can't know that.
func (r Reachability) outage() bool {
	return !r.Store && r.Reaching == 0 && r.Heard > 0 && 2*r.Heard >= r.Known
}

// Reason says why a node may or may not accept keyed work.
type Reason string

// Reasons of an authority.
const (
	Fresh       Reason = "fresh"            // confirmed lately
	Outage      Reason = "store_outage"     // not confirmed, but nobody can publish
	Nothing     Reason = "no_configuration" // refused: no revision is held
	Unconfirmed Reason = "unconfirmed"      // refused: the node may be cut off from publications
)

// Authority is the answer to whether a node may accept keyed work now. If not, the work is rejected as not run and the
// node leaves the load balancer.
type Authority struct {
	Serve    bool
	Reason   Reason
	Revision int64
	Age      time.Duration // of the confirmation; 0 if there was none
}

// Authority applies the freshness rule.
func (h *Holder) Authority(now time.Time, r Reachability) Authority {
	age, confirmed := h.Age(now)
	a := Authority{Revision: h.Revision(), Age: age}
	switch {
	case h.held == nil:
		a.Reason = Nothing
	case confirmed && age <= h.fresh:
		a.Serve, a.Reason = true, Fresh
	case r.outage():
		a.Serve, a.Reason = true, Outage
	default:
		a.Reason = Unconfirmed
	}
	return a
}
