package http2limits

// CloseReason is why a connection must be closed; empty while it may stay open. Its text is part of a metric name, and the debug data of
// the GOAWAY frame that the client receives.
type CloseReason string

// The reasons.
const (
	TooManyResets         CloseReason = "resets"   // streams that the client reset, or that this side reset because the client violated the protocol
	TooManyPings          CloseReason = "pings"    // without ACK
	TooManySettings       CloseReason = "settings" // with or without ACK
	TooManyPriorities     CloseReason = "priority"
	TooManyWindowUpdates  CloseReason = "windows"
	TooManyTinyDataFrames CloseReason = "crumbs"    // below minDataBytes
	TooManyUnknownFrames  CloseReason = "unknown"   // of no type in RFC 9113
	HeaderTooLong         CloseReason = "fragments" // a header block of too many frames or bytes
	IncompleteInTime      CloseReason = "halves"    // a preface, frame or header block that was not complete in time
)

// minDataBytes is the length below which a DATA frame counts as tiny, unless it is the last of its stream.
const minDataBytes = 64

// frameBudget is a token bucket of frames. It holds burst frames, and is refilled by rate frames a second and by answerCredit frames for
// each answered stream.
type frameBudget struct {
	burst, rate, answerCredit float64
}

// frameBudgets are the budgets by the reason for which they close a connection. The bursts are several times what well-behaved clients
// need: they reset all streams at once, and for each DATA frame of an answer they send a WINDOW_UPDATE of the stream, one of the
// connection, and a PING to measure the round-trip time.
var frameBudgets = map[CloseReason]frameBudget{
	TooManyResets:         {burst: 256, rate: 20, answerCredit: 1},
	TooManyPings:          {burst: 64, rate: 10, answerCredit: 1},
	TooManySettings:       {burst: 16, rate: 2},
	TooManyPriorities:     {burst: 512, rate: 20, answerCredit: 2},
	TooManyWindowUpdates:  {burst: 1024, rate: 100, answerCredit: 8},
	TooManyTinyDataFrames: {burst: 1024, rate: 200, answerCredit: 16},
	TooManyUnknownFrames:  {burst: 64, rate: 10, answerCredit: 1},
}
