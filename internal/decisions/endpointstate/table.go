package endpointstate

import (
	"time"

	"brassdale/scheduler"
)

// goneRetention is how long a worker that is gone is remembered, so that a stale response does not bring it back.
const goneRetention = 10 * MaxStaleness

// record is the known state of one worker.
type record struct {
	state      scheduler.WorkerState
	start      scheduler.Instant // by discovery's clock; 0 for long ago
	notifiedAt time.Time         // the time from which the worker counts as known not to be ready; zero while it is ready
	latest     observation       // the last list that showed the state
	others     []observation     // the last lists of other services that showed the state, if they may be newer than latest
}

// Table holds the known state of all workers. The zero value is an empty table. It is not safe for concurrent use.
type Table struct {
	records  map[scheduler.WorkerID]record
	services map[string]*serviceProgress
}

// Restore enters the list that was known before this process started, at a revision of a service. It is called before the first
// Classify. The caller sets the NotifiedAt of each worker that is not ready: the list counts as received at that time. A ready worker
// counts as learned long ago. If OtherServiceAt is set, another service has shown the state too.
func (t *Table) Restore(service string, revision int64, endpoints []Endpoint) {
	t.serviceProgress(service).revision = revision
	for _, endpoint := range endpoints {
		entry := t.newRecord(endpoint, service, revision)
		entry.latest.receivedAt = entry.notifiedAt
		if !endpoint.OtherServiceAt.IsZero() {
			entry.others = []observation{{revision: UnknownRevision, receivedAt: endpoint.OtherServiceAt,
				draining: entry.latest.draining, start: endpoint.Start}}
		}
		t.set(endpoint.ID, entry)
	}
}

// OtherServiceAt returns when the state of a worker was last received in a list whose revision cannot be compared with the revisions of
// a service; zero if there is no such list.
func (t *Table) OtherServiceAt(id scheduler.WorkerID, service string) (at time.Time) {
	known, ok := t.records[id]
	if !ok {
		return at
	}
	sequence := t.serviceProgress(service).sequence
	for _, seen := range append([]observation{known.latest}, known.others...) {
		if !seen.comparable(service, sequence) && seen.receivedAt.After(at) {
			at = seen.receivedAt
		}
	}
	return at
}

// Record replaces the record of one worker by a state that does not come from a response. The state counts as learned long ago.
func (t *Table) Record(endpoint Endpoint, service string, revision int64) {
	t.set(endpoint.ID, t.newRecord(endpoint, service, revision))
}

// newRecord returns the record of a worker whose state was learned long ago, at a revision of a service.
func (t *Table) newRecord(endpoint Endpoint, service string, revision int64) record {
	entry := record{state: endpoint.State, start: endpoint.Start}
	entry.latest = t.observationOf(ListResponse{Service: service, Revision: revision}, endpoint)
	if endpoint.State != scheduler.Ready {
		entry.notifiedAt = endpoint.NotifiedAt
	}
	return entry
}

// Classify compares a response with the earlier responses of its service, and records it. It is called once for each response. Unless
// it returns Overtaken, Apply is called next, with the result.
func (t *Table) Classify(response ListResponse) ResponseOrder {
	return t.serviceProgress(response.Service).classify(response)
}

// Apply records a response that Classify found Current or Lagging, and returns what it changes.
func (t *Table) Apply(response ListResponse, order ResponseOrder) Changes {
	var changes Changes
	if order == Lagging {
		changes.PollAgainAt = response.ReceivedAt
	}
	listed := make(map[scheduler.WorkerID]bool, len(response.Endpoints))
	for i, endpoint := range response.Endpoints {
		listed[endpoint.ID] = true
		t.applyEndpoint(response, order, i, endpoint, &changes)
	}
	if response.Complete && order == Current {
		t.applyUnlisted(response, listed, &changes)
	}
	return changes
}

// applyEndpoint records the state of one worker in a response if it is accepted.
func (t *Table) applyEndpoint(response ListResponse, order ResponseOrder, index int, endpoint Endpoint, changes *Changes) {
	before, known := t.records[endpoint.ID] // an unknown worker has the zero record, in which it is ready
	if order == Lagging && endpoint.State == scheduler.Ready {
		return // a lagging response only restricts a worker
	}
	seen := t.observationOf(response, endpoint)
	newer := !known || order == Current && before.composedAfter(seen, response.CalledAt)
	switch {
	case newer || before.state == scheduler.Ready:
	case endpoint.State == scheduler.Ready:
		changes.rejectReturn(response, index, endpoint.ID, &before, seen)
		return
	case order == Lagging || before.state == scheduler.Gone && endpoint.State == scheduler.Draining:
		before.confirm(seen, response.CalledAt) // the state may have changed since the response was composed
		t.set(endpoint.ID, before)
		return
	}
	if endpoint.Start < before.start && !newer {
		endpoint.Start = before.start
	}
	t.accept(response, index, endpoint, before, changes)
}

// applyUnlisted records as gone the workers that a complete response does not list, and deletes the records of workers that have been
// gone for longer than goneRetention.
func (t *Table) applyUnlisted(response ListResponse, listed map[scheduler.WorkerID]bool, changes *Changes) {
	for id, known := range t.records {
		switch {
		case listed[id]:
		case known.state != scheduler.Gone:
			t.accept(response, NotListed, Endpoint{ID: id, State: scheduler.Gone, Start: known.start}, known, changes)
		case response.ReceivedAt.Sub(known.latest.receivedAt) > goneRetention:
			delete(t.records, id)
		}
	}
}

// accept records the state of a worker in a response, and adds it to the changes.
func (t *Table) accept(response ListResponse, index int, endpoint Endpoint, before record, changes *Changes) {
	after, seen := before, t.observationOf(response, endpoint)
	after.state, after.start, after.notifiedAt = endpoint.State, endpoint.Start, time.Time{}
	if (before.state == scheduler.Ready) == (after.state == scheduler.Ready) && t.isKnown(endpoint.ID) {
		after.confirm(seen, response.CalledAt)
	} else {
		after.latest, after.others = seen, nil
	}
	if after.state != scheduler.Ready {
		after.notifiedAt = before.notifiedAt
		if after.notifiedAt.IsZero() {
			after.notifiedAt = earlierNonZero(endpoint.NotifiedAt, response.ReceivedAt)
		}
	}
	t.set(endpoint.ID, after)
	changes.Accepted = append(changes.Accepted,
		Accepted{Index: index, ID: endpoint.ID, State: after.state, Start: after.start, NotifiedAt: after.notifiedAt})
}

// isKnown reports whether there is a record of a worker.
func (t *Table) isKnown(id scheduler.WorkerID) bool {
	_, known := t.records[id]
	return known
}

// set replaces the record of a worker.
func (t *Table) set(id scheduler.WorkerID, entry record) {
	if t.records == nil {
		t.records = map[scheduler.WorkerID]record{}
	}
	t.records[id] = entry
}

// serviceProgress returns the progress of a service, which is created on first use.
func (t *Table) serviceProgress(name string) *serviceProgress {
	if t.services == nil {
		t.services = map[string]*serviceProgress{}
	}
	progress := t.services[name]
	if progress == nil {
		progress = &serviceProgress{revision: UnknownRevision}
		t.services[name] = progress
	}
	return progress
}

// earlierNonZero returns the earlier of two times, or other if optional is zero.
func earlierNonZero(optional, other time.Time) time.Time {
	if optional.IsZero() || other.Before(optional) {
		return other
	}
	return optional
}
