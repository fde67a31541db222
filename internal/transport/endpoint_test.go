package transport

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// sink takes the ends of calls.
type sink chan scheduler.Outcome

func (sink) AttemptStarted(routing.AttemptID)                                                {}
func (sink) AttemptSent()                                                                    {}
func (sink) AttemptProgressed(routing.AttemptID, float64)                                    {}
func (s sink) AttemptFinished(_ routing.AttemptID, e routing.AttemptResult)                  { s <- e.Outcome }
func (s sink) ProbeCompleted(_ scheduler.WorkerID, o scheduler.Outcome, _ *scheduler.Report) { s <- o }

// newIdle makes an endpoint's actor that does not run, and a wire for it with its far end.
func newIdle(t *testing.T, told time.Time) (*endpoint, sink, *workerConn, net.Conn) {
	p := &protocol.Settings{}
	p.Limits.ConnectTimeout = protocol.Micros(time.Minute / time.Microsecond)
	p.Rules.DrainGrace = 500000
	ends := make(sink, 4)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	live := &protocol.LiveSettings{}
	live.Replace(p, func(scheduler.Settings) {})
	e := newEndpoint(NewEndpointPool(context.Background(), live, ends, log), routing.Endpoint{NotifiedAt: told})
	here, there := net.Pipe()
	t.Cleanup(func() { here.Close(); there.Close() })
	quota := &io.LimitedReader{R: here}
	return e, ends, &workerConn{conn: here, readLimit: quota, reader: bufio.NewReader(quota)}, there
}

func newExchange(deadline time.Time) *workerExchange {
	return &workerExchange{attempt: routing.Attempt{Job: &protocol.Job{ID: "1", Method: "POST", Target: "/", Deadline: deadline}}, deadline: deadline}
}

// Two calls wait; the connection of the second comes first and carries the first call, then the first's
// own fails. The second call has none to come: it once waited for ever, and was never ended.
func TestFailedDialOfAnother(t *testing.T) {
	e, ends, w, there := newIdle(t, time.Time{})
	first, second := newExchange(time.Now().Add(time.Hour)), newExchange(time.Now().Add(time.Hour))
	e.waitingForDial, e.dialing = []*workerExchange{first, second}, 2
	e.handle(dialCompleted{exchange: second, conn: w})
	if first.conn != w {
		t.Fatal("the call that waited longest is not on the connection")
	}
	e.handle(dialCompleted{exchange: first, err: io.EOF})
	if o := <-ends; o != scheduler.NoConnect || len(e.waitingForDial) != 0 {
		t.Errorf("ended as %v, %d wait", o, len(e.waitingForDial))
	}
	there.Close()
	<-ends // the first call's, on a connection that broke
}

// A call that waited for its connection is looked at again before its first byte: what was called off,
// overdue or drained meanwhile does not go out, and nothing of it is written.
func TestChecksBeforeFirstByte(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		told, deadline, by time.Time
		cut, gone, sent    bool
	}{
		"may go":          {deadline: now.Add(time.Hour), sent: true},
		"told just now":   {told: now, deadline: now.Add(time.Hour), sent: true},
		"told 500 ms ago": {told: now.Add(-500 * time.Millisecond), deadline: now.Add(time.Hour)},
		"overdue":         {deadline: now},
		"called off":      {deadline: now.Add(time.Hour), cut: true},
		"its client left": {deadline: now.Add(time.Hour), gone: true},
		"window over":     {deadline: now.Add(time.Hour), by: now},
		"window open":     {deadline: now.Add(time.Hour), by: now.Add(time.Hour), sent: true},
	} {
		e, ends, w, there := newIdle(t, c.told)
		x := newExchange(c.deadline)
		x.cancelled.Store(c.cut)
		x.attempt.SendBy, x.attempt.ClientGone = c.by, func() bool { return c.gone }
		e.waitingForDial = append(e.waitingForDial, x)
		e.release(w)
		if c.sent {
			if _, err := bufio.NewReader(there).ReadByte(); err != nil {
				t.Errorf("%s: nothing written: %v", name, err)
			}
			there.Close()
			if o := <-ends; o != scheduler.Reset && o != scheduler.NoConnect {
				t.Errorf("%s: ended as %v", name, o)
			}
		} else if o := <-ends; o != scheduler.NeverSent || len(e.idleConns) != 1 || x.conn != nil {
			t.Errorf("%s: ended as %v, %d idle connections", name, o, len(e.idleConns))
		}
	}
}

// Of the idle connections those are dropped that stood idle too long.
func TestCloseIdleByIdleTime(t *testing.T) {
	e, _, old, _ := newIdle(t, time.Time{})
	_, _, young, _ := newIdle(t, time.Time{})
	now := time.Now()
	old.idleSince, young.idleSince = now.Add(-time.Minute), now
	e.idleConns = []*workerConn{old, young}
	if e.handle(closeIdleConns{time.Second}); len(e.idleConns) != 1 || e.idleConns[0] != young {
		t.Fatalf("%d connections left", len(e.idleConns))
	}
}

// While all connections that may be open carry calls, a further call waits for one to end; it is not lost, nor an
// attempt of its job. Idle connections elsewhere make room at once, and who waits too long ends unsent.
func TestWaitsForConnectionLimit(t *testing.T) {
	e, ends, _, _ := newIdle(t, time.Time{})
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a connection that never came up would be given back at any moment
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	e.listed.Address = ln.Addr().String()
	f := e.pool
	f.endpoints["other"], f.endpoints["this"] = newEndpoint(f, routing.Endpoint{}), e
	f.SetConnectionLimit(1)
	if !f.reserveConn(e) {
		t.Fatal("no room for the first")
	}
	waits, late := newExchange(time.Now().Add(time.Hour)), newExchange(time.Now().Add(-time.Hour))
	e.startExchange(waits)
	e.startExchange(late)
	if o := <-ends; o != scheduler.NeverSent || len(e.waitingForCapacity) != 1 || len(ends) != 0 {
		t.Errorf("the overdue call ended as %v; %d wait, %d more ends", o, len(e.waitingForCapacity), len(ends))
	}
	if got := f.endpoints["other"].mailbox.Take(); len(got) != 1 || got[0] != any(closeIdleConns{0}) {
		t.Errorf("the other endpoint was told %v", got)
	}
	e.mailbox.Take()
	f.releaseConn()
	for _, m := range e.mailbox.Take() {
		e.handle(m)
	}
	if len(e.waitingForCapacity) != 0 || f.OpenConnections() != 1 || len(e.waitingForDial) != 1 {
		t.Errorf("%d still wait with room, %d held", len(e.waitingForCapacity), f.OpenConnections())
	}
}

// A call is called off after its exchange has ended well and before the actor has its connection back: that is closed, and
// must not stand idle, nor carry whoever waits. One that was not called off rests.
func TestCancelledAfterItsEnd(t *testing.T) {
	for _, cut := range []bool{true, false} {
		e, _, w, _ := newIdle(t, time.Time{})
		x := newExchange(time.Now().Add(time.Hour))
		x.conn = w
		e.exchanges[x.attempt.ID] = x
		if cut {
			e.cancel(x.attempt.ID)
		}
		waits := newExchange(time.Now().Add(time.Hour))
		e.waitingForDial, e.dialing = []*workerExchange{waits}, 1
		if e.handle(exchangeEnded{x, true}); waits.conn != nil || cut != (len(e.idleConns) == 0) {
			t.Errorf("called off %v: %d idle, carries who waits: %v", cut, len(e.idleConns), waits.conn != nil)
		}
	}
}
