package transport

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"brassdale/scheduler"
)

// How an exchange gets its connection:
//
//	startExchange --- idle connection -------------------------> assign --- checks pass ---> runExchange
//	   |                                                          ^  |
//	   |-- must not be sent now --> finishUnassigned (NeverSent) |  '--- a check fails ---> finishUnassigned (NeverSent)
//	   |                                                          |
//	   |-- capacity reserved --> waitingForDial ------------------+-- handleDialCompleted, or any other connection: release
//	   |                           '-- dial failed --> finishUnassigned (outcomeOfDialError)
//	   |                                                          |
//	   '-- no capacity --> waitingForCapacity --------------------'
//	                         |-- capacityFreed --> startLongestWaiting --> startExchange
//	                         '-- deadline --> finishPastDeadline --> finishUnassigned (NeverSent)
//
// A cancelled exchange leaves its queue at once (cancel). Connections go to exchanges in the order in which the exchanges arrived, not
// to the exchange that they were opened for. If an exchange is started because capacity was freed, and finds the capacity taken again,
// it goes to the end of the queue.

// startExchange gives an exchange a connection: an idle one, or a new one if the pool allows one more. Otherwise the exchange waits
// for capacity. The limit applies to all workers together, so the attempt would get no connection to another worker either.
func (e *endpoint) startExchange(exchange *workerExchange) {
	now := time.Now()
	if conn := e.takeIdle(now); conn != nil {
		exchange.connIdle = now.Sub(conn.idleSince)
		if !e.assign(exchange, conn) {
			e.release(conn)
		}
		return
	}
	if exchange.mustNotWrite(now) {
		e.finishUnassigned(exchange, scheduler.NeverSent)
		return
	}
	if !e.pool.reserveConn(e) {
		e.waitForCapacity(exchange)
		return
	}
	e.noteWait(exchange, false)
	e.waitingForDial = append(e.waitingForDial, exchange)
	e.dial(exchange)
}

// waitForCapacity queues an exchange until the pool allows one more connection or the exchange's deadline passes.
func (e *endpoint) waitForCapacity(exchange *workerExchange) {
	if len(e.waitingForCapacity) == 0 {
		e.pool.log.Warn("connection limit reached, attempts wait", "worker", e.id, "limit", e.pool.connectionLimit())
	}
	e.waitingForCapacity = append(e.waitingForCapacity, exchange)
	e.noteWait(exchange, true)
	time.AfterFunc(time.Until(exchange.deadline), func() { e.mailbox.Post(capacityWaitTimedOut{}) })
}

// noteWait records whether an exchange waits for capacity. If this changes for an attempt, it reports the change to the sink.
func (e *endpoint) noteWait(exchange *workerExchange, waits bool) {
	if exchange.waitsForCapacity == waits {
		return
	}
	exchange.waitsForCapacity = waits
	if !exchange.isProbe {
		e.pool.sink.AttemptWaits(exchange.attempt.ID, waits)
	}
}

// startLongestWaiting starts the exchange that has waited longest for capacity, and passes on the capacity that it does not use:
// the queue may be empty by now, or the exchange may end at once or find an idle connection.
func (e *endpoint) startLongestWaiting() {
	if len(e.waitingForCapacity) > 0 {
		exchange := e.waitingForCapacity[0]
		e.waitingForCapacity = e.waitingForCapacity[1:]
		e.startExchange(exchange)
	}
	e.pool.passOnCapacity()
}

// finishPastDeadline ends the exchanges that wait for capacity and whose deadline has passed.
func (e *endpoint) finishPastDeadline(now time.Time) {
	e.waitingForCapacity = slices.DeleteFunc(e.waitingForCapacity, func(exchange *workerExchange) bool {
		timedOut := !now.Before(exchange.deadline)
		if timedOut {
			e.finishUnassigned(exchange, scheduler.NeverSent)
		}
		return timedOut
	})
}

// dial opens a connection in a new goroutine, with the capacity that the pool has reserved for it. The goroutine posts a
// dialCompleted and ends, at the latest when the connect timeout or the exchange's deadline is reached.
func (e *endpoint) dial(exchange *workerExchange) {
	e.dialing++
	address, deadline := e.listed.Address, time.Now().Add(e.pool.settings.Current().Limits.ConnectTimeout.Duration())
	if exchange.deadline.Before(deadline) {
		deadline = exchange.deadline
	}
	go func() {
		conn, err := (&net.Dialer{Deadline: deadline, KeepAlive: -1}).Dial("tcp", address)
		if err != nil {
			e.pool.releaseConn()
			e.mailbox.Post(dialCompleted{exchange: exchange, err: err})
			return
		}
		e.mailbox.Post(dialCompleted{exchange: exchange, conn: newWorkerConn(conn, address)})
	}()
}

// handleDialCompleted assigns a new connection to the exchange that has waited longest, which may be another one than the dial
// was started for. If the dial failed, one waiting exchange ends. If the worker has moved meanwhile, one waiting exchange is
// started again.
func (e *endpoint) handleDialCompleted(message dialCompleted) {
	e.dialing--
	connected := message.err == nil
	if connected && message.conn.address == e.listed.Address {
		e.release(message.conn)
		return
	}
	exchange := e.takeWithoutDial(message.exchange)
	if connected {
		e.closeConn(message.conn)
	}
	switch {
	case exchange == nil:
	case connected:
		e.startExchange(exchange)
	default:
		e.finishUnassigned(exchange, outcomeOfDialError(message.err))
	}
}

// takeWithoutDial removes and returns an exchange that no dial in progress will serve; nil if there is none. It is called when the
// dial for preferred has given no usable connection. If preferred still waits, it returns preferred. Otherwise, if more exchanges
// wait than dials are in progress, it returns the exchange that has waited longest.
func (e *endpoint) takeWithoutDial(preferred *workerExchange) *workerExchange {
	i := slices.Index(e.waitingForDial, preferred)
	if i < 0 && len(e.waitingForDial) > e.dialing {
		i = 0
	}
	if i < 0 {
		return nil
	}
	exchange := e.waitingForDial[i]
	e.waitingForDial = slices.Delete(e.waitingForDial, i, i+1)
	return exchange
}

// outcomeOfDialError returns the outcome of an attempt whose dial failed: NeverSent if this process lacks descriptors or ports,
// otherwise NoConnect, which counts against the worker.
func outcomeOfDialError(err error) scheduler.Outcome {
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
		return scheduler.NeverSent
	}
	return scheduler.NoConnect
}

// release assigns an unused connection to the first waiting exchange that may still be sent, or adds it to the idle connections.
func (e *endpoint) release(conn *workerConn) {
	for _, queue := range [...]*[]*workerExchange{&e.waitingForDial, &e.waitingForCapacity} {
		for len(*queue) > 0 {
			exchange := (*queue)[0]
			*queue = (*queue)[1:]
			if e.assign(exchange, conn) {
				return
			}
		}
	}
	e.addIdle(conn)
}

// assign starts an exchange on a connection, and reports whether it was started. If the exchange must not be sent any more, it has ended
// and the connection is unused.
func (e *endpoint) assign(exchange *workerExchange, conn *workerConn) bool {
	now := time.Now()
	exchange.writeBy = e.latestWrite(exchange)
	if reason := e.reasonNotToSend(exchange, now); reason != "" {
		e.logNotSent(exchange, reason)
		e.finishUnassigned(exchange, scheduler.NeverSent)
		return false
	}
	e.noteWait(exchange, false)
	e.logAssigned(exchange, now)
	exchange.conn, conn.wasUsed = conn, true
	go e.runExchange(exchange)
	return true
}

// logAssigned logs an attempt that has got a connection.
func (e *endpoint) logAssigned(exchange *workerExchange, now time.Time) {
	if exchange.isProbe {
		return
	}
	e.pool.log.Debug("attempt", "id", exchange.requestID(), "attempt", exchange.attempt.ID.Number, "worker", e.id,
		"state", e.listed.State, "connection_idle", exchange.connIdle)
	if notifiedAt := e.listed.NotifiedAt; !notifiedAt.IsZero() {
		e.pool.log.Info("attempt to draining worker", "id", exchange.requestID(), "attempt", exchange.attempt.ID.Number, "worker", e.id,
			"since_notified", now.Sub(notifiedAt))
	}
}
