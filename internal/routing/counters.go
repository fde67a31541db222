package routing

import (
	"maps"
	"sync"
	"time"

	"brassdale/internal/decisions/polling"
)

// Counters counts the outcomes of requests and of calls to discovery. Each request is counted once, when its final answer is decided.
// Any goroutine may call its methods: the lock is held for a few assignments only.
type Counters struct {
	mu      sync.Mutex
	metrics Metrics
}

// Metrics is a snapshot of the counters, which count from the start of the process.
type Metrics struct {
	Classes            map[string]ClassCounts // by name; a class that is dropped from the settings keeps its counts
	AttemptsSent       int                    // attempts whose last byte was written
	OpenRequests       int                    // requests submitted and not answered
	ListedEndpoints    int                    // endpoints in the list
	AvoidedEndpoints   int                    // listed endpoints that currently get no requests
	ReloadsApplied     int                    // versions of the platform's config file that were applied
	ReloadsRejected    int                    // versions of the platform's config file that were rejected
	FailedUnsent       int                    // requests that failed and were never sent, which the platform counts as rejected
	RetriesDenied      int                    // retries that the retry budget did not allow
	FleetRetriesDenied int                    // retries that the fleet did not allow
	DiscoveryCalls     int                    // calls for the endpoint list
	DiscoveryOverlaps  int                    // calls that were made while another was in flight
	DiscoveryFailures  int                    // calls that ended without a list
	DiscoveryRejected  int                    // failed calls that were rejected at once
	DiscoveryExpired   int                    // failed calls that discovery queued and then rejected
	ListAcceptedAt     time.Time              // when a list or "no change" was last accepted; zero for never
}

// ClassCounts are the numbers of final answers to the requests of a class.
type ClassCounts struct{ Served, Rejected, Failed int }

// countAnswer counts a final answer.
func (m *Metrics) countAnswer(class string, verdict Verdict) {
	counts := m.Classes[class]
	switch verdict {
	case Served:
		counts.Served++
	case Rejected:
		counts.Rejected++
	default:
		counts.Failed++
	}
	m.Classes[class] = counts
}

// Metrics returns a copy of the values.
func (c *Counters) Metrics() Metrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	metrics := c.metrics
	metrics.Classes = maps.Clone(metrics.Classes)
	return metrics
}

// update makes a change under the lock.
func (c *Counters) update(change func(*Metrics)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.metrics.Classes == nil {
		c.metrics.Classes = map[string]ClassCounts{}
	}
	change(&c.metrics)
}

// AddClass adds a class with no answers, so that it is in the metrics before its first request.
func (c *Counters) AddClass(name string) {
	c.update(func(m *Metrics) {
		if _, known := m.Classes[name]; !known {
			m.Classes[name] = ClassCounts{}
		}
	})
}

// CountAnsweredByFrontend counts a request that a frontend answered itself, without the core. A request of an unknown class is not
// counted.
func (c *Counters) CountAnsweredByFrontend(class string, verdict Verdict) {
	c.update(func(m *Metrics) {
		if _, known := m.Classes[class]; known {
			m.countAnswer(class, verdict)
		}
	})
}

// CountAttemptSent counts an attempt whose last byte was written.
func (c *Counters) CountAttemptSent() { c.update(func(m *Metrics) { m.AttemptsSent++ }) }

// CountReload counts a new version of the platform's config file.
func (c *Counters) CountReload(applied bool) {
	c.update(func(m *Metrics) {
		if applied {
			m.ReloadsApplied++
		} else {
			m.ReloadsRejected++
		}
	})
}

// countSubmitted counts a request that was submitted.
func (c *Counters) countSubmitted() { c.update(func(m *Metrics) { m.OpenRequests++ }) }

// countClientLeft counts a request whose client left before it was answered.
func (c *Counters) countClientLeft() { c.update(func(m *Metrics) { m.OpenRequests-- }) }

// countAnswered counts the final answer to a submitted request. sent is true if an attempt of the request was sent or may have been
// sent.
func (c *Counters) countAnswered(class string, verdict Verdict, sent bool) {
	c.update(func(m *Metrics) {
		m.countAnswer(class, verdict)
		m.OpenRequests--
		if verdict == Failed && !sent {
			m.FailedUnsent++
		}
	})
}

// setRetriesDenied sets how many retries the retry budget has denied.
func (c *Counters) setRetriesDenied(n int) { c.update(func(m *Metrics) { m.RetriesDenied = n }) }

// countFleetRetryDenied counts a retry that the fleet did not allow.
func (c *Counters) countFleetRetryDenied() { c.update(func(m *Metrics) { m.FleetRetriesDenied++ }) }

// setListedEndpoints sets how many endpoints the list has.
func (c *Counters) setListedEndpoints(n int) { c.update(func(m *Metrics) { m.ListedEndpoints = n }) }

// setAvoidedEndpoints sets how many listed endpoints currently get no requests.
func (c *Counters) setAvoidedEndpoints(n int) { c.update(func(m *Metrics) { m.AvoidedEndpoints = n }) }

// countDiscoveryCall counts a call for the list, and whether it is made while another is in flight.
func (c *Counters) countDiscoveryCall(overlaps bool) {
	c.update(func(m *Metrics) {
		m.DiscoveryCalls++
		if overlaps {
			m.DiscoveryOverlaps++
		}
	})
}

// countDiscoveryFailure counts a call that ended without a list.
func (c *Counters) countDiscoveryFailure(failure polling.Failure) {
	c.update(func(m *Metrics) {
		m.DiscoveryFailures++
		switch failure {
		case polling.Rejected:
			m.DiscoveryRejected++
		case polling.Expired:
			m.DiscoveryExpired++
		}
	})
}

// setListAcceptedAt sets when a list or "no change" of discovery was last accepted.
func (c *Counters) setListAcceptedAt(at time.Time) {
	c.update(func(m *Metrics) { m.ListAcceptedAt = at })
}
