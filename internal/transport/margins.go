package transport

import "time"

// The margins that are kept before moments behind which something must not be begun. They follow from two terms of the
// operators: a dispatcher may be held up for mostHoldUp between reading its clock and writing, and time limits on sockets are
// 50 ms longer than the settings give them, which is left for the way and not used up here.
const (
	// mostHoldUp is how long a process may be held up between a look at the clock and a write.
	mostHoldUp = 150 * time.Millisecond

	// ownDelay is for what the program itself takes from the look to the write on a busy core: a goroutine's turn, and the
	// wording of the request.
	ownDelay = 50 * time.Millisecond

	// writeMargin is how long before such a moment the last look at the clock must be: mostHoldUp + ownDelay, 200 ms.
	writeMargin = mostHoldUp + ownDelay

	// drainMargin is kept before the end of a drain's grace, which counts from when discovery wrote the list: it may have lain
	// unread for mostHoldUp, and the process may be held up once more behind the look at the clock. 350 ms.
	drainMargin = mostHoldUp + writeMargin

	// deadlineMargin is taken off what a client has left before it is passed on: the request may have waited unread for as
	// long, while its client's time ran. The slack of 150 ms covers mostHoldUp. Of a short time it is deadlinePart only.
	deadlineMargin = ownDelay
	deadlinePart   = 8
)

// passedOn gives how long an endpoint is told that it has, of what is left to the client.
func passedOn(left time.Duration) time.Duration {
	return max(left-min(deadlineMargin, left/deadlinePart), 0)
}
