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
	probeTimeout = 300 * time.Millisecond
	drainTimeout = time.Second

	// maxResponseBytes bounds all that one exchange reads: an endpoint that floods ends its own call only.
	maxResponseBytes = 1 << 20

	// A connection rests for so long behind an answer before it carries a further call: a second answer may come some
	// milliseconds behind the first, and would be taken for that call's.
	reuseDelay = 20 * time.Millisecond
)

// endpoint is the actor of one endpoint. It alone owns the endpoint's connections: a connection is idle
// here, or lent to the one exchange that runs on it.
type endpoint struct {
	pool    *EndpointPool
	id      scheduler.WorkerID
	mailbox *routing.Mailbox[any]

	// Owned by run.
	listed             routing.Endpoint
	detachedSince      time.Time     // since when it is out by hand; zero while it is not
	idle               []*workerConn // the longest idle first
	waitingForDial     []*exchange
	waitingForCapacity []*exchange                     // for which no connection may be opened yet
	dialing            int                             // connections that are being opened; never fewer than exchanges that wait
	exchanges          map[routing.AttemptID]*exchange // calls without an outcome
}

// workerConn is a connection with what was read ahead of it.
type workerConn struct {
	conn      net.Conn
	address   string            // the address it was opened to
	readLimit *io.LimitedReader // of what in may read
	reader    *bufio.Reader
	idleSince time.Time // idle since
	wasUsed   bool      // it has carried something
}

// logNotSent logs that an attempt does not leave.
func (e *endpoint) logNotSent(x *exchange, why string) {
	if !x.isProbe {
		e.pool.log.Debug("attempt held back", "id", x.requestID(), "attempt", x.attempt.ID.Number, "worker", e.id, "why", why)
	}
}

// The messages of the actor, beside routing.Destination and routing.Call.
type (
	cancelAttempt        struct{ id routing.AttemptID }
	closeIdleConns       struct{ minIdle time.Duration }
	startProbe           struct{}
	capacityFreed        struct{} // for a further connection, perhaps
	capacityWaitTimedOut struct{} // a call that waits for room may be
	setDetached          struct{ since time.Time }
	dialCompleted        struct {
		owner *exchange
		conn  *workerConn
		err   error
	}
	exchangeEnded struct {
		exchange *exchange
		reusable bool
	}
)

func newEndpoint(f *EndpointPool, d routing.Endpoint) *endpoint {
	return &endpoint{pool: f, id: d.ID, listed: d, mailbox: routing.NewMailbox[any](), exchanges: map[routing.AttemptID]*exchange{}}
}

func (e *endpoint) run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		if len(e.idle) > 0 {
			alarm.Reset(time.Until(e.pool.idleExpiry(e.idle[0].idleSince)))
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
			e.handle(m)
		}
	}
}

func (e *endpoint) handle(m any) {
	switch m := m.(type) {
	case routing.Endpoint:
		if m.Address != e.listed.Address || m.StartedAt != e.listed.StartedAt || m.State == scheduler.Gone {
			e.closeIdle(time.Time{}) // they lead to a process that is no more
		}
		e.listed = m
	case routing.Attempt:
		x := &exchange{attempt: m, deadline: m.Deadline}
		e.exchanges[m.ID] = x
		e.startExchange(x)
	case startProbe:
		e.startExchange(&exchange{isProbe: true, deadline: time.Now().Add(probeTimeout)})
	case capacityFreed:
		if len(e.waitingForCapacity) == 0 {
			e.pool.passOnCapacity()
			return
		}
		x := e.waitingForCapacity[0]
		e.waitingForCapacity = e.waitingForCapacity[1:]
		e.startExchange(x)
	case capacityWaitTimedOut:
		now := time.Now()
		e.waitingForCapacity = slices.DeleteFunc(e.waitingForCapacity, func(x *exchange) bool {
			late := !now.Before(x.deadline)
			if late {
				e.finishUnsent(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
			}
			return late
		})
	case setDetached:
		e.detachedSince = m.since
		e.closeIdle(time.Time{}) // it is put out to be restarted
	case cancelAttempt:
		e.cancel(m.id)
	case closeIdleConns:
		now := time.Now()
		e.closeIdleIf(func(w *workerConn) bool { return now.Sub(w.idleSince) >= m.minIdle })
	case dialCompleted:
		e.handleDialCompleted(m)
	case exchangeEnded:
		if !m.exchange.isProbe {
			delete(e.exchanges, m.exchange.attempt.ID)
		}
		// One that was cut meanwhile is closed. To wait for this one's rest is no use to who waits for room.
		if m.reusable && !m.exchange.cancelled.Load() && m.exchange.conn.reader.Buffered() == 0 && m.exchange.conn.address == e.listed.Address && len(e.waitingForCapacity) == 0 {
			e.addIdle(m.exchange.conn)
		} else {
			e.closeConn(m.exchange.conn)
		}
	}
}

// startExchange puts an exchange on an idle connection, of those that have rested the one last used first, or opens a new one
// for it.
func (e *endpoint) startExchange(x *exchange) {
	now := time.Now()
	for i := len(e.idle) - 1; i >= 0; i-- {
		w := e.idle[i]
		if w.wasUsed && now.Sub(w.idleSince) < reuseDelay {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if now.Before(e.pool.idleExpiry(w.idleSince)) && isStillOpen(w.conn) {
			x.connIdle = now.Sub(w.idleSince)
			if !e.assign(x, w) {
				e.release(w)
			}
			return
		}
		e.closeConn(w)
	}
	if x.mustNotStart(now) {
		e.finishUnsent(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if !e.pool.reserveConn(e) {
		// All carry calls. The next that ends gives its place up, which is soon; sent elsewhere, the call would find
		// no connection either and have lost an attempt.
		if len(e.waitingForCapacity) == 0 {
			e.pool.log.Warn("out of connections, calls wait", "endpoint", e.id, "most", e.pool.connectionLimit())
		}
		e.waitingForCapacity = append(e.waitingForCapacity, x)
		time.AfterFunc(time.Until(x.deadline), func() { e.mailbox.Post(capacityWaitTimedOut{}) })
		return
	}
	e.waitingForDial = append(e.waitingForDial, x)
	e.dialing++
	address, until := e.listed.Address, time.Now().Add(e.pool.settings.Current().Limits.ConnectTimeout.Duration())
	if x.deadline.Before(until) {
		until = x.deadline
	}
	go func() {
		conn, err := (&net.Dialer{Deadline: until, KeepAlive: -1}).Dial("tcp", address)
		if err != nil {
			e.pool.releaseConn()
			e.mailbox.Post(dialCompleted{owner: x, err: err})
			return
		}
		quota := &io.LimitedReader{R: conn}
		e.mailbox.Post(dialCompleted{owner: x, conn: &workerConn{conn: conn, address: address, readLimit: quota, reader: bufio.NewReader(quota)}})
	}()
}

// handleDialCompleted gives a new connection to whoever has waited longest; the call that it was opened for may have
// found another one.
func (e *endpoint) handleDialCompleted(m dialCompleted) {
	e.dialing--
	if m.err == nil && m.conn.address == e.listed.Address {
		e.release(m.conn)
		return
	}
	// Whoever is left without a connection to come: the owner, or, where another took the owner's place on
	// the connection of a third, the one that has waited longest. It would wait for ever.
	i := slices.Index(e.waitingForDial, m.owner)
	if i < 0 && len(e.waitingForDial) > e.dialing {
		i = 0
	}
	if m.err == nil { // the endpoint has moved meanwhile
		e.closeConn(m.conn)
	}
	if i < 0 {
		return
	}
	x := e.waitingForDial[i]
	e.waitingForDial = slices.Delete(e.waitingForDial, i, i+1)
	if m.err == nil {
		e.startExchange(x)
		return
	}
	out := scheduler.NoConnect
	if errors.Is(m.err, syscall.EMFILE) || errors.Is(m.err, syscall.ENFILE) || errors.Is(m.err, syscall.EADDRNOTAVAIL) {
		out = scheduler.NeverSent // this process's fault, not the endpoint's
	}
	e.finishUnsent(x, routing.AttemptResult{Outcome: out})
}

// release takes a connection that carries nothing: it serves whoever waits, or stands idle.
func (e *endpoint) release(w *workerConn) {
	for _, queue := range [...]*[]*exchange{&e.waitingForDial, &e.waitingForCapacity} {
		for len(*queue) > 0 {
			x := (*queue)[0]
			*queue = (*queue)[1:]
			if e.assign(x, w) {
				return
			}
		}
	}
	e.addIdle(w)
}

// addIdle lets a connection stand idle, if it may.
func (e *endpoint) addIdle(w *workerConn) {
	if len(e.idle) >= e.pool.maxIdleConns() || e.listed.State == scheduler.Gone {
		e.closeConn(w)
		return
	}
	w.idleSince = time.Now()
	e.idle = append(e.idle, w)
}

// assign runs an exchange on a connection, if it may still go out; else the exchange ends unsent. Its call
// may have waited for the connection, so all that forbids it is looked at again.
func (e *endpoint) assign(x *exchange, w *workerConn) bool {
	now := time.Now()
	x.startBy = e.latestStart(x)
	if why := e.reasonNotToSend(x, now); why != "" {
		e.logNotSent(x, why)
		e.finishUnsent(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
		return false
	}
	if !x.isProbe {
		e.pool.log.Debug("attempt", "id", x.requestID(), "attempt", x.attempt.ID.Number, "worker", e.id, "state", e.listed.State, "idle", x.connIdle)
		if !e.listed.NotifiedAt.IsZero() {
			e.pool.log.Info("attempt to a worker that drains", "id", x.requestID(), "attempt", x.attempt.ID.Number, "worker", e.id, "told", now.Sub(e.listed.NotifiedAt))
		}
	}
	x.conn, w.wasUsed = w, true
	go e.runExchange(x)
	return true
}

// reasonNotToSend tells why an exchange must not be begun any more; empty if it may.
func (e *endpoint) reasonNotToSend(x *exchange, now time.Time) string {
	if x.mustNotStart(now) {
		return x.mustNotStartReason(now)
	}
	if x.isProbe {
		return ""
	}
	switch {
	case x.attempt.ID.Number > 0 && e.pool.RetriesAllowed != nil && !e.pool.RetriesAllowed():
		return "repeats are not allowed now"
	case e.gracePeriodOver(e.listed.NotifiedAt, drainGraceMargin, now):
		return "the worker drains or is gone"
	case e.gracePeriodOver(e.detachedSince, writeMargin, now):
		return "the worker is out by hand"
	case now.After(x.startBy):
		return "the window for a repeat is nearly over"
	}
	return ""
}

// gracePeriodOver tells whether the grace that began then is over, or may be before a write.
func (e *endpoint) gracePeriodOver(told time.Time, margin time.Duration, now time.Time) bool {
	return !told.IsZero() && now.After(e.graceEnd(told, margin))
}

// graceEnd gives until when a call may be begun to an endpoint that was told then to drain, or is out by hand since then.
func (e *endpoint) graceEnd(told time.Time, margin time.Duration) time.Time {
	return told.Add(e.pool.settings.Current().Rules.DrainGrace.Duration() - margin)
}

// latestStart gives until when an exchange may be begun.
func (e *endpoint) latestStart(x *exchange) time.Time {
	latest := x.deadline
	if x.isProbe {
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
		earlier(e.graceEnd(told, drainGraceMargin))
	}
	if !e.detachedSince.IsZero() {
		earlier(e.graceEnd(e.detachedSince, writeMargin))
	}
	return latest
}

func (e *endpoint) cancel(id routing.AttemptID) {
	x := e.exchanges[id]
	if x == nil || x.cancelled.Swap(true) {
		return
	}
	if x.conn != nil {
		x.conn.conn.Close() // ends the exchange's reading; how it ended is told there
		return
	}
	for _, queue := range [...]*[]*exchange{&e.waitingForDial, &e.waitingForCapacity} {
		if i := slices.Index(*queue, x); i >= 0 {
			*queue = slices.Delete(*queue, i, i+1)
			e.finishUnsent(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
			return
		}
	}
}

// finishUnsent ends an exchange that no connection carries.
func (e *endpoint) finishUnsent(x *exchange, end routing.AttemptResult) {
	if !x.isProbe {
		delete(e.exchanges, x.attempt.ID)
	}
	e.reportResult(x, end)
}

// closeIdle closes the idle connections whose time had come by then, or all for the zero time.
func (e *endpoint) closeIdle(by time.Time) {
	e.closeIdleIf(func(w *workerConn) bool { return by.IsZero() || !by.Before(e.pool.idleExpiry(w.idleSince)) })
}

// closeIdleIf closes the idle connections that are too old.
func (e *endpoint) closeIdleIf(old func(*workerConn) bool) {
	e.idle = slices.DeleteFunc(e.idle, func(w *workerConn) bool {
		if !old(w) {
			return false
		}
		e.closeConn(w)
		return true
	})
}

func (e *endpoint) closeConn(w *workerConn) {
	w.conn.Close()
	e.pool.releaseConn()
}

// isStillOpen looks, without waiting, whether a peer has closed a connection that was idle: what is written to
// such a one would end as a reset that may have run.
func isStillOpen(conn net.Conn) bool {
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
