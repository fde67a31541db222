package transport

import "time"

// A request must not reach a worker after certain points in time: the end of a drain grace period, or of the window in which the
// worker recognizes a retry. The clock is read one last time before the write. This must happen at least the margin before such a
// point. The margins follow from two rules of the operators: a process may be paused for maxProcessPause between reading the clock
// and writing, and workers allow 50 ms more than the settings say, which is reserved for the network and not used here.
const (
	// maxProcessPause is the longest pause of a process between reading the clock and writing.
	maxProcessPause = 150 * time.Millisecond

	// processingDelay is the program's own time from reading the clock to the write on a busy core: scheduling of the goroutine
	// and encoding of the request.
	processingDelay = 50 * time.Millisecond

	// writeMargin is the margin before a point in time that this process knows exactly: 200 ms.
	writeMargin = maxProcessPause + processingDelay

	// drainGraceMargin is the margin before the end of a drain grace period: 350 ms. The period counts from when discovery wrote
	// the list. The list may have been unread during one pause, and a second pause may delay the write.
	drainGraceMargin = maxProcessPause + writeMargin
)

// The time limit that is forwarded to a worker is the client's remaining time minus deadlineMargin, since the request may have been
// unread for that long; the tolerance of 150 ms in the rules covers maxProcessPause. If the remaining time is short, only
// 1/deadlineMarginDivisor of it is subtracted.
const (
	deadlineMargin        = processingDelay
	deadlineMarginDivisor = 8
)

// forwardedTimeLimit returns the time limit to forward to a worker if the client has timeLeft.
func forwardedTimeLimit(timeLeft time.Duration) time.Duration {
	return max(timeLeft-min(deadlineMargin, timeLeft/deadlineMarginDivisor), 0)
}
