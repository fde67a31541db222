package faults

import (
	"slices"
	"time"

	"brassdale/internal/effectivestate"
)

// Result has the figures of a run. The JSON keys are the keys of result files and do not change.
type Result struct {
	Seed            uint64          `json:"seed"`
	Processes       int             `json:"processes"`
	Faults          map[string]int  `json:"faults"`               // events by kind
	ContradictionMS float64         `json:"contradiction_max_ms"` // longest time in which two processes with leases acted on contradicting versions
	LapsedApartMS   float64         `json:"lapsed_apart_max_ms"`  // the same for two processes of which one had no lease, and therefore sent no further attempts
	BoundMS         float64         `json:"bound_ms"`             // limit of ContradictionMS
	Jobs            int             `json:"jobs"`
	AnsweredOnce    int             `json:"answered_once"`
	AnsweredNever   int             `json:"answered_never"`
	AnsweredTwice   int             `json:"answered_twice"`    // always 0, because a client reads one answer; kept for readers of result files
	LostWithProcess int             `json:"lost_with_process"` // without an answer, because their process was absent
	Refused         int             `json:"refused"`           // of AnsweredOnce: status other than 200
	RulesBroken     int             `json:"rules_broken"`
	Breaches        []string        `json:"breaches,omitempty"`
	Versions        uint64          `json:"versions"`            // highest config version that came into force
	Withdrawn       int             `json:"withdrawn,omitempty"` // config versions
	Cost            *Cost           `json:"cost,omitempty"`      // of the control traffic; only in runs without events and release
	Voters          []uint64        `json:"seats,omitempty"`     // IDs of the voters at the end
	Zones           *ZonesResult    `json:"failover,omitempty"`
	Overload        *OverloadResult `json:"overload,omitempty"`
	RefusedOlder    int             `json:"refused_older,omitempty"` // proposals rejected because older builds could not read them
	InForceP50MS    float64         `json:"in_force_p50_ms"`         // from a version's announcement until the first process acts on this version only
	InForceP99MS    float64         `json:"in_force_p99_ms"`
	SettledMS       float64         `json:"settled_ms"` // from the end of the events until all processes acted on one version with leases
	Restarted       int             `json:"restarted,omitempty"`
	ListCalls       int             `json:"list_calls,omitempty"`        // polls of discovery
	MaxListCalls    int             `json:"list_calls_most_s,omitempty"` // of all processes in any second
	ListRefused     int             `json:"list_refused,omitempty"`
	WatchGapMS      float64         `json:"watch_gap_max_ms,omitempty"` // longest time without an open poll of a process that was present

	EffectiveStates [][]effectivestate.State  `json:"-"` // by process
	Absences        [][]effectivestate.Period `json:"-"` // by process
	Events          []Event                   `json:"-"` // of the run
	Begin           time.Time                 `json:"-"` // of the run; event times count from here
	Logs            []string                  `json:"-"` // by process, of all its starts
}

// Bad reports whether a rule or the bound was broken, or a job was answered never or twice.
func (r *Result) Bad() bool {
	return r.RulesBroken > 0 || r.ContradictionMS > r.BoundMS || r.AnsweredNever > 0 || r.AnsweredTwice > 0
}

// addBreach records a broken rule.
func (r *Result) addBreach(text string) {
	r.RulesBroken++
	r.Breaches = append(r.Breaches, text)
}

// setTimesToForce sets the quantiles of the time from a version's announcement until it was in force.
func (r *Result) setTimesToForce(announcedAt, inForceAt map[uint64]time.Time) {
	var times []float64
	for version, announced := range announcedAt {
		if inForce, ok := inForceAt[version]; ok {
			times = append(times, milliseconds(inForce.Sub(announced)))
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	r.InForceP50MS = times[len(times)/2]
	r.InForceP99MS = times[len(times)*99/100]
}

// milliseconds returns a duration in whole milliseconds.
func milliseconds(duration time.Duration) float64 { return float64(duration.Milliseconds()) }
