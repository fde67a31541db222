// Package http2limits decides what a client may do with one HTTP/2 connection beside having its jobs answered, and how a
// front's room is dealt out among connections. Values in, verdicts out: no I/O, no clock, no goroutine.
//
// It promises:
//
//  1. A connection that opens streams one after the other and takes their answers is never ended, at whatever rate, if
//     beside each answered stream it sends no more than the credit of each kind of frame (see budgets).
//  2. Of each kind of frame that costs this side work and asks for none, no more pass in any span of time than the
//     kind's burst, its rate times the span, and its credit for the streams answered in it.
//  3. What has begun to come (the preface, a frame, a head) is whole within Whole, or Due tells when the connection
//     is to be ended; so no connection that says something half is kept for longer.
//  4. A head takes no more than MostFragments frames and MostHead bytes.
//  5. Once a verdict was to end the connection, all later ones are the same.
//  6. Room that was dealt out is never more than the limit, a newcomer below the floor finds room whenever there is
//     any, and what is given above the floor leaves at least as much free as its holder then has, less one.
//
// The frames are those of RFC 9113, section 6. What net/http bounds by itself is not done again here: streams open at a
// time (SETTINGS_MAX_CONCURRENT_STREAMS, and handlers that outlive their streams), the size of a header list, flow
// control, queued replies to frames, and frames that break the protocol.
package http2limits

import "time"

// Kind is a frame's type.
type Kind uint8

// The kinds of RFC 9113.
const (
	Data Kind = iota
	Headers
	Priority
	Reset
	Settings
	PushPromise
	Ping
	GoAway
	WindowUpdate
	Continuation
)

// The flags that count here.
const (
	EndStream  = 0x1 // of Data and Headers
	Ack        = 0x1 // of Settings and Ping
	EndHeaders = 0x4 // of Headers and Continuation
)

// Frame is the head of a frame.
type Frame struct {
	Kind   Kind
	Flags  uint8
	Stream uint32
	Length uint32 // bytes behind the head
}

// CloseReason tells why a connection is to be ended; empty while it may go on.
type CloseReason string

// The reasons.
const (
	TooManyResets         CloseReason = "resets"    // streams opened and given up at once, or made to be reset
	TooManyPings          CloseReason = "pings"     //
	TooManySettings       CloseReason = "settings"  //
	TooManyPriorities     CloseReason = "priority"  //
	TooManyWindowUpdates  CloseReason = "windows"   //
	TooManyTinyDataFrames CloseReason = "crumbs"    // bodies in pieces of next to nothing
	TooManyUnknownFrames  CloseReason = "unknown"   // kinds of frames that there are not
	HeaderTooLong         CloseReason = "fragments" // a head in too many frames or bytes
	IncompleteInTime      CloseReason = "halves"    // the preface, a frame or a head that did not come whole in time
)

const (
	// CompletionTimeout is how long the preface, a frame or a head may take from its first byte to its last.
	CompletionTimeout = 2600 * time.Millisecond

	// MaxHeaderFrames and MostHead bound a head: its frames, and their bytes together. One that is within the bound on
	// header lists (8 KiB) has room in one frame of the usual size.
	MaxHeaderFrames = 16
	MaxHeaderBytes  = 32 << 10 // bytes

	minDataBytes = 64 // bytes; a piece of a body that is shorter and not the last
)

// frameBudget is a token bucket: so many at once, so many more a second, and so many more for each stream answered.
type frameBudget struct {
	burst, rate, answerCredit float64
}

// The frameBudgets, by reason. Bursts are what well-made clients were seen to need at most, several times over: all streams
// given up at once, a WINDOW_UPDATE for the stream and one for the connection with each piece of an answer, a PING to
// measure the way with each.
var frameBudgets = map[CloseReason]frameBudget{
	TooManyResets:         {burst: 256, rate: 20, answerCredit: 1},
	TooManyPings:          {burst: 64, rate: 10, answerCredit: 1},
	TooManySettings:       {burst: 16, rate: 2},
	TooManyPriorities:     {burst: 512, rate: 20, answerCredit: 2},
	TooManyWindowUpdates:  {burst: 1024, rate: 100, answerCredit: 8},
	TooManyTinyDataFrames: {burst: 1024, rate: 200, answerCredit: 16},
	TooManyUnknownFrames:  {burst: 64, rate: 10, answerCredit: 1},
}

// Conn is what is known of a connection. The times that its methods get never run backwards.
type Conn struct {
	spent           map[CloseReason]float64 // of each budget, as of at
	spentAt         time.Duration
	answeredStreams float64 // streams, since at

	partStartedAt   time.Duration // of the preface, then of the frame that is coming
	partOpen        bool          // the one of these is not whole
	headerStartedAt time.Duration // when the head began that is coming
	headerOpen      bool
	headerFrames    int
	headerBytes     uint32
	closeReason     CloseReason
}

// New begins with a connection that has just been taken: its preface is to come.
func New(now time.Duration) *Conn {
	return &Conn{spent: map[CloseReason]float64{}, spentAt: now, partStartedAt: now, partOpen: true}
}

// PrefaceCompleted tells that the preface is whole.
func (c *Conn) PrefaceCompleted() { c.partOpen = false }

// FrameStarted tells that the first byte of a frame came.
func (c *Conn) FrameStarted(now time.Duration) { c.partStartedAt, c.partOpen = now, true }

// FrameCompleted tells that the last byte of a frame came.
func (c *Conn) FrameCompleted() { c.partOpen = false }

// StreamAnswered tells that a stream had its answer in full.
func (c *Conn) StreamAnswered() { c.answeredStreams++ }

// FrameReceived judges a frame by its head, before anything of it goes on.
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
	case PushPromise, GoAway: // net/http ends the connection at the one and lets go of it behind the other
	default:
		c.spend(now, TooManyUnknownFrames)
	}
	return c.closeReason
}

// FrameSent judges a frame that this side sends: a client can have streams reset by breaking rules as well as by asking.
func (c *Conn) FrameSent(now time.Duration, frame Frame) CloseReason {
	if frame.Kind == Reset {
		c.spend(now, TooManyResets)
	}
	return c.closeReason
}

// Deadline tells when the connection is to be ended if nothing more comes; not ok if it may stay as it is.
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

// CheckDeadline judges what is still half there.
func (c *Conn) CheckDeadline(now time.Duration) CloseReason {
	if at, ok := c.Deadline(); ok && now >= at {
		c.close(IncompleteInTime)
	}
	return c.closeReason
}

func (c *Conn) addHeaderFrame(frame Frame) {
	c.headerFrames++
	c.headerBytes += min(frame.Length, MaxHeaderBytes+1)
	if c.headerFrames > MaxHeaderFrames || c.headerBytes > MaxHeaderBytes {
		c.close(HeaderTooLong)
	}
	if frame.Flags&EndHeaders != 0 {
		c.headerOpen = false
	}
}

// spend takes one from a budget.
func (c *Conn) spend(now time.Duration, reason CloseReason) {
	if now > c.spentAt || c.answeredStreams > 0 {
		elapsed := (now - c.spentAt).Seconds()
		for of, spent := range c.spent {
			b := frameBudgets[of]
			c.spent[of] = max(spent-b.rate*elapsed-b.answerCredit*c.answeredStreams, 0)
		}
		c.spentAt, c.answeredStreams = max(now, c.spentAt), 0
	}
	if c.spent[reason]++; c.spent[reason] > frameBudgets[reason].burst {
		c.close(reason)
	}
}

func (c *Conn) close(reason CloseReason) {
	if c.closeReason == "" {
		c.closeReason = reason
	}
}

// WithinDynamicThreshold tells whether one of several holders of a common room gets one more: always below the floor while there is any
// left, and above it as long as it has less than what is free. This is the dynamic threshold of A. Choudhury and
// E. Hahne ("Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking
// 6(2), 1998) with a factor of one: n holders that want all get 1/(n+1) each, nobody needs to know how many there are,
// and a newcomer always finds room.
func WithinDynamicThreshold(limit, total, own, floor int) bool {
	return total < limit && (own < floor || own < limit-total)
}
