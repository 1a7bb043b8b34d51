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

// Lifetimes and timeouts of claims. All claims made within an hour share one store lease, so a claim costs one write
// and is kept for 24 to 25 hours.
const (
	claimLease      = 25 * time.Hour
	claimLeaseReuse = time.Hour
	storeTimeout    = 500 * time.Millisecond
)

// Claim is the value stored for a request with an idempotency key, under the store key requests/<team>/<hash>.
type Claim struct {
	// Writer consists of node, process start and sequence number. It identifies the claim if the store's response is lost.
	Writer  string `json:"writer"`
	Service string `json:"service"`
	AtMS    int64  `json:"at_ms"`
}

// claims creates and removes claims in the store.
type claims struct {
	store  port.Store
	clock  port.Clock
	writer string
	count  atomic.Uint64

	mu        sync.Mutex
	lease     port.LeaseID
	grantedAt time.Time
	failedAt  time.Time // time of the last failed grant; prevents requests from queueing for the store during an outage
	grantErr  error
}

func claimKey(team, service, key string) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%s", len(service), service, key)))
	return "requests/" + team + "/" + hex.EncodeToString(sum[:])
}

// create claims a request. The request must not be sent if it fails. The outcome of the error is not_run, except for a
// duplicate: the first request with the key may have run.
func (c *claims) create(ctx context.Context, team, service, key string) (string, int64, *Error) {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return "", 0, notRun(CodeStoreUnavailable, "the request's key can't be claimed: "+err.Error())
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
		// An adapter may have retried a write whose response was lost; the conflicting entry is then this claim.
		if conflict.Current != nil && writtenBy(conflict.Current.Value, claim.Writer) {
			return name, conflict.Current.Revision, nil
		}
		return "", 0, duplicateError()
	case errors.Is(err, port.ErrUnavailable):
		return "", 0, notRun(CodeStoreUnavailable, "the request's key can't be claimed: "+err.Error())
	case errors.Is(err, port.ErrLeaseLapsed):
		c.discardLease(lease)
		return "", 0, notRun(CodeStoreUnavailable, "the request's key can't be claimed: "+err.Error())
	}
	return c.verifyWrite(ctx, name, claim.Writer)
}

// verifyWrite reads the claim back to find out whether a write with an unknown outcome took effect.
func (c *claims) verifyWrite(ctx context.Context, name, writer string) (string, int64, *Error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := c.store.Get(ctx, name)
	switch {
	case err != nil:
		return "", 0, notRun(CodeStoreUnavailable, "the claim of the request's key is uncertain")
	case writtenBy(e.Value, writer):
		return name, e.Revision, nil
	}
	return "", 0, duplicateError()
}

func writtenBy(value []byte, writer string) bool {
	var claim Claim
	return json.Unmarshal(value, &claim) == nil && claim.Writer == writer
}

func duplicateError() *Error {
	e := notRun(CodeDuplicate, "a request with this idempotency key was taken before; it may have run")
	e.Outcome = routing.Unknown
	return e
}

// remove deletes the claim of a request that was not run, so that the caller can repeat it. If the deletion fails, the
// claim stays and a repeated request is rejected as a duplicate.
func (c *claims) remove(name string, revision int64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_ = c.store.Delete(ctx, name, revision)
}

func (c *claims) currentLease(ctx context.Context) (port.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.lease != 0 && now.Sub(c.grantedAt) < claimLeaseReuse {
		return c.lease, nil
	}
	if c.grantErr != nil && now.Sub(c.failedAt) < storeTimeout {
		return 0, c.grantErr
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := c.store.Grant(ctx, claimLease)
	if c.grantErr = err; err != nil {
		c.failedAt = c.clock.Now()
		return 0, err
	}
	c.lease, c.grantedAt = lease, now
	return lease, nil
}

func (c *claims) discardLease(lease port.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == lease {
		c.lease = 0
	}
}
