package routing

import (
	"maps"
	"sync"
	"time"

	"brassdale/internal/decisions/polling"
)

// Counters is the account of what became of the requests: each is entered once, where its one final answer is
// decided. It is read beside the core, which a reader never holds up.
type Counters struct {
	mu      sync.Mutex
	metrics Metrics
}

// Metrics are a moment's numbers, counted from the start of the process.
type Metrics struct {
	Classes                           map[string]ClassCounts // by name; a class that is dropped keeps its own
	AttemptsSent                      int                    // calls written to their last byte
	OpenRequests                      int                    // requests taken and not ended
	ListedEndpoints, AvoidedEndpoints int                    // endpoints in the list, and those of them that get nothing now
	ReloadsApplied, ReloadsRejected   int
	FailedUnsent                      int       // requests that failed and were never sent on, which the platform counts as refused
	RetriesDenied                     int       // further calls that the budget did not allow
	FleetRetriesDenied                int       // further calls that the fleet did not allow
	DiscoveryCalls                    int       // calls made for the list
	DiscoveryOverlaps                 int       // of these, made while another was open
	DiscoveryFailures                 int       // those of them that brought no list
	DiscoveryRejected                 int       // of these, refused at once
	DiscoveryExpired                  int       // of these, refused behind a wait for their turn
	ListReceivedAt                    time.Time // when discovery last answered; zero while it has not
}

// ClassCounts is what became of the requests of a class.
type ClassCounts struct{ Served, Rejected, Failed int }

// Metrics gives a copy.
func (l *Counters) Metrics() Metrics {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.metrics
	f.Classes = maps.Clone(f.Classes)
	return f
}

func (l *Counters) update(change func(*Metrics)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.metrics.Classes == nil {
		l.metrics.Classes = map[string]ClassCounts{}
	}
	change(&l.metrics)
}

func (f *Metrics) countAnswer(class string, v Verdict) {
	t := f.Classes[class]
	switch v {
	case Served:
		t.Served++
	case Rejected:
		t.Rejected++
	default:
		t.Failed++
	}
	f.Classes[class] = t
}

// AddClass has a class stand in the account before it has had a request.
func (l *Counters) AddClass(name string) {
	l.update(func(f *Metrics) {
		if _, stands := f.Classes[name]; !stands {
			f.Classes[name] = ClassCounts{}
		}
	})
}

// CountAnsweredByFrontend counts a request that a front answered itself, before the module heard of it. What names a class that there
// never was is no job.
func (l *Counters) CountAnsweredByFrontend(class string, v Verdict) {
	l.update(func(f *Metrics) {
		if _, had := f.Classes[class]; had {
			f.countAnswer(class, v)
		}
	})
}

// CountAttemptSent counts a call that was written to its last byte.
func (l *Counters) CountAttemptSent() { l.update(func(f *Metrics) { f.AttemptsSent++ }) }

// CountReload counts a new version of the platform's file, taken or not.
func (l *Counters) CountReload(taken bool) {
	l.update(func(f *Metrics) {
		if taken {
			f.ReloadsApplied++
		} else {
			f.ReloadsRejected++
		}
	})
}

// countDiscoveryCall counts a call for the list, and whether it is made while another is open.
func (l *Counters) countDiscoveryCall(beside bool) {
	l.update(func(f *Metrics) {
		f.DiscoveryCalls++
		if beside {
			f.DiscoveryOverlaps++
		}
	})
}

// countDiscoveryFailure counts a call that brought no list.
func (l *Counters) countDiscoveryFailure(how polling.Failure) {
	l.update(func(f *Metrics) {
		f.DiscoveryFailures++
		switch how {
		case polling.Rejected:
			f.DiscoveryRejected++
		case polling.Expired:
			f.DiscoveryExpired++
		}
	})
}

func (l *Counters) setListReceivedAt(at time.Time) {
	l.update(func(f *Metrics) { f.ListReceivedAt = at })
}

func (l *Counters) countSubmitted()  { l.update(func(f *Metrics) { f.OpenRequests++ }) }
func (l *Counters) countClientLeft() { l.update(func(f *Metrics) { f.OpenRequests-- }) }

func (l *Counters) countAnswered(class string, v Verdict, sent bool) {
	l.update(func(f *Metrics) {
		f.countAnswer(class, v)
		f.OpenRequests--
		if v == Failed && !sent {
			f.FailedUnsent++
		}
	})
}

func (l *Counters) setListedEndpoints(n int)  { l.update(func(f *Metrics) { f.ListedEndpoints = n }) }
func (l *Counters) setRetriesDenied(n int)    { l.update(func(f *Metrics) { f.RetriesDenied = n }) }
func (l *Counters) countFleetRetryDenied()    { l.update(func(f *Metrics) { f.FleetRetriesDenied++ }) }
func (l *Counters) setAvoidedEndpoints(n int) { l.update(func(f *Metrics) { f.AvoidedEndpoints = n }) }
