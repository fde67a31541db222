// Package endpointstate owns what is known of each worker's state, and decides what an answer of discovery may change in it. Answers
// go in, with the service that gave them, their revision and when their call was made and answered; what counts of them comes
// out. No I/O, no clock, no goroutine.
//
// An answer says nothing of when it was composed. It may have waited, been overtaken, or be of a replica that lags, and the
// revisions of two services cannot be compared. So that a worker takes no more requests is believed at once, whoever says it;
// that it takes them again only of what must be newer. Table promises:
//
//  1. A drain or an end that is known is taken back only by an answer of the same service with a higher revision, by a later
//     start of the worker, or by an answer whose call was made Settle or more after it became known. A true return is in force
//     Settle and one call later at the latest: where an answer is not believed, the verdict says when to ask again.
//  2. An answer with a lower revision than its service had before counts only where it takes something away, and has the
//     whole list asked for again. A service that gives nothing else for Settle counts anew, and is believed from then on.
//  3. An answer that was overtaken by that of a later call does not count at all.
//  4. The moment from which a drain or an end counts is the first at which it came here, or to the predecessor, until it is
//     taken back.
//  5. An older start of a worker is believed where a drain would be taken back, not of any list.
//
// Of whom a list is: (a) of one service, revisions are compared; (b) two services before and behind a move are two, unless they
// have one address; (c) the list in the platform's file is of the service that the file names, and (d) what a saved list says
// was known long ago: an answer of any service settles it; (e) a predecessor's list is of the service that it asked, with the
// moments that it was told; (f) an agent is a service of its own.
package endpointstate

import (
	"time"

	"brassdale/scheduler"
)

const (
	// MaxStaleness is how far behind the newest list an answer may have been composed: what discovery has counts as told after it.
	MaxStaleness = 6 * time.Second

	// goneRetention is how long a worker that is gone is known to be.
	goneRetention = 10 * MaxStaleness
)

// UnknownRevision is the revision of a list whose revision cannot be compared with any.
const UnknownRevision = -1

// Endpoint is what an answer says of a worker.
type Endpoint struct {
	ID         scheduler.WorkerID
	State      scheduler.WorkerState
	Start      scheduler.Clock // as discovery stamps it; 0 for long ago
	NotifiedAt time.Time       // when a predecessor was told that it takes no more requests; zero for now
}

// ListResponse is a list, or a change of one.
type ListResponse struct {
	Service    string // two of one name count revisions alike
	Revision   int64
	Complete   bool      // whom it does not name is gone
	CalledAt   time.Time // when its call was made
	ReceivedAt time.Time
	Endpoints  []Endpoint
}

// Freshness is how an answer stands to those of its service before.
type Freshness uint8

const (
	Current   Freshness = iota // it is as new as any before, or the service counts anew
	Overtaken                  // its call was made before the answer to a later one came that was newer
	Lagging                    // it has a lower revision than one before
)

// NotListed is the index of a worker that a complete answer does not name.
const NotListed = -1

// Accepted is what counts of an answer about one worker.
type Accepted struct {
	Index      int // of the answer's member, or Absent
	ID         scheduler.WorkerID
	State      scheduler.WorkerState
	Start      scheduler.Clock
	NotifiedAt time.Time // when it was first told to be draining or gone; zero while it is neither
}

// Changes is what counts of an answer.
type Changes struct {
	Accepted    []Accepted
	PollAgainAt time.Time // from then on the whole list is to be asked for: something was not believed; zero for nothing
}

// record is what is known of a worker.
type record struct {
	state      scheduler.WorkerState
	start      scheduler.Clock
	notifiedAt time.Time // since when it takes no more requests
	learnedAt  time.Time // when its state or start became known here; zero for long ago
	service    string
	epoch      int
	revision   int64
}

// serviceProgress is how far a service has come.
type serviceProgress struct {
	revision      int64
	epoch         int       // how often it has begun to count anew
	lastCurrentAt time.Time // when the last current answer came
	lowerSince    time.Time // since when it has given lower revisions only; zero while it does not
}

// Table is what is known. Its zero value knows nothing.
type Table struct {
	records  map[scheduler.WorkerID]record
	services map[string]*serviceProgress
}

// Restore enters what was known before this process began, at a revision of a service. How long ago that was is not known.
func (t *Table) Restore(service string, revision int64, members []Endpoint) {
	t.serviceProgress(service).revision = revision
	for _, endpoint := range members {
		t.Record(endpoint, service, revision)
	}
}

// Record notes what is known of a worker by another way than an answer.
func (t *Table) Record(endpoint Endpoint, service string, revision int64) {
	if t.records == nil {
		t.records = map[scheduler.WorkerID]record{}
	}
	r := record{state: endpoint.State, start: endpoint.Start, service: service, epoch: t.serviceProgress(service).epoch, revision: revision}
	if endpoint.State != scheduler.Ready {
		r.notifiedAt = endpoint.NotifiedAt
	}
	t.records[endpoint.ID] = r
}

func (t *Table) serviceProgress(name string) *serviceProgress {
	if t.services == nil {
		t.services = map[string]*serviceProgress{}
	}
	p := t.services[name]
	if p == nil {
		p = &serviceProgress{revision: UnknownRevision}
		t.services[name] = p
	}
	return p
}

// Order tells how an answer stands to those before. It is asked once for each answer, before Take.
func (t *Table) Classify(response ListResponse) Freshness {
	p := t.serviceProgress(response.Service)
	switch {
	case response.Revision >= p.revision:
	case response.CalledAt.Before(p.lastCurrentAt):
		return Overtaken
	case p.lowerSince.IsZero():
		p.lowerSince = response.ReceivedAt
		return Lagging
	case response.ReceivedAt.Sub(p.lowerSince) < MaxStaleness:
		return Lagging
	default:
		p.epoch++
	}
	p.revision, p.lastCurrentAt, p.lowerSince = response.Revision, response.ReceivedAt, time.Time{}
	return Current
}

// Take gives what counts of an answer that is Current or Lagging.
func (t *Table) Apply(response ListResponse, freshness Freshness) Changes {
	var changes Changes
	if freshness == Lagging {
		changes.PollAgainAt = response.ReceivedAt
	}
	named := make(map[scheduler.WorkerID]bool, len(response.Endpoints))
	for i, m := range response.Endpoints {
		named[m.ID] = true
		t.applyEndpoint(response, freshness, i, m, &changes)
	}
	if response.Complete && freshness == Current {
		t.applyUnlisted(response, named, &changes)
	}
	return changes
}

// applyEndpoint takes in what an answer says of a worker.
func (t *Table) applyEndpoint(response ListResponse, freshness Freshness, index int, endpoint Endpoint, changes *Changes) {
	r, known := t.records[endpoint.ID]
	if freshness == Lagging && (!known || endpoint.State == scheduler.Ready || r.state != scheduler.Ready) {
		return
	}
	newer := !known || freshness == Current && t.composedAfter(response, r)
	if endpoint.State == scheduler.Ready && r.state != scheduler.Ready && !newer && endpoint.Start <= r.start {
		if pollAgainAt := r.learnedAt.Add(MaxStaleness); changes.PollAgainAt.IsZero() || pollAgainAt.Before(changes.PollAgainAt) {
			changes.PollAgainAt = pollAgainAt
		}
		return
	}
	if r.state == scheduler.Gone && endpoint.State == scheduler.Draining && !newer {
		return // it has left since
	}
	if endpoint.Start < r.start && !newer {
		endpoint.Start = r.start
	}
	t.accept(response, index, endpoint, r, changes)
}

// composedAfter tells whether an answer was surely composed behind what is known of a worker.
func (t *Table) composedAfter(response ListResponse, r record) bool {
	comparable := r.service == response.Service && r.epoch == t.serviceProgress(response.Service).epoch && r.revision != UnknownRevision
	return comparable && response.Revision > r.revision || !response.CalledAt.Before(r.learnedAt.Add(MaxStaleness))
}

// applyUnlisted has those end whom a whole list does not name.
func (t *Table) applyUnlisted(response ListResponse, listed map[scheduler.WorkerID]bool, changes *Changes) {
	for id, r := range t.records {
		switch {
		case listed[id]:
		case r.state != scheduler.Gone:
			t.accept(response, NotListed, Endpoint{ID: id, State: scheduler.Gone, Start: r.start}, r, changes)
		case response.ReceivedAt.Sub(r.learnedAt) > goneRetention:
			delete(t.records, id)
		}
	}
}

// accept enters what counts about a worker.
func (t *Table) accept(response ListResponse, index int, endpoint Endpoint, before record, changes *Changes) {
	if t.records == nil {
		t.records = map[scheduler.WorkerID]record{}
	}
	now := record{state: endpoint.State, start: endpoint.Start, learnedAt: before.learnedAt, service: response.Service, epoch: t.serviceProgress(response.Service).epoch, revision: response.Revision}
	if now.state != before.state || now.start != before.start {
		now.learnedAt = response.ReceivedAt
	}
	if now.state != scheduler.Ready {
		now.notifiedAt = before.notifiedAt
		if now.notifiedAt.IsZero() {
			now.notifiedAt = earlierNonZero(endpoint.NotifiedAt, response.ReceivedAt)
		}
	}
	t.records[endpoint.ID] = now
	changes.Accepted = append(changes.Accepted, Accepted{Index: index, ID: endpoint.ID, State: now.state, Start: now.start, NotifiedAt: now.notifiedAt})
}

// earlierNonZero gives the earlierNonZero of two moments, of which the first may be none.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
