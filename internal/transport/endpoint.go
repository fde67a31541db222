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
	// probeWithin is how long an endpoint has for a probe, and drainWithin how long for the rest of an
	// answer whose last message has come.
	probeWithin = 300 * time.Millisecond
	drainWithin = time.Second

	// mostAnswer bounds all that one exchange reads: an endpoint that floods ends its own call only.
	mostAnswer = 1 << 20

	// A connection rests for so long behind an answer before it carries a further call: a second answer may come some
	// milliseconds behind the first, and would be taken for that call's.
	restFor = 20 * time.Millisecond
)

// endpoint is the actor of one endpoint. It alone owns the endpoint's connections: a connection is idle
// here, or lent to the one exchange that runs on it.
type endpoint struct {
	fleet *EndpointPool
	id    scheduler.WorkerID
	box   *routing.Mailbox[any]

	// Owned by run.
	dest    routing.Endpoint
	barred  time.Time // since when it is out by hand; zero while it is not
	idle    []*wire   // the longest idle first
	waiting []*exchange
	starved []*exchange                     // for which no connection may be opened yet
	dialing int                             // connections that are being opened; never fewer than exchanges that wait
	calls   map[routing.AttemptID]*exchange // calls without an outcome
}

// wire is a connection with what was read ahead of it.
type wire struct {
	conn  net.Conn
	to    string            // the address it was opened to
	quota *io.LimitedReader // of what in may read
	in    *bufio.Reader
	since time.Time // idle since
	used  bool      // it has carried something
}

// heldBack logs that an attempt does not leave.
func (e *endpoint) heldBack(x *exchange, why string) {
	if !x.probe {
		e.fleet.log.Debug("attempt held back", "id", x.name(), "attempt", x.call.ID.Number, "worker", e.id, "why", why)
	}
}

// The messages of the actor, beside routing.Destination and routing.Call.
type (
	cancel  struct{ id routing.AttemptID }
	drop    struct{ idle time.Duration }
	probe   struct{}
	room    struct{} // for a further connection, perhaps
	overdue struct{} // a call that waits for room may be
	bar     struct{ since time.Time }
	dialed  struct {
		owner *exchange
		wire  *wire
		err   error
	}
	ended struct {
		x     *exchange
		reuse bool
	}
)

func newEndpoint(f *EndpointPool, d routing.Endpoint) *endpoint {
	return &endpoint{fleet: f, id: d.ID, dest: d, box: routing.NewMailbox[any](), calls: map[routing.AttemptID]*exchange{}}
}

func (e *endpoint) run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		if len(e.idle) > 0 {
			alarm.Reset(time.Until(e.fleet.idleUntil(e.idle[0].since)))
		}
		select {
		case <-ctx.Done():
			e.closeIdle(time.Time{})
			return
		case <-e.box.Signal():
		case now := <-alarm.C:
			e.closeIdle(now)
		}
		for _, m := range e.box.Take() {
			e.take(m)
		}
	}
}

func (e *endpoint) take(m any) {
	switch m := m.(type) {
	case routing.Endpoint:
		if m.Address != e.dest.Address || m.StartedAt != e.dest.StartedAt || m.State == scheduler.Gone {
			e.closeIdle(time.Time{}) // they lead to a process that is no more
		}
		e.dest = m
	case routing.Attempt:
		x := &exchange{call: m, deadline: m.Deadline}
		e.calls[m.ID] = x
		e.start(x)
	case probe:
		e.start(&exchange{probe: true, deadline: time.Now().Add(probeWithin)})
	case room:
		if len(e.starved) == 0 {
			e.fleet.pass()
			return
		}
		x := e.starved[0]
		e.starved = e.starved[1:]
		e.start(x)
	case overdue:
		now := time.Now()
		e.starved = slices.DeleteFunc(e.starved, func(x *exchange) bool {
			late := !now.Before(x.deadline)
			if late {
				e.end(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
			}
			return late
		})
	case bar:
		e.barred = m.since
		e.closeIdle(time.Time{}) // it is put out to be restarted
	case cancel:
		e.cancel(m.id)
	case drop:
		now := time.Now()
		e.sweep(func(w *wire) bool { return now.Sub(w.since) >= m.idle })
	case dialed:
		e.dialed(m)
	case ended:
		if !m.x.probe {
			delete(e.calls, m.x.call.ID)
		}
		// One that was cut meanwhile is closed. To wait for this one's rest is no use to who waits for room.
		if m.reuse && !m.x.cut.Load() && m.x.wire.in.Buffered() == 0 && m.x.wire.to == e.dest.Address && len(e.starved) == 0 {
			e.rest(m.x.wire)
		} else {
			e.close(m.x.wire)
		}
	}
}

// start puts an exchange on an idle connection, of those that have rested the one last used first, or opens a new one
// for it.
func (e *endpoint) start(x *exchange) {
	now := time.Now()
	for i := len(e.idle) - 1; i >= 0; i-- {
		w := e.idle[i]
		if w.used && now.Sub(w.since) < restFor {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if now.Before(e.fleet.idleUntil(w.since)) && alive(w.conn) {
			x.idle = now.Sub(w.since)
			if !e.carry(x, w) {
				e.free(w)
			}
			return
		}
		e.close(w)
	}
	if x.void(now) {
		e.end(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if !e.fleet.take(e) {
		// All carry calls. The next that ends gives its place up, which is soon; sent elsewhere, the call would find
		// no connection either and have lost an attempt.
		if len(e.starved) == 0 {
			e.fleet.log.Warn("out of connections, calls wait", "endpoint", e.id, "most", e.fleet.allowed())
		}
		e.starved = append(e.starved, x)
		time.AfterFunc(time.Until(x.deadline), func() { e.box.Post(overdue{}) })
		return
	}
	e.waiting = append(e.waiting, x)
	e.dialing++
	address, until := e.dest.Address, time.Now().Add(e.fleet.params.Current().Limits.ConnectTimeout.Duration())
	if x.deadline.Before(until) {
		until = x.deadline
	}
	go func() {
		conn, err := (&net.Dialer{Deadline: until, KeepAlive: -1}).Dial("tcp", address)
		if err != nil {
			e.fleet.give()
			e.box.Post(dialed{owner: x, err: err})
			return
		}
		quota := &io.LimitedReader{R: conn}
		e.box.Post(dialed{owner: x, wire: &wire{conn: conn, to: address, quota: quota, in: bufio.NewReader(quota)}})
	}()
}

// dialed gives a new connection to whoever has waited longest; the call that it was opened for may have
// found another one.
func (e *endpoint) dialed(m dialed) {
	e.dialing--
	if m.err == nil && m.wire.to == e.dest.Address {
		e.free(m.wire)
		return
	}
	// Whoever is left without a connection to come: the owner, or, where another took the owner's place on
	// the connection of a third, the one that has waited longest. It would wait for ever.
	i := slices.Index(e.waiting, m.owner)
	if i < 0 && len(e.waiting) > e.dialing {
		i = 0
	}
	if m.err == nil { // the endpoint has moved meanwhile
		e.close(m.wire)
	}
	if i < 0 {
		return
	}
	x := e.waiting[i]
	e.waiting = slices.Delete(e.waiting, i, i+1)
	if m.err == nil {
		e.start(x)
		return
	}
	out := scheduler.NoConnect
	if errors.Is(m.err, syscall.EMFILE) || errors.Is(m.err, syscall.ENFILE) || errors.Is(m.err, syscall.EADDRNOTAVAIL) {
		out = scheduler.NeverSent // this process's fault, not the endpoint's
	}
	e.end(x, routing.AttemptResult{Outcome: out})
}

// free takes a connection that carries nothing: it serves whoever waits, or stands idle.
func (e *endpoint) free(w *wire) {
	for _, queue := range [...]*[]*exchange{&e.waiting, &e.starved} {
		for len(*queue) > 0 {
			x := (*queue)[0]
			*queue = (*queue)[1:]
			if e.carry(x, w) {
				return
			}
		}
	}
	e.rest(w)
}

// rest lets a connection stand idle, if it may.
func (e *endpoint) rest(w *wire) {
	if len(e.idle) >= e.fleet.idleMost() || e.dest.State == scheduler.Gone {
		e.close(w)
		return
	}
	w.since = time.Now()
	e.idle = append(e.idle, w)
}

// carry runs an exchange on a connection, if it may still go out; else the exchange ends unsent. Its call
// may have waited for the connection, so all that forbids it is looked at again.
func (e *endpoint) carry(x *exchange, w *wire) bool {
	now := time.Now()
	x.latest = e.latest(x)
	if why := e.forbidden(x, now); why != "" {
		e.heldBack(x, why)
		e.end(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
		return false
	}
	if !x.probe {
		e.fleet.log.Debug("attempt", "id", x.name(), "attempt", x.call.ID.Number, "worker", e.id, "state", e.dest.State, "idle", x.idle)
		if !e.dest.NotifiedAt.IsZero() {
			e.fleet.log.Info("attempt to a worker that drains", "id", x.name(), "attempt", x.call.ID.Number, "worker", e.id, "told", now.Sub(e.dest.NotifiedAt))
		}
	}
	x.wire, w.used = w, true
	go e.exchange(x)
	return true
}

// forbidden tells why an exchange must not be begun any more; empty if it may.
func (e *endpoint) forbidden(x *exchange, now time.Time) string {
	if x.void(now) {
		return x.voidBecause(now)
	}
	if x.probe {
		return ""
	}
	switch {
	case x.call.ID.Number > 0 && e.fleet.RetriesAllowed != nil && !e.fleet.RetriesAllowed():
		return "repeats are not allowed now"
	case e.past(e.dest.NotifiedAt, drainMargin, now):
		return "the worker drains or is gone"
	case e.past(e.barred, writeMargin, now):
		return "the worker is out by hand"
	case now.After(x.latest):
		return "the window for a repeat is nearly over"
	}
	return ""
}

// past tells whether the grace that began then is over, or may be before a write.
func (e *endpoint) past(told time.Time, margin time.Duration, now time.Time) bool {
	return !told.IsZero() && now.After(e.graceEnd(told, margin))
}

// graceEnd gives until when a call may be begun to an endpoint that was told then to drain, or is out by hand since then.
func (e *endpoint) graceEnd(told time.Time, margin time.Duration) time.Time {
	return told.Add(e.fleet.params.Current().Rules.DrainGrace.Duration() - margin)
}

// latest gives until when an exchange may be begun.
func (e *endpoint) latest(x *exchange) time.Time {
	latest := x.deadline
	if x.probe {
		return latest
	}
	earlier := func(t time.Time) {
		if t.Before(latest) {
			latest = t
		}
	}
	if by := x.call.SendBy; !by.IsZero() {
		earlier(by.Add(-writeMargin))
	}
	if told := e.dest.NotifiedAt; !told.IsZero() {
		earlier(e.graceEnd(told, drainMargin))
	}
	if !e.barred.IsZero() {
		earlier(e.graceEnd(e.barred, writeMargin))
	}
	return latest
}

func (e *endpoint) cancel(id routing.AttemptID) {
	x := e.calls[id]
	if x == nil || x.cut.Swap(true) {
		return
	}
	if x.wire != nil {
		x.wire.conn.Close() // ends the exchange's reading; how it ended is told there
		return
	}
	for _, queue := range [...]*[]*exchange{&e.waiting, &e.starved} {
		if i := slices.Index(*queue, x); i >= 0 {
			*queue = slices.Delete(*queue, i, i+1)
			e.end(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
			return
		}
	}
}

// end ends an exchange that no connection carries.
func (e *endpoint) end(x *exchange, end routing.AttemptResult) {
	if !x.probe {
		delete(e.calls, x.call.ID)
	}
	e.tell(x, end)
}

// closeIdle closes the idle connections whose time had come by then, or all for the zero time.
func (e *endpoint) closeIdle(by time.Time) {
	e.sweep(func(w *wire) bool { return by.IsZero() || !by.Before(e.fleet.idleUntil(w.since)) })
}

// sweep closes the idle connections that are too old.
func (e *endpoint) sweep(old func(*wire) bool) {
	e.idle = slices.DeleteFunc(e.idle, func(w *wire) bool {
		if !old(w) {
			return false
		}
		e.close(w)
		return true
	})
}

func (e *endpoint) close(w *wire) {
	w.conn.Close()
	e.fleet.give()
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
