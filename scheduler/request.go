package scheduler

import "time"

// request is an open client request: it has no final answer yet, or still has attempts in flight.
type request struct {
	id RequestID
	// settings are the scheduler's settings at the time when the request arrived. Only its class, MaxAttempts, MayHedge,
	// MayCancel, MaxRetryAfter and AnswerSlack are read from them, everything else from Scheduler.settings.
	settings        *Settings
	class           int
	sequence        int // number in the order of arrival
	slots           float64
	affinityKey     uint64        // 0 for no key
	estimatedWork   time.Duration // 0 if unknown
	clientStartedAt Instant       // estimate of when its client first sent it; before its arrival if it is a client's retry
	deadline        Instant
	allowedZones    uint64    // a bit for each zone number; 0 for all
	idempotencyKey  string    // empty for no key
	earlierRun      *KeyedRun // of the same key, by another request; nil if none is known
	attempts        []attempt
	settled         bool // it has its final answer, or its client has left
	streamed        bool // its answer has begun to reach the client
}

// excludesZone reports whether the request may not be sent to the zone.
func (r *request) excludesZone(zone int) bool {
	return r.allowedZones != 0 && r.allowedZones>>uint(zone&63)&1 == 0
}
