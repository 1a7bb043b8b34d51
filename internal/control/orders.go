package control

import (
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/cell"
	"sequoiastall/internal/port"
)

// countStarts changes the number of start orders whose outcome the scheduler doesn't know yet. It is called on the
// scheduler's goroutine, so that the lease can't expire between the decision to send an order and its outcome.
func (l *workerLink) countStarts(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.starts += change
}

// sendOrder sends an order to its worker and passes the outcome to the scheduler.
func (s *activeTerm) sendOrder(o cell.Order) {
	l := s.links[o.Worker]
	if l == nil || l.ref.Address == "" {
		s.core.ApplyOrderOutcome(o, cell.OrderUnanswered, time.Now())
		return
	}
	if o.Kind == cell.OrderStart {
		l.countStarts(1)
	}
	s.spawn(func() {
		outcome, repeated := l.send(o)
		o.Repeated = repeated
		s.post(s.ctx, func() {
			if outcome == cell.OrderInstanceTerminated && (!l.leadsTo(o.Instance) || !l.addressConfirmed()) {
				outcome = cell.OrderNotSent // the worker has another address or instance, which the order didn't reach
			}
			if o.Kind == cell.OrderStart {
				l.countStarts(-1)
				if outcome == cell.OrderUnanswered || repeated {
					s.unsettled.add(o.Worker, unsettledStart{o.Run, o.Instance, time.Now()})
				}
			}
			if !s.core.ApplyOrderOutcome(o, outcome, time.Now()) {
				s.end(errors.Wrapf(errTermLost, "worker %s has accepted a higher fencing token", o.Worker))
			}
		})
	})
}

// stopUnexpectedRun stops a run that the scheduler doesn't expect on its worker. If the order is lost, the worker lists
// the run again.
func (s *activeTerm) stopUnexpectedRun(o cell.Order) {
	s.node.options.Log.Info("decision", "subject", o.Run.Task.String(), "decision", "unexpected run stopped", "run", o.Run.Run, "worker", o.Worker)
	if l := s.links[o.Worker]; l != nil && l.ref.Address != "" {
		s.spawn(func() { l.send(o) })
	}
}

// send sends an order to the worker and returns the outcome, and whether another attempt of it may still be carried out.
func (l *workerLink) send(o cell.Order) (outcome cell.OrderOutcome, repeated bool) {
	var err error
	began := time.Now()
	switch o.Kind {
	case cell.OrderStart:
		starts := &attempts{}
		_, err = hedge(l.s.spawn, l.s.latency.hedgeDelay(), l.s.mayRetry, func(second bool) (struct{}, error) {
			return struct{}{}, starts.run(func() error { return l.start(o, second, starts.superfluous) })
		})
		repeated = starts.decide()
	case cell.OrderPace:
		if err = checkInstance(o, l.instance()); err == nil {
			err = l.s.carriers.Pace(l.s.ctx, l.ref, o.Run, o.Pace, l.s.term.number)
		}
	default:
		if err = checkInstance(o, l.instance()); err == nil {
			_, err = l.s.carriers.Stop(l.s.ctx, l.ref, o.Run, l.s.term.number)
		}
	}
	outcome = orderOutcome(err)
	recordSince(l.s.node.metrics.orderTime, began)
	l.s.node.metrics.count("orders_total", string(o.Kind), string(outcome))
	if outcome != cell.OrderDone {
		l.s.node.options.Log.Info("order", "kind", o.Kind, "subject", o.Run.Task.String(), "run", o.Run.Run, "worker", o.Worker, "outcome", outcome,
			"error", err.Error())
	}
	return outcome, repeated
}

// start sends a start order, which always grants a lease. The worker's clock is read first if it isn't known. Nothing is sent if
// the order is superfluous by then.
func (l *workerLink) start(o cell.Order, second bool, superfluous func() bool) error {
	if err := l.readClock(); err != nil {
		if decidesBoth(err) {
			return err
		}
		return errors.Wrapf(port.ErrUnavailable, "worker clock not known: %v", err)
	}
	if superfluous() {
		return errors.Wrap(port.ErrUnavailable, "the other attempt was answered")
	}
	call, err := l.beginStart(o)
	if err != nil {
		return err
	}
	clockMS, err := int64(0), errors.Wrap(port.ErrUnavailable, "no lease can be granted")
	if call.grants() {
		began := time.Now()
		clockMS, err = l.s.carriers.Start(l.s.ctx, l.ref, port.Start{Order: o, Token: l.s.term.number, LeaseEndMS: call.endMS}, second)
		if !errors.Is(err, port.ErrUnknownOutcome) {
			l.s.latency.observe(time.Since(began))
		}
	}
	l.finishLeaseCall(call, 0, clockMS, err)
	return err
}

// beginStart starts the call of a start order, unless it was decided for another instance than the one whose clock is known.
func (l *workerLink) beginStart(o cell.Order) (leaseCall, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := checkInstance(o, l.lease.startMS); err != nil {
		return leaseCall{}, err
	}
	return l.beginCall(), nil
}

// checkInstance fails with port.ErrOrderOutdated if the worker's instance isn't the one for which the order was decided. The worker
// can't tell: it accepts orders by its ID, which its instances share.
func checkInstance(o cell.Order, current int64) error {
	if o.Instance != 0 && current != 0 && current != o.Instance {
		return errors.Wrapf(port.ErrOrderOutdated, "for %d, current %d", o.Instance, current)
	}
	return nil
}

// readClock makes a renewal without a lease unless the worker's clock is known. Callers at the same time share it.
func (l *workerLink) readClock() error {
	l.mu.Lock()
	known := l.lease.clock.known()
	l.mu.Unlock()
	if known {
		return nil
	}
	_, err, _ := l.probes.Do("", func() (any, error) { return nil, l.readInventory(false) })
	return err
}

// readInventory makes a renewal that doesn't wait. A second call beside another renewal grants no lease.
func (l *workerLink) readInventory(second bool) error {
	requestSequence, sentAt := l.s.core.OrderSequence(), time.Now()
	reply, err := l.renew(l.s.ctx, 0, second)
	if err == nil {
		reply.Inventory.RequestSequence = requestSequence
		l.applyRenewal(l.s.ctx, reply, sentAt)
	}
	return err
}

// probe reads a worker's inventory beside the renewal that waits there. If it fails, that renewal shows why.
func (s *activeTerm) probe(id cell.WorkerID) {
	if l := s.links[id]; l != nil && l.ref.Address != "" {
		s.spawn(func() { _ = l.readInventory(true) })
	}
}

func orderOutcome(err error) cell.OrderOutcome {
	switch {
	case err == nil:
		return cell.OrderDone
	case errors.Is(err, port.ErrFenced):
		return cell.OrderFenced
	case errors.Is(err, port.ErrStaleRun):
		return cell.OrderStale
	case errors.Is(err, port.ErrNoTicket):
		return cell.OrderNoTicket
	case errors.Is(err, port.ErrInstanceChanged):
		return cell.OrderInstanceTerminated
	case errors.Is(err, port.ErrOrderOutdated):
		return cell.OrderOutdated
	case errors.Is(err, port.ErrUnknownOutcome):
		return cell.OrderUnanswered
	case errors.Is(err, port.ErrUnavailable), errors.Is(err, port.ErrConnectionRefused):
		return cell.OrderNotSent
	}
	return cell.OrderRefused
}
