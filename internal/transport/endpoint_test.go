package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// outcomeSink is a Sink that receives the outcomes of attempts and probes.
type outcomeSink chan scheduler.Outcome

func (outcomeSink) AttemptStarted(routing.AttemptID)                               {}
func (outcomeSink) AttemptWaits(routing.AttemptID, bool)                           {}
func (outcomeSink) AttemptSent()                                                   {}
func (outcomeSink) AttemptProgressed(routing.AttemptID, float64)                   {}
func (s outcomeSink) AttemptFinished(_ routing.AttemptID, e routing.AttemptResult) { s <- e.Outcome }
func (s outcomeSink) ProbeCompleted(_ scheduler.WorkerID, o scheduler.Outcome, _ *scheduler.Report) {
	s <- o
}

// testDrainGrace is the drain grace period of the endpoints of newIdleEndpoint.
const testDrainGrace = 500 * time.Millisecond

// newIdleEndpoint returns an endpoint whose actor does not run, the outcomes of its attempts, and a connection for it with the worker's
// end of that connection. The drain grace period is testDrainGrace.
func newIdleEndpoint(t *testing.T, notifiedAt time.Time) (actor *endpoint, outcomes outcomeSink, conn *workerConn, workerEnd net.Conn) {
	t.Helper()
	settings := &protocol.Settings{}
	settings.Limits.ConnectTimeout = protocol.Micros(time.Minute / time.Microsecond)
	settings.Rules.DrainGrace = protocol.Micros(testDrainGrace / time.Microsecond)
	outcomes = make(outcomeSink, 4)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	live := &protocol.LiveSettings{}
	live.Replace(settings, func(scheduler.Settings) {})
	actor = newEndpoint(NewEndpointPool(context.Background(), live, outcomes, log), routing.Endpoint{NotifiedAt: notifiedAt})
	dispatcherEnd, workerEnd := net.Pipe()
	t.Cleanup(func() { dispatcherEnd.Close(); workerEnd.Close() })
	return actor, outcomes, newWorkerConn(dispatcherEnd, ""), workerEnd
}

// newExchange returns the exchange of an attempt with a deadline.
func newExchange(deadline time.Time) *workerExchange {
	return &workerExchange{attempt: routing.Attempt{Job: &protocol.Job{ID: "1", Method: "POST", Target: "/", Deadline: deadline}}, deadline: deadline}
}

// TestEndpoint_failedDialOfOtherAttempt guards against an attempt that waits without a dial. Two attempts wait. The dial for the
// second completes first, and its connection is assigned to the first attempt. Then the dial for the first fails. No dial is in
// progress for the second attempt, so it must end as NoConnect.
func TestEndpoint_failedDialOfOtherAttempt(t *testing.T) {
	actor, outcomes, conn, workerEnd := newIdleEndpoint(t, time.Time{})
	first, second := newExchange(time.Now().Add(time.Hour)), newExchange(time.Now().Add(time.Hour))
	actor.waitingForDial, actor.dialing = []*workerExchange{first, second}, 2
	actor.handle(dialCompleted{exchange: second, conn: conn})
	if first.conn != conn {
		t.Fatal("the connection was not assigned to the attempt that waited longest")
	}
	actor.handle(dialCompleted{exchange: first, err: io.EOF})
	if outcome := <-outcomes; outcome != scheduler.NoConnect || len(actor.waitingForDial) != 0 {
		t.Errorf("second attempt: outcome %v, want NoConnect; %d attempts wait, want 0", outcome, len(actor.waitingForDial))
	}
	workerEnd.Close()
	<-outcomes // of the first attempt, whose connection is closed
}

// TestEndpoint_checksBeforeFirstByte checks that an attempt that waited for its connection is checked again before its first
// byte. Nothing of it is written if meanwhile it was cancelled, its deadline passed, its client disconnected, its deduplication
// window ended or the worker's drain grace period ended.
func TestEndpoint_checksBeforeFirstByte(t *testing.T) {
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
		actor, outcomes, conn, workerEnd := newIdleEndpoint(t, test.notifiedAt)
		exchange := newExchange(test.deadline)
		exchange.cancelled.Store(test.cancelled)
		exchange.attempt.SendBy, exchange.attempt.ClientGone = test.sendBy, func() bool { return test.clientGone }
		actor.waitingForDial = append(actor.waitingForDial, exchange)
		actor.release(conn)
		if test.sent {
			if _, err := bufio.NewReader(workerEnd).ReadByte(); err != nil {
				t.Errorf("%s: no byte was written: read error %v", name, err)
			}
			workerEnd.Close()
			if outcome := <-outcomes; outcome != scheduler.Reset && outcome != scheduler.NoConnect {
				t.Errorf("%s: outcome %v, want Reset or NoConnect", name, outcome)
			}
		} else if outcome := <-outcomes; outcome != scheduler.NeverSent || len(actor.idleConns) != 1 || exchange.conn != nil {
			t.Errorf("%s: outcome %v, want NeverSent; %d idle connections, want 1", name, outcome, len(actor.idleConns))
		}
	}
}

// TestEndpoint_closesIdleConnsByIdleTime checks that closeIdleConns closes only connections that have been idle for the given time.
func TestEndpoint_closesIdleConnsByIdleTime(t *testing.T) {
	actor, _, old, _ := newIdleEndpoint(t, time.Time{})
	_, _, young, _ := newIdleEndpoint(t, time.Time{})
	now := time.Now()
	old.idleSince, young.idleSince = now.Add(-time.Minute), now
	actor.idleConns = []*workerConn{old, young}
	if actor.handle(closeIdleConns{time.Second}); len(actor.idleConns) != 1 || actor.idleConns[0] != young {
		t.Fatalf("%d idle connections left, want only the younger one", len(actor.idleConns))
	}
}

// TestEndpoint_waitsForConnectionLimit checks that at the connection limit a further attempt waits until a connection is closed, and that
// other endpoints are notified to close their idle connections. An attempt that waits past its deadline ends as NeverSent.
func TestEndpoint_waitsForConnectionLimit(t *testing.T) {
	actor, outcomes, _, _ := newIdleEndpoint(t, time.Time{})
	listener, err := net.Listen("tcp", "127.0.0.1:0") // a failed dial would release its capacity at any moment
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	actor.listed.Address = listener.Addr().String()
	pool := actor.pool
	pool.endpoints["other"], pool.endpoints["this"] = newEndpoint(pool, routing.Endpoint{}), actor
	pool.SetWorkerConnLimit(1)
	if !pool.reserveConn(actor) {
		t.Fatal("no capacity for the first connection")
	}
	waiting, expired := newExchange(time.Now().Add(time.Hour)), newExchange(time.Now().Add(-time.Hour))
	actor.startExchange(waiting)
	actor.startExchange(expired)
	if outcome := <-outcomes; outcome != scheduler.NeverSent || len(actor.waitingForCapacity) != 1 || len(outcomes) != 0 {
		t.Errorf("expired attempt: outcome %v, want NeverSent; %d attempts wait, want 1; %d more outcomes, want 0", outcome, len(actor.waitingForCapacity), len(outcomes))
	}
	if got := pool.endpoints["other"].mailbox.Take(); len(got) != 1 || got[0] != any(closeIdleConns{0}) {
		t.Errorf("the other endpoint received %v, want one closeIdleConns", got)
	}
	actor.mailbox.Take()
	pool.releaseConn()
	for _, message := range actor.mailbox.Take() {
		actor.handle(message)
	}
	if len(actor.waitingForCapacity) != 0 || pool.OpenConnections() != 1 || len(actor.waitingForDial) != 1 {
		t.Errorf("%d attempts wait for capacity, want 0; %d connections open, want 1", len(actor.waitingForCapacity), pool.OpenConnections())
	}
}

// TestEndpoint_cancelledAfterExchangeEnded cancels an attempt after its exchange has succeeded and before the actor has handled its end:
// the connection is closed, and must not become idle or be assigned to a waiting attempt. If the attempt was not cancelled, the
// connection is not closed.
func TestEndpoint_cancelledAfterExchangeEnded(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		actor, _, conn, _ := newIdleEndpoint(t, time.Time{})
		exchange := newExchange(time.Now().Add(time.Hour))
		exchange.conn = conn
		actor.exchanges[exchange.attempt.ID] = exchange
		if cancelled {
			actor.cancel(exchange.attempt.ID)
		}
		waiting := newExchange(time.Now().Add(time.Hour))
		actor.waitingForDial, actor.dialing = []*workerExchange{waiting}, 1
		if actor.handle(exchangeEnded{exchange, true}); waiting.conn != nil || cancelled != (len(actor.idleConns) == 0) {
			t.Errorf("cancelled %v: %d idle connections; assigned to the waiting attempt: %v", cancelled, len(actor.idleConns), waiting.conn != nil)
		}
	}
}

// TestFreedCapacity_passedOnIfNotNeeded checks that an endpoint that is notified of free capacity passes the notification on if
// it does not need the capacity any more, because its waiting attempt has expired: otherwise another endpoint would wait until
// some connection is closed.
func TestFreedCapacity_passedOnIfNotNeeded(t *testing.T) {
	actor, outcomes, _, _ := newIdleEndpoint(t, time.Time{})
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
	if outcome := <-outcomes; outcome != scheduler.NeverSent {
		t.Errorf("expired attempt: outcome %v, want NeverSent", outcome)
	}
	if got := other.mailbox.Take(); len(got) != 1 || got[0] != any(capacityFreed{}) {
		t.Errorf("the other endpoint waits while the only connection is free: it received %v, want one capacityFreed", got)
	}
}

// TestEndpointPool_idleConnsWithoutGoneWorkers guards against reserving a share of the idle connections for workers that are gone:
// only the listed workers get a share.
func TestEndpointPool_idleConnsWithoutGoneWorkers(t *testing.T) {
	actor, _, _, _ := newIdleEndpoint(t, time.Time{})
	pool := actor.pool
	stopped := make(chan struct{})
	defer close(stopped)
	pool.stopped = stopped
	pool.SetWorkerConnLimit(20)
	update := func(number int, state scheduler.WorkerState) {
		pool.Update(routing.Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: scheduler.WorkerID(fmt.Sprint(number)), State: state}})
	}
	for number := range 10 {
		update(number, scheduler.Ready)
		update(number, scheduler.Ready)
	}
	if idle := pool.maxIdleConns(); idle != 1 {
		t.Errorf("10 workers, limit of 20 connections: %d idle connections each, want 1", idle)
	}
	for number := range 8 {
		update(number, scheduler.Gone)
		update(number, scheduler.Gone)
	}
	update(9, scheduler.Draining)
	if idle := pool.maxIdleConns(); idle != 5 {
		t.Errorf("2 workers listed, 8 gone: %d idle connections each, want 5", idle)
	}
	update(0, scheduler.Ready)
	if idle := pool.maxIdleConns(); idle != 3 {
		t.Errorf("3 workers listed, 7 gone: %d idle connections each, want 3", idle)
	}
}
