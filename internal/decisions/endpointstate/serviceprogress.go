package endpointstate

import "time"

// serviceProgress tracks the revisions that a discovery service has returned.
type serviceProgress struct {
	revision      int64     // the highest of the current sequence
	sequence      int       // how many times the service has started a new sequence of revisions
	lastCurrentAt time.Time // when the last current response was received
	lowerSince    time.Time // since when the service has returned only lower revisions; zero while it does not
}

// classify compares a response with the earlier ones, and records it.
func (p *serviceProgress) classify(response ListResponse) ResponseOrder {
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
		p.sequence++
	}
	p.revision, p.lastCurrentAt, p.lowerSince = response.Revision, response.ReceivedAt, time.Time{}
	return Current
}
