package http2limits

// Kind is the type of a frame.
type Kind uint8

// The frame types of RFC 9113.
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

// The flags that limits depend on.
const (
	EndStream  = 0x1 // of Data and Headers
	Ack        = 0x1 // of Settings and Ping
	EndHeaders = 0x4 // of Headers and Continuation
)

// Frame is the header of a frame.
type Frame struct {
	Kind   Kind
	Flags  uint8
	Stream uint32
	Length uint32 // bytes of the payload
}
