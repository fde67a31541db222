package scheduler

import "time"

// request is an open client request: one that is owed a final answer or has attempts in flight.
type request struct {
	id              RequestID
	settings        *Settings // in force when it arrived: its class, MaxAttempts, MayHedge, MayCancel, MaxRetryAfter, AnswerSlack; else Scheduler.settings
	class           int
	sequence        int // number in the order of arrival
	slots           float64
	affinityKey     uint64        // 0 for none
	estimatedWork   time.Duration // 0 if unknown
	clientStartedAt Instant       // when its client first sent it, by estimate: before the arrival of a client's retry
	deadline        Instant
	allowedZones    uint64 // a bit for each number; 0 for all
	attempts        []attempt
	settled         bool // the final answer is given, or nothing is owed
	streamed        bool // its answer has begun to reach the client
}

// excludesZone reports whether the request may not be sent to the zone.
func (r *request) excludesZone(zone int) bool {
	return r.allowedZones != 0 && r.allowedZones>>uint(zone&63)&1 == 0
}
