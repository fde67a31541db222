package failover

import (
	"math"
	"time"
)

const (
	// NoResponseAfter is how long an attempt may last without any signal of the worker before it counts as unanswered.
	NoResponseAfter = 500 * time.Millisecond

	// minUnanswered is the number of unanswered attempts and probes from which a route counts as failing.
	minUnanswered = 2

	// maxResponseAge is the age from which a response no longer shows that a route works.
	maxResponseAge = 2 * time.Second
)

// Observation counts the attempts of one class that a dispatcher made in a zone since its last report.
type Observation struct {
	To     string  `json:"to"`
	Class  string  `json:"class"`
	Ended  float64 `json:"ended"`   // attempts that the zone answered
	InTime float64 `json:"in_time"` // of Ended: served within the latency objective
	Full   float64 `json:"full"`    // of Ended: rejected for lack of capacity
}

// isValid reports whether the counts are finite and not negative.
func (o Observation) isValid() bool {
	return o.Ended >= 0 && o.InTime >= 0 && o.Full >= 0 && !math.IsInf(o.Ended+o.InTime+o.Full, 0)
}

// LastResponse says when a dispatcher last received a signal of a zone, for an attempt or for a probe.
type LastResponse struct {
	To         string        `json:"to"`
	Since      time.Duration `json:"since"`      // time since that signal, or since the first unanswered attempt if there was no signal
	Unanswered int           `json:"unanswered"` // unanswered attempts and probes since then
}

// verdict returns whether the route to the zone fails; known is false if the response is too old to tell. A zone without free capacity
// still answers probes and rejects attempts, so its route works.
func (r LastResponse) verdict() (failing, known bool) {
	switch {
	case r.Unanswered >= minUnanswered && r.Since >= NoResponseAfter:
		return true, true
	case r.Since < maxResponseAge:
		return false, true
	}
	return false, false
}

// Arrivals is the work of one class that clients requested of a dispatcher.
type Arrivals struct {
	Class  string  `json:"class"`
	Work   float64 `json:"work"`  // slots that the requests keep busy: slot-seconds per second
	Weight float64 `json:"worth"` // priority weight of a slot-second
}

// isValid reports whether the figures are finite and not negative.
func (a Arrivals) isValid() bool {
	return a.Work >= 0 && !math.IsInf(a.Work, 0) && a.Weight >= 0 && !math.IsInf(a.Weight, 0)
}

// Report is a dispatcher's report of the time since its last one, about a second.
type Report struct {
	Dispatcher    string             `json:"dispatcher"` // its name
	Zone          string             `json:"zone"`       // its zone
	Observations  []Observation      `json:"sights,omitempty"`
	LastResponses []LastResponse     `json:"heard,omitempty"`
	Arrivals      []Arrivals         `json:"asked,omitempty"`
	Capacity      map[string]float64 `json:"capacity,omitempty"` // slots by zone, computed from the dispatcher's endpoint list; see func Capacity
}

// zoneClass identifies requests of a class in a zone.
type zoneClass struct{ zone, class string }
