package endpointstate

import (
	"slices"
	"time"

	"brassdale/scheduler"
)

// observation is a list that showed the state of a worker, with what is known of when the list was composed.
type observation struct {
	service    string
	sequence   int // of the service's revisions; see serviceProgress
	revision   int64
	receivedAt time.Time         // when the list was received; zero for long ago
	draining   bool              // the list showed the worker as draining: start is the start of the incarnation that is ending
	start      scheduler.Instant // by discovery's clock
}

// comparable reports whether a revision of a service, in a sequence, can be compared with the revision of the observation.
func (o *observation) comparable(service string, sequence int) bool {
	return o.service == service && o.sequence == sequence && o.revision != UnknownRevision
}

// composedBefore reports whether the list of the observation was certainly composed before the other list, whose call was made at calledAt.
func (o *observation) composedBefore(other observation, calledAt time.Time) bool {
	return o.comparable(other.service, other.sequence) && other.revision > o.revision ||
		!calledAt.Before(o.receivedAt.Add(MaxStaleness)) ||
		o.draining && other.start > o.start
}

// observationOf returns the observation of an endpoint in a response.
func (t *Table) observationOf(response ListResponse, endpoint Endpoint) observation {
	return observation{
		service: response.Service, sequence: t.serviceProgress(response.Service).sequence, revision: response.Revision,
		receivedAt: response.ReceivedAt, draining: endpoint.State == scheduler.Draining, start: endpoint.Start,
	}
}

// composedAfter reports whether the later list, whose call was made at calledAt, was certainly composed after each list that showed the
// known state.
func (r *record) composedAfter(later observation, calledAt time.Time) bool {
	return r.latest.composedBefore(later, calledAt) &&
		!slices.ContainsFunc(r.others, func(o observation) bool { return !o.composedBefore(later, calledAt) })
}

// staleUntil returns the time from which a call returns a list that was certainly composed after each list that showed the known state.
// Lists that were certainly composed before the list given by the parameter later do not count.
func (r *record) staleUntil(later observation, calledAt time.Time) (at time.Time) {
	for _, known := range append([]observation{r.latest}, r.others...) {
		if end := known.receivedAt.Add(MaxStaleness); !known.composedBefore(later, calledAt) && end.After(at) {
			at = end
		}
	}
	return at
}

// shownBySameService reports whether the service of the later list has itself shown the known state, in a list of a lower revision.
func (r *record) shownBySameService(later observation) bool {
	earlier := func(o observation) bool {
		return o.comparable(later.service, later.sequence) && later.revision > o.revision
	}
	return earlier(r.latest) || slices.ContainsFunc(r.others, earlier)
}

// confirm adds an observation of the known state. It removes the observations of lists that were certainly composed before the added list:
// a response that is newer than the added list is newer than the removed ones too.
func (r *record) confirm(newest observation, calledAt time.Time) {
	switch {
	case r.latest.comparable(newest.service, newest.sequence) && r.latest.revision == newest.revision:
		newest.receivedAt = r.latest.receivedAt // the same list, received again
	case !r.latest.composedBefore(newest, calledAt):
		r.others = append(r.others, r.latest)
	}
	r.others = slices.DeleteFunc(r.others, func(known observation) bool { return known.composedBefore(newest, calledAt) })
	r.latest = newest
}
