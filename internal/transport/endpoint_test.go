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
func newIdle(t *testing.T, told time.Time) (*endpoint, sink, *wire, net.Conn) {
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
	return e, ends, &wire{conn: here, quota: quota, in: bufio.NewReader(quota)}, there
}

func newExchange(deadline time.Time) *exchange {
	return &exchange{call: routing.Attempt{Job: &protocol.Job{ID: "1", Method: "POST", Target: "/", Deadline: deadline}}, deadline: deadline}
}

// Two calls wait; the connection of the second comes first and carries the first call, then the first's
// own fails. The second call has none to come: it once waited for ever, and was never ended.
func TestFailedConnectionOfAnother(t *testing.T) {
	e, ends, w, there := newIdle(t, time.Time{})
	first, second := newExchange(time.Now().Add(time.Hour)), newExchange(time.Now().Add(time.Hour))
	e.waiting, e.dialing = []*exchange{first, second}, 2
	e.take(dialed{owner: second, wire: w})
	if first.wire != w {
		t.Fatal("the call that waited longest is not on the connection")
	}
	e.take(dialed{owner: first, err: io.EOF})
	if o := <-ends; o != scheduler.NoConnect || len(e.waiting) != 0 {
		t.Errorf("ended as %v, %d wait", o, len(e.waiting))
	}
	there.Close()
	<-ends // the first call's, on a connection that broke
}

// A call that waited for its connection is looked at again before its first byte: what was called off,
// overdue or drained meanwhile does not go out, and nothing of it is written.
func TestLookBeforeFirstByte(t *testing.T) {
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
		x.cut.Store(c.cut)
		x.call.SendBy, x.call.ClientGone = c.by, func() bool { return c.gone }
		e.waiting = append(e.waiting, x)
		e.free(w)
		if c.sent {
			if _, err := bufio.NewReader(there).ReadByte(); err != nil {
				t.Errorf("%s: nothing written: %v", name, err)
			}
			there.Close()
			if o := <-ends; o != scheduler.Reset && o != scheduler.NoConnect {
				t.Errorf("%s: ended as %v", name, o)
			}
		} else if o := <-ends; o != scheduler.NeverSent || len(e.idle) != 1 || x.wire != nil {
			t.Errorf("%s: ended as %v, %d idle connections", name, o, len(e.idle))
		}
	}
}

// Of the idle connections those are dropped that stood idle too long.
func TestDropByIdleTime(t *testing.T) {
	e, _, old, _ := newIdle(t, time.Time{})
	_, _, young, _ := newIdle(t, time.Time{})
	now := time.Now()
	old.since, young.since = now.Add(-time.Minute), now
	e.idle = []*wire{old, young}
	if e.take(drop{time.Second}); len(e.idle) != 1 || e.idle[0] != young {
		t.Fatalf("%d connections left", len(e.idle))
	}
}

// While all connections that may be open carry calls, a further call waits for one to end; it is not lost, nor an
// attempt of its job. Idle connections elsewhere make room at once, and who waits too long ends unsent.
func TestOutOfConnections(t *testing.T) {
	e, ends, _, _ := newIdle(t, time.Time{})
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a connection that never came up would be given back at any moment
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	e.dest.Address = ln.Addr().String()
	f := e.fleet
	f.members["other"], f.members["this"] = newEndpoint(f, routing.Endpoint{}), e
	f.SetConnectionLimit(1)
	if !f.take(e) {
		t.Fatal("no room for the first")
	}
	waits, late := newExchange(time.Now().Add(time.Hour)), newExchange(time.Now().Add(-time.Hour))
	e.start(waits)
	e.start(late)
	if o := <-ends; o != scheduler.NeverSent || len(e.starved) != 1 || len(ends) != 0 {
		t.Errorf("the overdue call ended as %v; %d wait, %d more ends", o, len(e.starved), len(ends))
	}
	if got := f.members["other"].box.Take(); len(got) != 1 || got[0] != any(drop{0}) {
		t.Errorf("the other endpoint was told %v", got)
	}
	e.box.Take()
	f.give()
	for _, m := range e.box.Take() {
		e.take(m)
	}
	if len(e.starved) != 0 || f.OpenConnections() != 1 || len(e.waiting) != 1 {
		t.Errorf("%d still wait with room, %d held", len(e.starved), f.OpenConnections())
	}
}

// A call is called off after its exchange has ended well and before the actor has its connection back: that is closed, and
// must not stand idle, nor carry whoever waits. One that was not called off rests.
func TestCutBehindItsEnd(t *testing.T) {
	for _, cut := range []bool{true, false} {
		e, _, w, _ := newIdle(t, time.Time{})
		x := newExchange(time.Now().Add(time.Hour))
		x.wire = w
		e.calls[x.call.ID] = x
		if cut {
			e.cancel(x.call.ID)
		}
		waits := newExchange(time.Now().Add(time.Hour))
		e.waiting, e.dialing = []*exchange{waits}, 1
		if e.take(ended{x, true}); waits.wire != nil || cut != (len(e.idle) == 0) {
			t.Errorf("called off %v: %d idle, carries who waits: %v", cut, len(e.idle), waits.wire != nil)
		}
	}
}
