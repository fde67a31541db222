package http2limits

import "time"

const (
	// CompletionTimeout is the longest time that the preface, a frame or a header block may take from its first byte to its last.
	CompletionTimeout = 2600 * time.Millisecond

	// MaxHeaderFrames is the maximum number of frames in a header block.
	MaxHeaderFrames = 16

	// MaxHeaderBytes is the maximum number of bytes in all frames of a header block together. A header list within the limit of 8 KiB
	// fits into one frame of the usual size.
	MaxHeaderBytes = 32 << 10
)

// Conn holds the state of one connection. Times that are passed to its methods are from any common origin and must not go back. It is
// not safe for concurrent use.
type Conn struct {
	spent           map[CloseReason]float64 // frames taken from each budget, as of spentAt
	spentAt         time.Duration
	answeredStreams float64 // since spentAt

	partStartedAt   time.Duration // when the last part, which is the preface or a frame, began to be received
	partOpen        bool          // the last part is not complete
	headerStartedAt time.Duration // when the last header block began
	headerOpen      bool          // the last header block is not complete
	headerFrames    int
	headerBytes     uint32
	closeReason     CloseReason
}

// New returns the state of a connection that was accepted now, before its preface.
func New(now time.Duration) *Conn {
	return &Conn{spent: map[CloseReason]float64{}, spentAt: now, partStartedAt: now, partOpen: true}
}

// PrefaceCompleted records that the preface was received.
func (c *Conn) PrefaceCompleted() { c.partOpen = false }

// FrameStarted records that the first byte of a frame was received.
func (c *Conn) FrameStarted(now time.Duration) { c.partStartedAt, c.partOpen = now, true }

// FrameCompleted records that the last byte of a frame was received.
func (c *Conn) FrameCompleted() { c.partOpen = false }

// StreamAnswered records that the whole answer on a stream was sent.
func (c *Conn) StreamAnswered() { c.answeredStreams++ }

// FrameReceived records the header of a received frame, and returns the reason to close the connection, if any. It is called before any
// part of the frame is passed on.
func (c *Conn) FrameReceived(now time.Duration, frame Frame) CloseReason {
	switch frame.Kind {
	case Headers:
		c.headerStartedAt, c.headerOpen, c.headerFrames, c.headerBytes = now, true, 0, 0
		c.addHeaderFrame(frame)
	case Continuation:
		c.addHeaderFrame(frame)
	case Data:
		if frame.Length < minDataBytes && frame.Flags&EndStream == 0 {
			c.spend(now, TooManyTinyDataFrames)
		}
	case Reset:
		c.spend(now, TooManyResets)
	case Ping:
		if frame.Flags&Ack == 0 {
			c.spend(now, TooManyPings)
		}
	case Settings:
		c.spend(now, TooManySettings)
	case Priority:
		c.spend(now, TooManyPriorities)
	case WindowUpdate:
		c.spend(now, TooManyWindowUpdates)
	case PushPromise, GoAway: // net/http closes the connection at once, or once its streams have ended
	default:
		c.spend(now, TooManyUnknownFrames)
	}
	return c.closeReason
}

// FrameSent records the header of a frame that this side sends, and returns the reason to close the connection, if any. Resets of this
// side count like resets of the client, because a client can cause them by violating the protocol.
func (c *Conn) FrameSent(now time.Duration, frame Frame) CloseReason {
	if frame.Kind == Reset {
		c.spend(now, TooManyResets)
	}
	return c.closeReason
}

// Deadline returns when CheckDeadline must be called unless more is received; ok is false if all that was received is complete.
func (c *Conn) Deadline() (at time.Duration, ok bool) {
	switch {
	case c.headerOpen && c.partOpen:
		return min(c.headerStartedAt, c.partStartedAt) + CompletionTimeout, true
	case c.headerOpen:
		return c.headerStartedAt + CompletionTimeout, true
	case c.partOpen:
		return c.partStartedAt + CompletionTimeout, true
	}
	return 0, false
}

// CheckDeadline returns the reason to close the connection now, if any.
func (c *Conn) CheckDeadline(now time.Duration) CloseReason {
	if at, ok := c.Deadline(); ok && now >= at {
		c.setCloseReason(IncompleteInTime)
	}
	return c.closeReason
}

// addHeaderFrame adds a frame to the header block.
func (c *Conn) addHeaderFrame(frame Frame) {
	c.headerFrames++
	c.headerBytes += min(frame.Length, MaxHeaderBytes+1)
	if c.headerFrames > MaxHeaderFrames || c.headerBytes > MaxHeaderBytes {
		c.setCloseReason(HeaderTooLong)
	}
	if frame.Flags&EndHeaders != 0 {
		c.headerOpen = false
	}
}

// spend takes one frame from a budget, after refilling all budgets.
func (c *Conn) spend(now time.Duration, reason CloseReason) {
	if now > c.spentAt || c.answeredStreams > 0 {
		elapsed := (now - c.spentAt).Seconds()
		for each, spent := range c.spent {
			budget := frameBudgets[each]
			c.spent[each] = max(spent-budget.rate*elapsed-budget.answerCredit*c.answeredStreams, 0)
		}
		c.spentAt, c.answeredStreams = max(now, c.spentAt), 0
	}
	if c.spent[reason]++; c.spent[reason] > frameBudgets[reason].burst {
		c.setCloseReason(reason)
	}
}

// setCloseReason sets the reason to close the connection, unless there is one already.
func (c *Conn) setCloseReason(reason CloseReason) {
	if c.closeReason == "" {
		c.closeReason = reason
	}
}
