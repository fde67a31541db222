package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// probeTimeout is how long an endpoint has for the response to a probe.
const probeTimeout = 300 * time.Millisecond

// endpoint is the actor of one endpoint. The goroutine of run alone owns the connections to it: each is idle here, or lent to the one
// exchange that runs on it, in a goroutine of its own that ends with the attempt. Other goroutines post to the mailbox. run must not
// block: connections are opened in goroutines, which post dialEnded.
type endpoint struct {
	pool    *EndpointPool
	id      scheduler.WorkerID
	mailbox *routing.Mailbox[any]

	// Owned by run.
	listed           routing.Endpoint                // as the list has it
	detachedSince    time.Time                       // since when it is detached by the operator; zero while it is not
	idle             []*connection                   // the longest idle first
	awaitingDial     []*exchange                     // for which a connection is being opened, the longest waiting first
	awaitingCapacity []*exchange                     // for which no connection may be opened yet, the longest waiting first
	dialing          int                             // connections that are being opened; at least len(awaitingDial)
	attempts         map[routing.AttemptID]*exchange // without an outcome
}

// The messages in the mailbox of an endpoint, beside routing.Endpoint and routing.Attempt.
type (
	cancelAttempt        struct{ id routing.AttemptID }
	closeIdleConnections struct{ minIdle time.Duration }
	startProbe           struct{}
	capacityFreed        struct{} // a connection may be opened, unless another endpoint was first
	capacityWaitOverdue  struct{} // the deadline of an exchange that awaits capacity has passed
	setDetached          struct{ since time.Time }
	dialEnded            struct {
		owner      *exchange // that it was opened for
		connection *connection
		err        error
	}
	exchangeEnded struct {
		exchange *exchange
		reuse    bool // its connection may carry another exchange
	}
)

// newEndpoint returns the actor of an endpoint, which does not run yet.
func newEndpoint(pool *EndpointPool, listed routing.Endpoint) *endpoint {
	return &endpoint{
		pool: pool, id: listed.ID, listed: listed, mailbox: routing.NewMailbox[any](),
		attempts: map[routing.AttemptID]*exchange{},
	}
}

// run handles messages and closes idle connections until the context is cancelled. Exchanges that run then end by their deadlines.
func (e *endpoint) run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		if len(e.idle) > 0 {
			alarm.Reset(time.Until(e.pool.idleDeadline(e.idle[0].idleSince)))
		}
		select {
		case <-ctx.Done():
			e.closeIdle(time.Time{})
			return
		case <-e.mailbox.Signal():
		case now := <-alarm.C:
			e.closeIdle(now)
		}
		for _, message := range e.mailbox.Take() {
			e.handleMessage(message)
		}
	}
}

// handleMessage carries out one message of the mailbox.
func (e *endpoint) handleMessage(message any) {
	switch msg := message.(type) {
	case routing.Endpoint:
		e.updateListed(msg)
	case routing.Attempt:
		started := &exchange{attempt: msg, deadline: msg.Deadline}
		e.attempts[msg.ID] = started
		e.startExchange(started)
	case startProbe:
		e.startExchange(&exchange{probe: true, deadline: time.Now().Add(probeTimeout)})
	case capacityFreed:
		e.useCapacity()
	case capacityWaitOverdue:
		e.endOverdue()
	case setDetached:
		e.detachedSince = msg.since
		e.closeIdle(time.Time{}) // it is detached to be restarted
	case cancelAttempt:
		e.cancelAttempt(msg.id)
	case closeIdleConnections:
		now := time.Now()
		e.closeIdleWhere(func(c *connection) bool { return now.Sub(c.idleSince) >= msg.minIdle })
	case dialEnded:
		e.handleDialEnded(msg)
	case exchangeEnded:
		e.handleExchangeEnded(msg)
	}
}

// updateListed notes what the list says of the endpoint. Connections to a process that has been replaced are closed.
func (e *endpoint) updateListed(listed routing.Endpoint) {
	if listed.Address != e.listed.Address || listed.StartedAt != e.listed.StartedAt || listed.State == scheduler.Gone {
		e.closeIdle(time.Time{})
	}
	e.listed = listed
}

// useCapacity starts the exchange that has awaited capacity the longest.
func (e *endpoint) useCapacity() {
	if len(e.awaitingCapacity) == 0 {
		e.pool.passOnCapacity()
		return
	}
	next := e.awaitingCapacity[0]
	e.awaitingCapacity = e.awaitingCapacity[1:]
	e.startExchange(next)
}

// endOverdue ends the exchanges that await capacity whose deadline has passed.
func (e *endpoint) endOverdue() {
	now := time.Now()
	e.awaitingCapacity = slices.DeleteFunc(e.awaitingCapacity, func(x *exchange) bool {
		overdue := !now.Before(x.deadline)
		if overdue {
			e.endUnsent(x, scheduler.NeverSent)
		}
		return overdue
	})
}

// startExchange begins an exchange on an idle connection, of those that may be reused the one last used, or opens one for it.
func (e *endpoint) startExchange(pending *exchange) {
	now := time.Now()
	if e.reuseConnection(pending, now) {
		return
	}
	if pending.mustNotSend(now) {
		e.endUnsent(pending, scheduler.NeverSent)
		return
	}
	if !e.pool.reserveConnection(e) {
		// All connections carry attempts, and the next that ends soon makes way. At another endpoint the attempt would find no
		// connection either, and the request would have lost an attempt.
		if len(e.awaitingCapacity) == 0 {
			e.pool.log.Warn("connection limit reached, attempts wait", "worker", e.id, "limit", e.pool.connectionLimit())
		}
		e.awaitingCapacity = append(e.awaitingCapacity, pending)
		time.AfterFunc(time.Until(pending.deadline), func() { e.mailbox.Post(capacityWaitOverdue{}) })
		return
	}
	e.awaitingDial = append(e.awaitingDial, pending)
	e.dial(pending)
}

// reuseConnection begins an exchange on an idle connection and reports whether there was one. Those that have been idle for too long or
// were closed by the endpoint are closed. An exchange that must not be sent any more ends.
func (e *endpoint) reuseConnection(pending *exchange, now time.Time) bool {
	for i := len(e.idle) - 1; i >= 0; i-- {
		candidate := e.idle[i]
		if candidate.used && now.Sub(candidate.idleSince) < minIdleBeforeReuse {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if now.Before(e.pool.idleDeadline(candidate.idleSince)) && isAlive(candidate.conn) {
			pending.connectionIdle = now.Sub(candidate.idleSince)
			if !e.beginExchange(pending, candidate) {
				e.assignConnection(candidate)
			}
			return true
		}
		e.closeConnection(candidate)
	}
	return false
}

// dial opens a connection for an exchange, which was reserved. It returns at once; dialEnded is posted.
func (e *endpoint) dial(owner *exchange) {
	e.dialing++
	address, until := e.listed.Address, time.Now().Add(e.pool.settings.Current().Limits.ConnectTimeout.Duration())
	if owner.deadline.Before(until) {
		until = owner.deadline
	}
	go func() {
		conn, err := (&net.Dialer{Deadline: until, KeepAlive: -1}).Dial("tcp", address)
		if err != nil {
			e.pool.releaseConnection()
			e.mailbox.Post(dialEnded{owner: owner, err: err})
			return
		}
		limit := &io.LimitedReader{R: conn}
		e.mailbox.Post(dialEnded{owner: owner, connection: &connection{conn: conn, address: address, readLimit: limit, reader: bufio.NewReader(limit)}})
	}()
}

// handleDialEnded assigns a new connection to the exchange that has waited longest; that which it was opened for may have found
// another one.
func (e *endpoint) handleDialEnded(ended dialEnded) {
	e.dialing--
	if ended.err == nil && ended.connection.address == e.listed.Address {
		e.assignConnection(ended.connection)
		return
	}
	// One exchange is left without a connection to come: the owner or, where the owner is on the connection of another, the one
	// that has waited longest.
	index := slices.Index(e.awaitingDial, ended.owner)
	if index < 0 && len(e.awaitingDial) > e.dialing {
		index = 0
	}
	if ended.err == nil { // the address has changed meanwhile
		e.closeConnection(ended.connection)
	}
	if index < 0 {
		return
	}
	left := e.awaitingDial[index]
	e.awaitingDial = slices.Delete(e.awaitingDial, index, index+1)
	if ended.err == nil {
		e.startExchange(left)
		return
	}
	e.endUnsent(left, dialOutcome(ended.err))
}

// dialOutcome returns the outcome of an attempt whose connection could not be opened: NeverSent where this host is at fault.
func dialOutcome(err error) scheduler.Outcome {
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
		return scheduler.NeverSent
	}
	return scheduler.NoConnect
}

// assignConnection begins the exchange that has waited longest on a connection, or keeps the connection idle.
func (e *endpoint) assignConnection(free *connection) {
	for _, queue := range [...]*[]*exchange{&e.awaitingDial, &e.awaitingCapacity} {
		for len(*queue) > 0 {
			next := (*queue)[0]
			*queue = (*queue)[1:]
			if e.beginExchange(next, free) {
				return
			}
		}
	}
	e.keepIdle(free)
}

// beginExchange runs an exchange on a connection and reports whether it does. The attempt may have waited for the connection, so all
// that forbids to send it is checked again; if it must not be sent, it ends.
func (e *endpoint) beginExchange(pending *exchange, on *connection) bool {
	now := time.Now()
	pending.sendDeadline = e.sendDeadline(pending)
	if reason := e.forbiddenReason(pending, now); reason != "" {
		e.logNotSent(pending, reason)
		e.endUnsent(pending, scheduler.NeverSent)
		return false
	}
	if !pending.probe {
		e.pool.log.Debug("sending attempt", "id", pending.requestID(), "attempt", pending.attempt.ID.Number, "worker", e.id,
			"state", e.listed.State, "idle", pending.connectionIdle)
		if !e.listed.NotifiedAt.IsZero() {
			e.pool.log.Info("attempt to draining worker", "id", pending.requestID(), "attempt", pending.attempt.ID.Number, "worker", e.id,
				"since_notified", now.Sub(e.listed.NotifiedAt))
		}
	}
	pending.connection, on.used = on, true
	go e.runExchange(pending)
	return true
}

// handleExchangeEnded takes back the connection of an exchange. It is closed where the attempt was cancelled meanwhile, and where
// exchanges await capacity: they cannot wait until it may be reused.
func (e *endpoint) handleExchangeEnded(ended exchangeEnded) {
	x := ended.exchange
	if !x.probe {
		delete(e.attempts, x.attempt.ID)
	}
	returned := x.connection
	if ended.reuse && !x.cancelled.Load() && returned.reader.Buffered() == 0 && returned.address == e.listed.Address && len(e.awaitingCapacity) == 0 {
		e.keepIdle(returned)
	} else {
		e.closeConnection(returned)
	}
}

// cancelAttempt cancels an attempt without an outcome: its connection is closed, or it ends unsent.
func (e *endpoint) cancelAttempt(id routing.AttemptID) {
	x := e.attempts[id]
	if x == nil || x.cancelled.Swap(true) {
		return
	}
	if x.connection != nil {
		_ = x.connection.conn.Close() // ends the reading of the exchange, which reports the outcome
		return
	}
	for _, queue := range [...]*[]*exchange{&e.awaitingDial, &e.awaitingCapacity} {
		if i := slices.Index(*queue, x); i >= 0 {
			*queue = slices.Delete(*queue, i, i+1)
			e.endUnsent(x, scheduler.NeverSent)
			return
		}
	}
}

// endUnsent ends an exchange that no connection carries.
func (e *endpoint) endUnsent(pending *exchange, outcome scheduler.Outcome) {
	if !pending.probe {
		delete(e.attempts, pending.attempt.ID)
	}
	e.report(pending, routing.AttemptResult{Outcome: outcome})
}

// logNotSent logs at debug level why an attempt is not sent.
func (e *endpoint) logNotSent(pending *exchange, reason string) {
	if !pending.probe {
		e.pool.log.Debug("attempt not sent", "id", pending.requestID(), "attempt", pending.attempt.ID.Number, "worker", e.id, "reason", reason)
	}
}
