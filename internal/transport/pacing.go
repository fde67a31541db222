package transport

import "time"

// A client that sends without waiting for answers keeps the goroutines of its connection ready to run all the time. With one processor, the Go
// scheduler then looks for bytes on other connections only every 10 ms (runtime.sysmon), at each step of a request anew. So such a connection
// pauses from time to time, in which the scheduler finds all that has arrived.

const (
	// How many requests a connection takes between two pauses, if they were received without a wait. Over HTTP/2 that is ordinary use.
	requestsPerPause            = 8
	multiplexedRequestsPerPause = 64

	requestPause = 200 * time.Microsecond

	// DiscardPause is the pause between two reads of a connection whose bytes are discarded.
	DiscardPause = 5 * time.Millisecond
)

// paceRequests records that requests were received before the answers to those before them, and pauses if there were many. Only the goroutine that
// reads the connection calls it.
func (c *Conn) paceRequests(received int) {
	limit := requestsPerPause
	if c.listener.multiplexed {
		limit = multiplexedRequestsPerPause
	}
	if c.requestsUnpaced += received; c.requestsUnpaced >= limit {
		c.requestsUnpaced = 0
		time.Sleep(requestPause)
	}
}
