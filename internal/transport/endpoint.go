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

const (
	// probeTimeout is how long an endpoint has for a probe, and drainWithin how long for the rest of an
	// answer whose last message has come.
	probeTimeout         = 300 * time.Millisecond
	responseDrainTimeout = time.Second

	// maxResponseBytes bounds all that one exchange reads: an endpoint that floods ends its own call only.
	maxResponseBytes = 1 << 20

	// A connection rests for so long behind an answer before it carries a further call: a second answer may come some
	// milliseconds behind the first, and would be taken for that call's.
	minIdleBeforeReuse = 20 * time.Millisecond
)

// endpoint is the actor of one endpoint. It alone owns the endpoint's connections: a connection is idle
// here, or lent to the one exchange that runs on it.
type endpoint struct {
	pool    *EndpointPool
	id      scheduler.WorkerID
	mailbox *routing.Mailbox[any]

	// Owned by run.
	listed           routing.Endpoint
	detachedSince    time.Time     // since when it is out by hand; zero while it is not
	idle             []*connection // the longest idle first
	awaitingDial     []*exchange
	awaitingCapacity []*exchange                     // for which no connection may be opened yet
	dialing          int                             // connections that are being opened; never fewer than exchanges that wait
	attempts         map[routing.AttemptID]*exchange // calls without an outcome
}

// connection is a connection with what was read ahead of it.
type connection struct {
	conn      net.Conn
	address   string            // the address it was opened to
	readLimit *io.LimitedReader // of what in may read
	reader    *bufio.Reader
	idleSince time.Time // idle since
	used      bool      // it has carried something
}

// logNotSent logs that an attempt does not leave.
func (e *endpoint) logNotSent(x *exchange, why string) {
	if !x.probe {
		e.pool.log.Debug("attempt held back", "id", x.requestID(), "attempt", x.attempt.ID.Number, "worker", e.id, "why", why)
	}
}

// The messages of the actor, beside routing.Destination and routing.Call.
type (
	cancelAttempt        struct{ id routing.AttemptID }
	closeIdleConnections struct{ minIdle time.Duration }
	startProbe           struct{}
	capacityFreed        struct{} // for a further connection, perhaps
	capacityWaitOverdue  struct{} // a call that waits for room may be
	setDetached          struct{ since time.Time }
	dialEnded            struct {
		owner      *exchange
		connection *connection
		err        error
	}
	exchangeEnded struct {
		exchange *exchange
		reuse    bool
	}
)

func newEndpoint(f *EndpointPool, d routing.Endpoint) *endpoint {
	return &endpoint{pool: f, id: d.ID, listed: d, mailbox: routing.NewMailbox[any](), attempts: map[routing.AttemptID]*exchange{}}
}

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
		for _, m := range e.mailbox.Take() {
			e.handleMessage(m)
		}
	}
}

func (e *endpoint) handleMessage(m any) {
	switch m := m.(type) {
	case routing.Endpoint:
		if m.Address != e.listed.Address || m.StartedAt != e.listed.StartedAt || m.State == scheduler.Gone {
			e.closeIdle(time.Time{}) // they lead to a process that is no more
		}
		e.listed = m
	case routing.Attempt:
		x := &exchange{attempt: m, deadline: m.Deadline}
		e.attempts[m.ID] = x
		e.startExchange(x)
	case startProbe:
		e.startExchange(&exchange{probe: true, deadline: time.Now().Add(probeTimeout)})
	case capacityFreed:
		if len(e.awaitingCapacity) == 0 {
			e.pool.passOnCapacity()
			return
		}
		x := e.awaitingCapacity[0]
		e.awaitingCapacity = e.awaitingCapacity[1:]
		e.startExchange(x)
	case capacityWaitOverdue:
		now := time.Now()
		e.awaitingCapacity = slices.DeleteFunc(e.awaitingCapacity, func(x *exchange) bool {
			late := !now.Before(x.deadline)
			if late {
				e.endUnsent(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
			}
			return late
		})
	case setDetached:
		e.detachedSince = m.since
		e.closeIdle(time.Time{}) // it is put out to be restarted
	case cancelAttempt:
		e.cancelAttempt(m.id)
	case closeIdleConnections:
		now := time.Now()
		e.closeIdleWhere(func(w *connection) bool { return now.Sub(w.idleSince) >= m.minIdle })
	case dialEnded:
		e.handleDialEnded(m)
	case exchangeEnded:
		if !m.exchange.probe {
			delete(e.attempts, m.exchange.attempt.ID)
		}
		// One that was cut meanwhile is closed. To wait for this one's rest is no use to who waits for room.
		if m.reuse && !m.exchange.cancelled.Load() && m.exchange.connection.reader.Buffered() == 0 && m.exchange.connection.address == e.listed.Address && len(e.awaitingCapacity) == 0 {
			e.keepIdle(m.exchange.connection)
		} else {
			e.closeConnection(m.exchange.connection)
		}
	}
}

// startExchange puts an exchange on an idle connection, of those that have rested the one last used first, or opens a new one
// for it.
func (e *endpoint) startExchange(x *exchange) {
	now := time.Now()
	for i := len(e.idle) - 1; i >= 0; i-- {
		w := e.idle[i]
		if w.used && now.Sub(w.idleSince) < minIdleBeforeReuse {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if now.Before(e.pool.idleDeadline(w.idleSince)) && alive(w.conn) {
			x.connectionIdle = now.Sub(w.idleSince)
			if !e.beginExchange(x, w) {
				e.assignConnection(w)
			}
			return
		}
		e.closeConnection(w)
	}
	if x.mustNotSend(now) {
		e.endUnsent(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if !e.pool.reserveConnection(e) {
		// All carry calls. The next that ends gives its place up, which is soon; sent elsewhere, the call would find
		// no connection either and have lost an attempt.
		if len(e.awaitingCapacity) == 0 {
			e.pool.log.Warn("out of connections, calls wait", "endpoint", e.id, "most", e.pool.connectionLimit())
		}
		e.awaitingCapacity = append(e.awaitingCapacity, x)
		time.AfterFunc(time.Until(x.deadline), func() { e.mailbox.Post(capacityWaitOverdue{}) })
		return
	}
	e.awaitingDial = append(e.awaitingDial, x)
	e.dialing++
	address, until := e.listed.Address, time.Now().Add(e.pool.settings.Current().Limits.ConnectTimeout.Duration())
	if x.deadline.Before(until) {
		until = x.deadline
	}
	go func() {
		conn, err := (&net.Dialer{Deadline: until, KeepAlive: -1}).Dial("tcp", address)
		if err != nil {
			e.pool.releaseConnection()
			e.mailbox.Post(dialEnded{owner: x, err: err})
			return
		}
		quota := &io.LimitedReader{R: conn}
		e.mailbox.Post(dialEnded{owner: x, connection: &connection{conn: conn, address: address, readLimit: quota, reader: bufio.NewReader(quota)}})
	}()
}

// handleDialEnded gives a new connection to whoever has waited longest; the call that it was opened for may have
// found another one.
func (e *endpoint) handleDialEnded(m dialEnded) {
	e.dialing--
	if m.err == nil && m.connection.address == e.listed.Address {
		e.assignConnection(m.connection)
		return
	}
	// Whoever is left without a connection to come: the owner, or, where another took the owner's place on
	// the connection of a third, the one that has waited longest. It would wait for ever.
	i := slices.Index(e.awaitingDial, m.owner)
	if i < 0 && len(e.awaitingDial) > e.dialing {
		i = 0
	}
	if m.err == nil { // the endpoint has moved meanwhile
		e.closeConnection(m.connection)
	}
	if i < 0 {
		return
	}
	x := e.awaitingDial[i]
	e.awaitingDial = slices.Delete(e.awaitingDial, i, i+1)
	if m.err == nil {
		e.startExchange(x)
		return
	}
	out := scheduler.NoConnect
	if errors.Is(m.err, syscall.EMFILE) || errors.Is(m.err, syscall.ENFILE) || errors.Is(m.err, syscall.EADDRNOTAVAIL) {
		out = scheduler.NeverSent // this process's fault, not the endpoint's
	}
	e.endUnsent(x, routing.AttemptResult{Outcome: out})
}

// assignConnection takes a connection that carries nothing: it serves whoever waits, or stands idle.
func (e *endpoint) assignConnection(w *connection) {
	for _, queue := range [...]*[]*exchange{&e.awaitingDial, &e.awaitingCapacity} {
		for len(*queue) > 0 {
			x := (*queue)[0]
			*queue = (*queue)[1:]
			if e.beginExchange(x, w) {
				return
			}
		}
	}
	e.keepIdle(w)
}

// keepIdle lets a connection stand idle, if it may.
func (e *endpoint) keepIdle(w *connection) {
	if len(e.idle) >= e.pool.maxIdleConnections() || e.listed.State == scheduler.Gone {
		e.closeConnection(w)
		return
	}
	w.idleSince = time.Now()
	e.idle = append(e.idle, w)
}

// beginExchange runs an exchange on a connection, if it may still go out; else the exchange ends unsent. Its call
// may have waited for the connection, so all that forbids it is looked at again.
func (e *endpoint) beginExchange(x *exchange, w *connection) bool {
	now := time.Now()
	x.sendDeadline = e.sendDeadline(x)
	if why := e.forbiddenReason(x, now); why != "" {
		e.logNotSent(x, why)
		e.endUnsent(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
		return false
	}
	if !x.probe {
		e.pool.log.Debug("attempt", "id", x.requestID(), "attempt", x.attempt.ID.Number, "worker", e.id, "state", e.listed.State, "idle", x.connectionIdle)
		if !e.listed.NotifiedAt.IsZero() {
			e.pool.log.Info("attempt to a worker that drains", "id", x.requestID(), "attempt", x.attempt.ID.Number, "worker", e.id, "told", now.Sub(e.listed.NotifiedAt))
		}
	}
	x.connection, w.used = w, true
	go e.runExchange(x)
	return true
}

// forbiddenReason tells why an exchange must not be begun any more; empty if it may.
func (e *endpoint) forbiddenReason(x *exchange, now time.Time) string {
	if x.mustNotSend(now) {
		return x.mustNotSendReason(now)
	}
	if x.probe {
		return ""
	}
	switch {
	case x.attempt.ID.Number > 0 && e.pool.RetriesAllowed != nil && !e.pool.RetriesAllowed():
		return "repeats are not allowed now"
	case e.graceOver(e.listed.NotifiedAt, drainMargin, now):
		return "the worker drains or is gone"
	case e.graceOver(e.detachedSince, writeMargin, now):
		return "the worker is out by hand"
	case now.After(x.sendDeadline):
		return "the window for a repeat is nearly over"
	}
	return ""
}

// graceOver tells whether the grace that began then is over, or may be before a write.
func (e *endpoint) graceOver(told time.Time, margin time.Duration, now time.Time) bool {
	return !told.IsZero() && now.After(e.graceEnd(told, margin))
}

// graceEnd gives until when a call may be begun to an endpoint that was told then to drain, or is out by hand since then.
func (e *endpoint) graceEnd(told time.Time, margin time.Duration) time.Time {
	return told.Add(e.pool.settings.Current().Rules.DrainGrace.Duration() - margin)
}

// sendDeadline gives until when an exchange may be begun.
func (e *endpoint) sendDeadline(x *exchange) time.Time {
	latest := x.deadline
	if x.probe {
		return latest
	}
	earlier := func(t time.Time) {
		if t.Before(latest) {
			latest = t
		}
	}
	if by := x.attempt.SendBy; !by.IsZero() {
		earlier(by.Add(-writeMargin))
	}
	if told := e.listed.NotifiedAt; !told.IsZero() {
		earlier(e.graceEnd(told, drainMargin))
	}
	if !e.detachedSince.IsZero() {
		earlier(e.graceEnd(e.detachedSince, writeMargin))
	}
	return latest
}

func (e *endpoint) cancelAttempt(id routing.AttemptID) {
	x := e.attempts[id]
	if x == nil || x.cancelled.Swap(true) {
		return
	}
	if x.connection != nil {
		x.connection.conn.Close() // ends the exchange's reading; how it ended is told there
		return
	}
	for _, queue := range [...]*[]*exchange{&e.awaitingDial, &e.awaitingCapacity} {
		if i := slices.Index(*queue, x); i >= 0 {
			*queue = slices.Delete(*queue, i, i+1)
			e.endUnsent(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
			return
		}
	}
}

// endUnsent ends an exchange that no connection carries.
func (e *endpoint) endUnsent(x *exchange, end routing.AttemptResult) {
	if !x.probe {
		delete(e.attempts, x.attempt.ID)
	}
	e.report(x, end)
}

// closeIdle closes the idle connections whose time had come by then, or all for the zero time.
func (e *endpoint) closeIdle(by time.Time) {
	e.closeIdleWhere(func(w *connection) bool { return by.IsZero() || !by.Before(e.pool.idleDeadline(w.idleSince)) })
}

// closeIdleWhere closes the idle connections that are too old.
func (e *endpoint) closeIdleWhere(old func(*connection) bool) {
	e.idle = slices.DeleteFunc(e.idle, func(w *connection) bool {
		if !old(w) {
			return false
		}
		e.closeConnection(w)
		return true
	})
}

func (e *endpoint) closeConnection(w *connection) {
	w.conn.Close()
	e.pool.releaseConnection()
}

// alive looks, without waiting, whether a peer has closed a connection that was idle: what is written to
// such a one would end as a reset that may have run.
func alive(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	ok := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		ok = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && ok
}
