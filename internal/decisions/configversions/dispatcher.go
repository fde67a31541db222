package configversions

import "time"

// Dispatcher describes a dispatcher, as it reports itself with each renewal of its lease.
type Dispatcher struct {
	Name                string `json:"name"`
	Instance            string `json:"instance"`     // random ID of the process, drawn at its start
	AcknowledgedVersion uint64 `json:"acknowledged"` // see Lessee.Acknowledged
	MessageFormat       int    `json:"form"`         // the newest message format that it can read
	Epoch               uint64 `json:"era,omitempty"`
	Address             string `json:"address,omitempty"`
	Region              string `json:"region,omitempty"`
	Zone                string `json:"zone,omitempty"`
	VoterID             uint64 `json:"seat,omitempty"`      // its ID as a voter or learner; 0 if it is neither
	JobsEnded           uint64 `json:"ended,omitempty"`     // requests answered since the process started
	JobsFailed          uint64 `json:"bad,omitempty"`       // of JobsEnded: rejected or failed
	PlanNumber          uint64 `json:"plan,omitempty"`      // number of the zone plan that it acts on
	DedicatedToControl  bool   `json:"set_aside,omitempty"` // its machine serves no jobs, and is preferred as a voter
}

// AbsentDispatcher is a dispatcher that held a lease and holds none now.
type AbsentDispatcher struct {
	Dispatcher
	Left      bool          `json:"left,omitempty"` // it dropped its lease; otherwise the lease expired
	AbsentFor time.Duration `json:"for"`
	since     Instant
}
