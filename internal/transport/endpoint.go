package transport

import (
	"slices"
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// endpoint is the actor of one worker: it assigns attempts and probes to connections. Its goroutine, run, owns all fields except
// the first three, which never change, so no field needs a lock. Other goroutines only post to mailbox, which does not block. The
// methods must not block either, since all attempts at the worker wait for them: dials and exchanges have goroutines of their
// own, which report back by dialCompleted and exchangeEnded.
//
// Invariants:
//   - A connection is in idleConns or assigned to exactly one exchange.
//   - An exchange without a connection is in waitingForDial or in waitingForCapacity. If it leaves the queue without a connection,
//     it has ended or is started again.
//   - len(waitingForDial) <= dialing, so that each exchange there has a dial that completes for it.
//   - Each attempt gets exactly one Sink.AttemptFinished, each probe one Sink.ProbeCompleted.
type endpoint struct {
	pool    *EndpointPool
	id      scheduler.WorkerID
	mailbox *routing.Mailbox[any] // routing.Endpoint, routing.Attempt and the messages of endpointmessages.go

	// Owned by run.
	listed             routing.Endpoint                      // as in the last endpoint list
	detachedSince      time.Time                             // when the operator detached it; zero while it is not detached
	idleConns          []*workerConn                         // longest idle first
	waitingForDial     []*workerExchange                     // longest waiting first
	waitingForCapacity []*workerExchange                     // until the pool allows one more connection; longest waiting first
	dialing            int                                   // dials in progress
	exchanges          map[routing.AttemptID]*workerExchange // attempts whose connection has not been returned
}

func newEndpoint(pool *EndpointPool, listed routing.Endpoint) *endpoint {
	return &endpoint{
		pool:      pool,
		id:        listed.ID,
		listed:    listed,
		mailbox:   routing.NewMailbox[any](),
		exchanges: map[routing.AttemptID]*workerExchange{},
	}
}

// run handles messages and closes idle connections that expire, until stopped is closed.
func (e *endpoint) run(stopped <-chan struct{}) {
	expiry := time.NewTimer(time.Hour)
	defer expiry.Stop()
	for {
		if len(e.idleConns) > 0 {
			expiry.Reset(time.Until(e.pool.idleExpiry(e.idleConns[0].idleSince)))
		}
		select {
		case <-stopped:
			e.closeAllIdle()
			return
		case <-e.mailbox.Signal():
		case now := <-expiry.C:
			e.closeExpired(now)
		}
		for _, message := range e.mailbox.Take() {
			e.handle(message)
		}
	}
}

// handle handles one message.
func (e *endpoint) handle(message any) {
	switch message := message.(type) {
	case routing.Endpoint:
		e.updateListed(message)
	case routing.Attempt:
		exchange := &workerExchange{attempt: message, deadline: message.Deadline}
		e.exchanges[message.ID] = exchange
		e.startExchange(exchange)
	case startProbe:
		e.startExchange(&workerExchange{isProbe: true, deadline: time.Now().Add(probeTimeout)})
	case capacityFreed:
		e.startLongestWaiting()
	case capacityWaitTimedOut:
		e.finishPastDeadline(time.Now())
	case setDetached:
		e.detachedSince = message.since
		e.closeAllIdle() // a worker is detached to be restarted
	case cancelAttempt:
		e.cancel(message.id)
	case closeIdleConns:
		now := time.Now()
		e.closeIdleIf(func(conn *workerConn) bool { return now.Sub(conn.idleSince) >= message.minIdle })
	case dialCompleted:
		e.handleDialCompleted(message)
	case exchangeEnded:
		e.handleExchangeEnded(message)
	}
}

// updateListed records the endpoint as listed. If the worker has another address, has been restarted or is gone, its idle
// connections are closed.
func (e *endpoint) updateListed(listed routing.Endpoint) {
	if listed.Address != e.listed.Address || listed.StartedAt != e.listed.StartedAt || listed.State == scheduler.Gone {
		e.closeAllIdle()
	}
	e.listed = listed
}

// cancel cancels an attempt. An attempt without a connection ends at once. If it has a connection, the connection is closed, so
// that the read or write in the exchange's goroutine fails and ends it.
func (e *endpoint) cancel(id routing.AttemptID) {
	exchange := e.exchanges[id]
	if exchange == nil || exchange.cancelled.Swap(true) {
		return
	}
	if exchange.conn != nil {
		_ = exchange.conn.conn.Close() // fails only if it is closed already
		return
	}
	for _, queue := range [...]*[]*workerExchange{&e.waitingForDial, &e.waitingForCapacity} {
		if i := slices.Index(*queue, exchange); i >= 0 {
			*queue = slices.Delete(*queue, i, i+1)
			e.finishUnassigned(exchange, scheduler.NeverSent)
			return
		}
	}
}

// finishUnassigned ends an exchange that has no connection.
func (e *endpoint) finishUnassigned(exchange *workerExchange, outcome scheduler.Outcome) {
	if !exchange.isProbe {
		delete(e.exchanges, exchange.attempt.ID)
	}
	e.reportResult(exchange, routing.AttemptResult{Outcome: outcome})
}

// handleExchangeEnded takes back the connection of an exchange. The connection is closed, not reused, if the attempt was
// cancelled after its end, if bytes follow the response, if the worker has moved, or if an exchange waits for capacity: a new
// connection can be used without waiting for reuseDelay.
func (e *endpoint) handleExchangeEnded(message exchangeEnded) {
	exchange, conn := message.exchange, message.exchange.conn
	if !exchange.isProbe {
		delete(e.exchanges, exchange.attempt.ID)
	}
	if message.reusable && !exchange.cancelled.Load() && conn.reader.Buffered() == 0 &&
		conn.address == e.listed.Address && len(e.waitingForCapacity) == 0 {
		e.addIdle(conn)
		return
	}
	e.closeConn(conn)
}
