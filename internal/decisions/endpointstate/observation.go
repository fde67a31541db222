package endpointstate

import (
	"slices"
	"time"

	"brassdale/scheduler"
)

// observation is what is known of when a list that showed the state of a worker was composed.
type observation struct {
	service    string
	sequence   int // of the service's revisions
	revision   int64
	receivedAt time.Time         // when the list was received; zero for long ago
	draining   bool              // it showed the worker as draining, so that start is that of the incarnation that ends
	start      scheduler.Instant // by discovery's clock
}

// comparable reports whether a revision of a service, in a sequence, can be compared with that of the observation.
func (o *observation) comparable(service string, sequence int) bool {
	return o.service == service && o.sequence == sequence && o.revision != UnknownRevision
}

// before reports whether the list of the observation was certainly composed before the other one, which came with a call.
func (o *observation) before(other observation, calledAt time.Time) bool {
	return o.comparable(other.service, other.sequence) && other.revision > o.revision ||
		!calledAt.Before(o.receivedAt.Add(MaxStaleness)) ||
		o.draining && other.start > o.start
}

// observe returns the observation that a response is of an endpoint.
func (t *Table) observe(response ListResponse, endpoint Endpoint) observation {
	return observation{
		service: response.Service, sequence: t.serviceProgress(response.Service).sequence, revision: response.Revision,
		receivedAt: response.ReceivedAt, draining: endpoint.State == scheduler.Draining, start: endpoint.Start,
	}
}

// composedAfter reports whether the list of an observation, which came with a call, was certainly composed after each list that showed
// the known state.
func (r *record) composedAfter(later observation, calledAt time.Time) bool {
	return r.latest.before(later, calledAt) &&
		!slices.ContainsFunc(r.others, func(o observation) bool { return !o.before(later, calledAt) })
}

// staleUntil returns from when on a call returns a list that was certainly composed after each list that showed the known state, except for those
// before the observation.
func (r *record) staleUntil(later observation, calledAt time.Time) (at time.Time) {
	for _, known := range append([]observation{r.latest}, r.others...) {
		if end := known.receivedAt.Add(MaxStaleness); !known.before(later, calledAt) && end.After(at) {
			at = end
		}
	}
	return at
}

// shownBefore reports whether the service of an observation has itself shown the known state, in a list that was composed before.
func (r *record) shownBefore(later observation) bool {
	earlier := func(o observation) bool {
		return o.comparable(later.service, later.sequence) && later.revision > o.revision
	}
	return earlier(r.latest) || slices.ContainsFunc(r.others, earlier)
}

// confirm adds an observation of the known state. Those that were made before it say nothing more.
func (r *record) confirm(newest observation, calledAt time.Time) {
	switch {
	case r.latest.comparable(newest.service, newest.sequence) && r.latest.revision == newest.revision:
		newest.receivedAt = r.latest.receivedAt // the same list once more
	case !r.latest.before(newest, calledAt):
		r.others = append(r.others, r.latest)
	}
	r.others = slices.DeleteFunc(r.others, func(known observation) bool { return known.before(newest, calledAt) })
	r.latest = newest
}
