package endpointstate

import "time"

// serviceProgress is the newest that a discovery service has returned.
type serviceProgress struct {
	revision      int64
	sequence      int       // how often the service has started to count revisions anew
	lastCurrentAt time.Time // when the last current response was received
	lowerSince    time.Time // since when the service has returned lower revisions only; zero while it does not
}

// classify compares a response with those before it, and records it.
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
