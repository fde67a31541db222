// Package endpointstate holds what is known of each worker's state and decides what a response of the discovery service may change
// in it. The caller passes in each response with the service that sent it, its revision and the times of its call; the package
// returns the changes that are in force. It does no I/O, reads no clock and starts no goroutine.
//
// A response does not say when it was composed. It may have been delayed, overtaken by a later one, or come from a replica that
// lags, and the revisions of two services cannot be compared. Therefore a restriction (a worker that is draining or gone) is
// accepted from any service at once, while its withdrawal is accepted only from a response that must be newer.
//
// Table guarantees to its caller:
//
//  1. A worker known as draining or gone becomes ready again only by a response that was certainly composed after each list that
//     showed it so, of whichever service: it has a higher revision of the same service, or its call was made MaxStaleness or more
//     after that list was received, or it shows a later start than that list did of the draining worker. A genuine return is accepted
//     within MaxStaleness and one call after the last list of another service: for a response that is not accepted,
//     Changes.PollAgainAt says when to poll again. Until then Changes.UnconfirmedReturns has the worker if the service of the
//     response has listed it as draining and then as ready.
//  2. A response whose revision is lower than one before of its service (Lagging) can only restrict a worker, and
//     asks for the full list. A service that returns only lower revisions for MaxStaleness starts a new sequence of revisions, and
//     is Current from then on.
//  3. A response of a lower revision to a call that was made before the last current response was received (Overtaken) changes
//     nothing.
//  4. Accepted.NotifiedAt of a worker that is draining or gone is the time at which this process, or its predecessor, first
//     learned that it is not ready, or an earlier one that the response's NotifiedAt gives (where lists are pushed), and stays until
//     the worker is ready again.
//  5. An earlier start of a worker is accepted under the conditions of 1 only.
//
// The service of a list: (a) revisions are compared within one service; (b) the services before and after a move of discovery
// are two, unless they have the same address; (c) the list in the platform's file belongs to the service that the file names;
// (d) a cached list belongs to no service and was learned long ago, so that a response of any service replaces it; (e) the list
// of a predecessor process belongs to the service that it called, with its notification times; (f) a local agent is a service of
// its own.
package endpointstate

import "brassdale/internal/decisions/polling"

// MaxStaleness is how long before its call a response may have been composed. It is polling.NotificationDeadline: the platform counts
// a dispatcher as notified of a change after that time, so an older response would be wrong anyway.
const MaxStaleness = polling.NotificationDeadline

// UnknownRevision is the revision of a list whose revision cannot be compared with any other.
const UnknownRevision = -1
