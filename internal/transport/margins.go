package transport

import "time"

// Margins before times after which something must not be sent. They follow from two rules of the operators: a process may not be run
// for maxSuspension between reading its clock and writing, and time limits on sockets are 50 ms longer than the settings say, which is
// left to the network and not used here.
const (
	// maxSuspension is how long a process may not be run between reading its clock and a write.
	maxSuspension = 150 * time.Millisecond

	// maxProcessing is the time that the program itself needs from reading its clock to the write on a busy core: until a
	// goroutine is run, and to encode the request.
	maxProcessing = 50 * time.Millisecond

	// writeMargin is how long before such a time the clock must have been read for the last time: 200 ms.
	writeMargin = maxSuspension + maxProcessing

	// drainMargin is the margin before the end of a drain grace, which counts from when discovery wrote the list: that may have
	// been unread for maxSuspension, and the process may be suspended once more after reading the clock. 350 ms.
	drainMargin = maxSuspension + writeMargin

	// deadlineMargin is subtracted from the time that a client still waits before it is passed on: the request may have been
	// unread for that long. The answer slack of 150 ms covers maxSuspension.
	deadlineMargin = maxProcessing

	// deadlineDivisor bounds the margin of a short wait to a part of it.
	deadlineDivisor = 8
)

// forwardedWait returns how long a worker is told that the dispatcher waits, of the time that the client still waits.
func forwardedWait(left time.Duration) time.Duration {
	return max(left-min(deadlineMargin, left/deadlineDivisor), 0)
}
