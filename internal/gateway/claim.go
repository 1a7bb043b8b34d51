package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/routing"
	"sequoiastall/internal/port"
)

// Times of claims. Claims share a store lease for an hour, so that each lives for 24 to 25 hours and costs one write.
const (
	claimLease      = 25 * time.Hour
	claimLeaseShare = time.Hour
	storeTimeout    = 500 * time.Millisecond
)

// Claim is the store's value for a keyed request, at key requests/<team>/<hash>.
type Claim struct {
	Writer  string `json:"writer"` // node, process start and sequence, to recognise a lost answer
	Service string `json:"service"`
	AtMS    int64  `json:"at_ms"`
}

// claims creates and removes claims.
type claims struct {
	store  port.Store
	clock  port.Clock
	writer string
	count  atomic.Uint64

	mu      sync.Mutex
	lease   port.LeaseID
	granted time.Time
	failed  time.Time // last failed grant; keeps callers from queueing for the store during an outage
	err     error
}

func claimKey(team, service, key string) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%s", len(service), service, key)))
	return "requests/" + team + "/" + hex.EncodeToString(sum[:])
}

// take claims a request. Every error means that the request must not be sent: it is not_run, except for a duplicate,
// of which the first request may have run.
func (c *claims) take(ctx context.Context, team, service, key string) (string, int64, *Error) {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return "", 0, notRun(CodeStore, "the request's key can't be claimed: "+err.Error())
	}
	name := claimKey(team, service, key)
	claim := Claim{c.writer + "-" + strconv.FormatUint(c.count.Add(1), 36), service, c.clock.Now().UnixMilli()}
	value, err := json.Marshal(claim)
	if err != nil {
		return "", 0, notRun(CodeInternal, err.Error())
	}
	putCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := c.store.Put(putCtx, port.Write{Key: name, Value: value, Condition: port.IfAbsent, Lease: lease})
	var conflict *port.ConflictError
	switch {
	case err == nil:
		return name, revision, nil
	case errors.As(err, &conflict):
		// An adapter may have repeated a write whose answer was lost, so that the conflict is with the claim itself.
		if conflict.Current != nil && owns(conflict.Current.Value, claim.Writer) {
			return name, conflict.Current.Revision, nil
		}
		return "", 0, duplicate()
	case errors.Is(err, port.ErrUnavailable):
		return "", 0, notRun(CodeStore, "the request's key can't be claimed: "+err.Error())
	case errors.Is(err, port.ErrLeaseLapsed):
		c.forgetLease(lease)
		return "", 0, notRun(CodeStore, "the request's key can't be claimed: "+err.Error())
	}
	return c.recognise(ctx, name, claim.Writer)
}

// recognise finds out whether a write took effect whose answer was lost.
func (c *claims) recognise(ctx context.Context, name, writer string) (string, int64, *Error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := c.store.Get(ctx, name)
	switch {
	case err != nil:
		return "", 0, notRun(CodeStore, "the claim of the request's key is uncertain")
	case owns(e.Value, writer):
		return name, e.Revision, nil
	}
	return "", 0, duplicate()
}

func owns(value []byte, writer string) bool {
	var claim Claim
	return json.Unmarshal(value, &claim) == nil && claim.Writer == writer
}

func duplicate() *Error {
	e := notRun(CodeDuplicate, "a request with this idempotency key was taken before; it may have run")
	e.Outcome = routing.Unknown
	return e
}

// drop removes the claim of a request that wasn't run, so that the caller may repeat it. If this fails the claim stays
// and a repetition is refused as a duplicate.
func (c *claims) drop(name string, revision int64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_ = c.store.Delete(ctx, name, revision)
}

func (c *claims) currentLease(ctx context.Context) (port.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.lease != 0 && now.Sub(c.granted) < claimLeaseShare {
		return c.lease, nil
	}
	if c.err != nil && now.Sub(c.failed) < storeTimeout {
		return 0, c.err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := c.store.Grant(ctx, claimLease)
	if c.err = err; err != nil {
		c.failed = c.clock.Now()
		return 0, err
	}
	c.lease, c.granted = lease, now
	return lease, nil
}

func (c *claims) forgetLease(lease port.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = 0
	}
}
