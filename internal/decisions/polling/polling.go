// Package polling decides when a dispatcher calls the discovery service for the list of workers. It does no I/O, reads no clock and
// starts no goroutine.
//
// Discovery is one small service for all dispatchers. It may be slow, reject calls, break off responses or never respond, and a
// connection to it may go silent. The platform counts a dispatcher as notified of a change some time after the change, whether or
// not the dispatcher received it. So a change never depends on one call: while the newest call is in flight, a further one is made in
// parallel, and the earlier one is not cancelled.
//
// Schedule guarantees, if calls other than the failing ones are answered:
//
//  1. After a response, any three calls that hang, break off, are rejected, or are answered 2 s late delay a change by
//     NotificationDeadline at most; after a move of discovery, by MoveNotificationDeadline at most. Up to callsPerDeadline calls are
//     made in that time. They are spread evenly over it, except for finalCallLead, which is left for the response to the last call.
//     Where dispatchers poll, the longest sequences begin in one of two ways: a watch goes silent as it begins, and the next call is
//     made LongPollWait + watchResponseGrace + maxOverlapSpread later (2.8 s); or a new process makes its first call 3 s after its
//     start. The fourth call is made after 5.8 s at the latest.
//  2. Where lists are pushed to an agent, three such calls delay a change by DrainGrace less a margin at most, since the platform
//     counts a change as notified as soon as the agent has it. The longest sequence takes (1 + 1/4 + 3/2) times agentTimeout: 0.275 s
//     for a grace of 0.5 s.
//  3. The next call of a watch is made within WatchGap - WatchGapMargin of the response, for any number of dispatchers and any
//     random draw.
//  4. The next calls of many dispatchers that received the same change at once are spread over most of WatchGap.
//  5. After a response without a change, the next call is not made at once. A service whose responses are stale, or early and without
//     a change, is called less and less often, down to once in maxUselessDelay. A service whose responses all bring a change is
//     called at most maxBurstCalls times within burstWindow.
//  6. No call with a revision is made while another one may still be served: a service may keep only one such call for each dispatcher
//     and end the earlier one, which loses its place in the queue. A parallel call is for the full list.
//  7. A service that rejects calls or responds slowly (ServiceBusy) is called later by dispatchers that have a recent list: they
//     begin a new watch up to maxBusyDelay later. Moves in quick succession lead to one call.
//  8. Of many dispatchers that a busy service rejects, those without a response for the longest time call most often, so that they
//     get the places in its queue.
//  9. A service that handles calls one after the other, and needs up to 3.6 s for one call of each dispatcher, serves all of them in
//     time when it returns from an outage, also if most dispatchers restart right after that. An accepted call may expire in the
//     service's queue, which costs the service the same work. Therefore, after an expired call, or once NotificationDeadline has
//     passed, the next call begins overdueInterval after the beginning of the last one.
package polling

import "time"

const (
	// WatchGap is the longest time after a response at which the next call still continues the same watch.
	WatchGap = 200 * time.Millisecond

	// WatchGapMargin is the part of WatchGap that is left for the network and for a busy processor.
	WatchGapMargin = 50 * time.Millisecond

	// NotificationDeadline is how long after a change the platform counts a dispatcher as notified of it.
	NotificationDeadline = 6 * time.Second

	// MoveNotificationDeadline is how long after a move of discovery a dispatcher should have the list of the new service.
	MoveNotificationDeadline = 4 * time.Second
)

// clamp bounds a random draw to the range from 0 to 1.
func clamp(chance float64) float64 { return min(max(chance, 0), 1) }

// scale multiplies a duration by a factor.
func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

// scaleJittered returns a part of a duration, from a half to the whole; chance is a random draw from 0 to 1.
func scaleJittered(duration time.Duration, chance float64) time.Duration {
	return scale(duration, (1+clamp(chance))/2)
}
