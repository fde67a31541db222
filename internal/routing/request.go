package routing

import "time"

// Request is a request as a frontend submits it.
type Request struct {
	Class          int           // index in scheduler.Settings.Classes
	ClassName      string        // for the counters, the retry budget and the zone router
	Account        string        // the owner, for the retry budget
	LogName        string        // the ID that the client gave the request, for the log
	Slots          float64       // slots that it occupies at a worker
	Limits         RequestLimits // of the settings at the time when it arrived
	EstimatedWork  time.Duration // estimated run time; 0 for unknown
	AffinityKey    uint64        // requests with the same key need the same data at a worker; 0 for no key
	IdempotencyKey string        // the key by which workers recognize a repeated request; empty for no key
	Deadline       time.Time
	Job            any // the data that endpoints need to send the request; not read here
	Client         Client
	ClientGone     func() bool // reports whether the client has left, possibly before Core.ClientLeft is called; nil if only that call reports it
}

// RequestLimits are the limits that the core applies to a request.
type RequestLimits struct {
	MaxAttempts int           // further attempts are not sent; 0 for no limit, unlike in scheduler.Settings
	AnswerSlack time.Duration // how long after the deadline an answer still counts
}

// Client waits for the answer to a request. The goroutine of Core.Run calls it: its methods must not block.
type Client interface {
	AttemptStarted(attempt int)
	AttemptProgressed(attempt int, share float64) // share of the job that is done, 0 to 1
	Answered(Answer)                              // called once, unless the client leaves before
}
