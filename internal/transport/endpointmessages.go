package transport

import (
	"time"

	"brassdale/internal/routing"
)

// The messages to the actor of an endpoint, in addition to routing.Endpoint (an endpoint update) and routing.Attempt (to be sent).
type (
	// startProbe asks for a probe.
	startProbe struct{}

	// cancelAttempt cancels an attempt. It has no effect on an attempt that has ended.
	cancelAttempt struct{ id routing.AttemptID }

	// setDetached says that the operator has detached the worker, and since when; since is zero if the worker is attached.
	setDetached struct{ since time.Time }

	// closeIdleConns closes the connections that have been idle for minIdle.
	closeIdleConns struct{ minIdle time.Duration }

	// capacityFreed says that the pool may allow one more connection. The receiver uses it or passes it on.
	capacityFreed struct{}

	// capacityWaitTimedOut says that the deadline of an exchange that waited for capacity has passed.
	capacityWaitTimedOut struct{}

	// dialCompleted is the result of a dial: conn or err is set. A failed dial has returned its capacity to the pool.
	dialCompleted struct {
		exchange *workerExchange // the exchange that the dial was started for; it may have got another connection meanwhile
		conn     *workerConn
		err      error
	}

	// exchangeEnded returns the connection of an exchange whose result has been reported.
	exchangeEnded struct {
		exchange *workerExchange
		reusable bool // the response was read to its end and leaves the connection open
	}
)
