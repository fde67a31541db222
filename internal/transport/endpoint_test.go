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

// sink is a Sink that receives the outcomes of attempts and probes.
type sink chan scheduler.Outcome

func (sink) AttemptStarted(routing.AttemptID)                                                {}
func (sink) AttemptSent()                                                                    {}
func (sink) AttemptProgressed(routing.AttemptID, float64)                                    {}
func (s sink) AttemptFinished(_ routing.AttemptID, e routing.AttemptResult)                  { s <- e.Outcome }
func (s sink) ProbeCompleted(_ scheduler.WorkerID, o scheduler.Outcome, _ *scheduler.Report) { s <- o }

// newIdle returns an endpoint whose actor does not run, and a connection for it with its far end.
func newIdle(t *testing.T, notifiedAt time.Time) (*endpoint, sink, *workerConn, net.Conn) {
	settings := &protocol.Settings{}
	settings.Limits.ConnectTimeout = protocol.Micros(time.Minute / time.Microsecond)
	settings.Rules.DrainGrace = 500000
	ends := make(sink, 4)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	live := &protocol.LiveSettings{}
	live.Replace(settings, func(scheduler.Settings) {})
	actor := newEndpoint(NewEndpointPool(context.Background(), live, ends, log), routing.Endpoint{NotifiedAt: notifiedAt})
	here, there := net.Pipe()
	t.Cleanup(func() { here.Close(); there.Close() })
	return actor, ends, newWorkerConn(here, ""), there
}

func newExchange(deadline time.Time) *workerExchange {
	return &workerExchange{attempt: routing.Attempt{Job: &protocol.Job{ID: "1", Method: "POST", Target: "/", Deadline: deadline}}, deadline: deadline}
}

// Two attempts wait. The dial for the second completes first, and its connection is assigned to the first attempt; then the dial
// for the first fails. No dial is in progress for the second attempt, so it must end.
func TestFailedDialOfAnother(t *testing.T) {
	actor, ends, conn, there := newIdle(t, time.Time{})
	first, second := newExchange(time.Now().Add(time.Hour)), newExchange(time.Now().Add(time.Hour))
	actor.waitingForDial, actor.dialing = []*workerExchange{first, second}, 2
	actor.handle(dialCompleted{exchange: second, conn: conn})
	if first.conn != conn {
		t.Fatal("the connection is not assigned to the attempt that waited longest")
	}
	actor.handle(dialCompleted{exchange: first, err: io.EOF})
	if o := <-ends; o != scheduler.NoConnect || len(actor.waitingForDial) != 0 {
		t.Errorf("ended as %v, %d wait", o, len(actor.waitingForDial))
	}
	there.Close()
	<-ends // the first attempt's, on a connection that broke
}

// An attempt that waited for its connection is checked again before its first byte: if it was cancelled, its deadline passed, its
// client left, its deduplication window ended or the worker's grace period ended meanwhile, nothing of it is written.
func TestChecksBeforeFirstByte(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		notifiedAt, deadline, sendBy time.Time
		cancelled, clientGone, sent  bool
	}{
		"may be sent":         {deadline: now.Add(time.Hour), sent: true},
		"notified just now":   {notifiedAt: now, deadline: now.Add(time.Hour), sent: true},
		"notified 500 ms ago": {notifiedAt: now.Add(-500 * time.Millisecond), deadline: now.Add(time.Hour)},
		"deadline passed":     {deadline: now},
		"cancelled":           {deadline: now.Add(time.Hour), cancelled: true},
		"client gone":         {deadline: now.Add(time.Hour), clientGone: true},
		"window over":         {deadline: now.Add(time.Hour), sendBy: now},
		"window open":         {deadline: now.Add(time.Hour), sendBy: now.Add(time.Hour), sent: true},
	} {
		actor, ends, conn, there := newIdle(t, test.notifiedAt)
		exchange := newExchange(test.deadline)
		exchange.cancelled.Store(test.cancelled)
		exchange.attempt.SendBy, exchange.attempt.ClientGone = test.sendBy, func() bool { return test.clientGone }
		actor.waitingForDial = append(actor.waitingForDial, exchange)
		actor.release(conn)
		if test.sent {
			if _, err := bufio.NewReader(there).ReadByte(); err != nil {
				t.Errorf("%s: nothing written: %v", name, err)
			}
			there.Close()
			if o := <-ends; o != scheduler.Reset && o != scheduler.NoConnect {
				t.Errorf("%s: ended as %v", name, o)
			}
		} else if o := <-ends; o != scheduler.NeverSent || len(actor.idleConns) != 1 || exchange.conn != nil {
			t.Errorf("%s: ended as %v, %d idle connections", name, o, len(actor.idleConns))
		}
	}
}

// CloseIdle closes those connections that have been idle for the given time.
func TestCloseIdleByIdleTime(t *testing.T) {
	actor, _, old, _ := newIdle(t, time.Time{})
	_, _, young, _ := newIdle(t, time.Time{})
	now := time.Now()
	old.idleSince, young.idleSince = now.Add(-time.Minute), now
	actor.idleConns = []*workerConn{old, young}
	if actor.handle(closeIdleConns{time.Second}); len(actor.idleConns) != 1 || actor.idleConns[0] != young {
		t.Fatalf("%d connections left", len(actor.idleConns))
	}
}

// At the connection limit, a further attempt waits for a connection to be closed. Other endpoints close their idle connections
// at once. An attempt that waits beyond its deadline ends as NeverSent.
func TestWaitsForConnectionLimit(t *testing.T) {
	actor, ends, _, _ := newIdle(t, time.Time{})
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a failed dial would release its capacity at any moment
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	actor.listed.Address = ln.Addr().String()
	pool := actor.pool
	pool.endpoints["other"], pool.endpoints["this"] = newEndpoint(pool, routing.Endpoint{}), actor
	pool.SetWorkerConnLimit(1)
	if !pool.reserveConn(actor) {
		t.Fatal("no capacity for the first connection")
	}
	waiting, late := newExchange(time.Now().Add(time.Hour)), newExchange(time.Now().Add(-time.Hour))
	actor.startExchange(waiting)
	actor.startExchange(late)
	if o := <-ends; o != scheduler.NeverSent || len(actor.waitingForCapacity) != 1 || len(ends) != 0 {
		t.Errorf("the late attempt ended as %v; %d wait, %d more results", o, len(actor.waitingForCapacity), len(ends))
	}
	if got := pool.endpoints["other"].mailbox.Take(); len(got) != 1 || got[0] != any(closeIdleConns{0}) {
		t.Errorf("the other endpoint received %v", got)
	}
	actor.mailbox.Take()
	pool.releaseConn()
	for _, m := range actor.mailbox.Take() {
		actor.handle(m)
	}
	if len(actor.waitingForCapacity) != 0 || pool.OpenConnections() != 1 || len(actor.waitingForDial) != 1 {
		t.Errorf("%d still wait for capacity, %d connections", len(actor.waitingForCapacity), pool.OpenConnections())
	}
}

// An attempt is cancelled after its exchange has ended well and before the actor has its connection back: the connection is closed,
// and must not become idle or be assigned to a waiting attempt. If the attempt was not cancelled, the connection becomes idle.
func TestCancelledAfterItsEnd(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		actor, _, conn, _ := newIdle(t, time.Time{})
		exchange := newExchange(time.Now().Add(time.Hour))
		exchange.conn = conn
		actor.exchanges[exchange.attempt.ID] = exchange
		if cancelled {
			actor.cancel(exchange.attempt.ID)
		}
		waiting := newExchange(time.Now().Add(time.Hour))
		actor.waitingForDial, actor.dialing = []*workerExchange{waiting}, 1
		if actor.handle(exchangeEnded{exchange, true}); waiting.conn != nil || cancelled != (len(actor.idleConns) == 0) {
			t.Errorf("cancelled %v: %d idle, assigned to the waiting attempt: %v", cancelled, len(actor.idleConns), waiting.conn != nil)
		}
	}
}

// An endpoint that is notified of free capacity and does not need it any more, as the attempt that waited must not start now, passes
// it on: else another endpoint waits on while capacity is free, until some connection is closed.
func TestFreedCapacity_passedOnIfNotNeeded(t *testing.T) {
	actor, ends, _, _ := newIdle(t, time.Time{})
	pool := actor.pool
	other := newEndpoint(pool, routing.Endpoint{})
	pool.endpoints["other"], pool.endpoints["this"] = other, actor
	pool.SetWorkerConnLimit(1)
	if !pool.reserveConn(actor) {
		t.Fatal("no capacity for the first connection")
	}
	expired := newExchange(time.Now().Add(-time.Second)) // its capacityWaitTimedOut is not handled yet
	actor.waitingForCapacity = []*workerExchange{expired}
	if pool.reserveConn(actor) || pool.reserveConn(other) {
		t.Fatal("capacity beyond the limit")
	}
	other.mailbox.Take()
	actor.mailbox.Take()
	pool.releaseConn()
	for _, message := range actor.mailbox.Take() {
		actor.handle(message)
	}
	if outcome := <-ends; outcome != scheduler.NeverSent {
		t.Errorf("the expired attempt ended as %v", outcome)
	}
	if got := other.mailbox.Take(); len(got) != 1 || got[0] != any(capacityFreed{}) {
		t.Errorf("the other endpoint waits, one connection of one is free, and it received %v", got)
	}
}
