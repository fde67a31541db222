// Package endpointstate holds the known state of each worker and decides what a response of the discovery service may change in it.
// The caller passes in each response with the service that sent it, its revision and the times of its call; the package returns the
// changes that it accepts. It does no I/O, reads no clock and starts no goroutine.
//
// A response does not say when it was composed, that is, when the service read the list for it. It may have been delayed, overtaken by
// a later one, or come from a lagging replica, and the revisions of two services cannot be compared. Therefore a restriction (a worker
// that is draining or gone) is accepted from any service at once, while its withdrawal is accepted only from a response that must be
// newer.
//
// Table guarantees to its caller:
//
//  1. A worker known as draining or gone becomes ready again only by a response that was certainly composed after each list, of any
//     service, that showed it as draining or gone. For each such list, one of these is true: the response has a higher revision of the
//     same service; its call was made MaxStaleness or more after that list was received; or that list showed the worker as draining,
//     and the response shows a later start. A worker that has really returned is accepted as ready within MaxStaleness plus one call
//     after the last list of another service: for a response that is not accepted, Changes.PollAgainAt says when to poll again. Until
//     then the worker is in Changes.UnconfirmedReturns if the service of the response has listed it as draining and then as ready.
//  2. A response whose revision is lower than an earlier one of its service (Lagging) can only restrict workers, and
//     Changes.PollAgainAt asks for the full list. If a service returns only lower revisions for MaxStaleness, a new sequence of
//     revisions begins, and its responses are Current from then on.
//  3. A response changes nothing if its revision is lower and its call was made before the last current response was received
//     (Overtaken).
//  4. Accepted.NotifiedAt of a worker that is draining or gone is the time at which this process, or its predecessor, first learned
//     that the worker is not ready. Where lists are pushed, the response's NotifiedAt replaces it if that is earlier. The time stays
//     until the worker is ready again.
//  5. An earlier start of a worker is accepted only under the conditions of 1.
//
// Lists and services: (a) revisions are compared only within one service; (b) the services before and after a move of discovery
// are two services, unless they have the same address; (c) the list in the platform's file belongs to the service that the file
// names; (d) a cached list belongs to no service and counts as learned long ago, so that a response of any service replaces it;
// (e) the list of a predecessor process belongs to the service that the predecessor called, and keeps its notification times; (f) a
// local agent is a service of its own.
package endpointstate

import "brassdale/internal/decisions/polling"

// MaxStaleness bounds the age of a response: it may have been composed up to MaxStaleness before its call. It is
// polling.NotificationDeadline: after that time the platform counts a dispatcher as notified of a change, so an older response would
// be wrong anyway.
const MaxStaleness = polling.NotificationDeadline

// UnknownRevision is the revision of a list whose revision cannot be compared with any other.
const UnknownRevision = -1
