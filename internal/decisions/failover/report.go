package failover

import (
	"math"
	"time"
)

const (
	// NoResponseAfter is how long a call may go without any sign of the worker before it counts as unanswered.
	NoResponseAfter = 500 * time.Millisecond

	// minUnanswered is the number of unanswered calls and probes that make a route fail.
	minUnanswered = 2

	// maxResponseAge is the age from which a response no longer shows that a route works.
	maxResponseAge = 2 * time.Second
)

// Observation is what a dispatcher observed of its calls to a zone, of one class, since its last report.
type Observation struct {
	To     string  `json:"to"`
	Class  string  `json:"class"`
	Ended  float64 `json:"ended"`   // calls that the zone answered
	InTime float64 `json:"in_time"` // of Ended: served within the latency objective
	Full   float64 `json:"full"`    // of Ended: rejected for lack of capacity
}

// isValid reports whether the counts are finite and not negative.
func (o Observation) isValid() bool {
	return o.Ended >= 0 && o.InTime >= 0 && o.Full >= 0 && !math.IsInf(o.Ended+o.InTime+o.Full, 0)
}

// LastResponse says when a dispatcher last had a sign of a zone, of a call or of a probe.
type LastResponse struct {
	To         string        `json:"to"`
	Since      time.Duration `json:"since"`      // a duration: the time since then, or since the first unanswered call where there was no response
	Unanswered int           `json:"unanswered"` // calls and probes since then
}

// verdict returns what the dispatcher says of the route to the zone: that it fails, that it works (known alone), or nothing. A
// zone that is too full to start jobs answers probes, and rejects calls: its route works.
func (r LastResponse) verdict() (failing, known bool) {
	switch {
	case r.Unanswered >= minUnanswered && r.Since >= NoResponseAfter:
		return true, true
	case r.Since < maxResponseAge:
		return false, true
	}
	return false, false
}

// Arrivals is the work that clients requested of a dispatcher, of one class.
type Arrivals struct {
	Class  string  `json:"class"`
	Work   float64 `json:"work"`  // slots that it keeps busy: slot-seconds a second
	Weight float64 `json:"worth"` // priority weight of a slot-second
}

// isValid reports whether the figures are finite and not negative.
func (a Arrivals) isValid() bool {
	return a.Work >= 0 && !math.IsInf(a.Work, 0) && a.Weight >= 0 && !math.IsInf(a.Weight, 0)
}

// Report is a dispatcher's report of the time since its last one, about a second.
type Report struct {
	Dispatcher    string             `json:"dispatcher"` // its name
	Zone          string             `json:"zone"`       // in which it is
	Observations  []Observation      `json:"sights,omitempty"`
	LastResponses []LastResponse     `json:"heard,omitempty"`
	Arrivals      []Arrivals         `json:"asked,omitempty"`
	Capacity      map[string]float64 `json:"capacity,omitempty"` // slots by zone, by its endpoint list; see Capacity
}

// zoneClass identifies requests of a class in a zone.
type zoneClass struct{ zone, class string }
