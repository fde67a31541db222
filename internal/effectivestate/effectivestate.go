// Package effectivestate reads from the logs of dispatchers which config versions they acted on, and says for how long two of them
// contradicted each other. Packages faults and scale and the tests of the dispatcher's program use it.
package effectivestate

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// State is the config versions that a process acted on for some time.
type State struct {
	From     time.Time `json:"From"`
	To       time.Time `json:"To"`
	Versions []uint64  `json:"Versions"` // two while the process complies with an old and a new one
	Lapsed   bool      `json:"Lapsed"`   // without a lease
}

// InForce returns the only version of the state, and false if it has several or no lease.
func (s *State) InForce() (version uint64, ok bool) {
	if s.Lapsed || len(s.Versions) != 1 {
		return 0, false
	}
	return s.Versions[0], true
}

// overlap returns for how long two states lasted at the same time; it is not above 0 if they did not.
func (s *State) overlap(other *State) time.Duration {
	from, to := s.From, s.To
	if other.From.After(from) {
		from = other.From
	}
	if other.To.Before(to) {
		to = other.To
	}
	return to.Sub(from)
}

// contradicts reports whether two states have no version in common.
func (s *State) contradicts(other *State) bool {
	return !slices.ContainsFunc(s.Versions, func(version uint64) bool { return slices.Contains(other.Versions, version) })
}

// Period is a time in which a process was stopped, did not run or was cut off from others. From is zero if it has lasted since the start
// of the run, To while it lasts.
type Period struct{ From, To time.Time }

// appliedVersions is the log line with which a dispatcher says what it acts on from now on.
var appliedVersions = regexp.MustCompile(`msg="config version applied" versions="?\[([0-9 ]*)\]"? lease_expired=(true|false) at_ms=(\d+)`)

// FromLog reads what a process acted on from its log, which ends at the given time. A state ends early where an absence
// begins; after the absence, the process acts on what it logs first.
func FromLog(log string, end time.Time, absences []Period) []State {
	var states []State
	for _, match := range appliedVersions.FindAllStringSubmatch(log, -1) {
		ms, err := strconv.ParseInt(match[3], 10, 64)
		if err != nil {
			continue
		}
		state := State{From: time.UnixMilli(ms), To: end, Lapsed: match[2] == "true"}
		for _, text := range strings.Fields(match[1]) {
			version, _ := strconv.ParseUint(text, 10, 64) // the expression lets only digits through
			state.Versions = append(state.Versions, version)
		}
		if len(states) > 0 {
			states[len(states)-1].To = state.From
		}
		states = append(states, state)
	}
	for i := range states {
		state := &states[i]
		for _, absence := range absences {
			if absence.From.After(state.From) && absence.From.Before(state.To) {
				state.To = absence.From
			}
		}
	}
	return states
}

// ContradictionTime returns the longest time in which two processes acted on versions with nothing in common: while both had leases,
// and while at least one had none.
func ContradictionTime(processes [][]State) (contradiction, lapsed time.Duration) {
	for i, states := range processes {
		for _, others := range processes[:i] {
			both, one := contradictionOf(states, others)
			contradiction, lapsed = max(contradiction, both), max(lapsed, one)
		}
	}
	return contradiction, lapsed
}

// contradictionOf is ContradictionTime of two processes.
func contradictionOf(states, others []State) (contradiction, lapsed time.Duration) {
	for i := range states {
		for j := range others {
			state, other := &states[i], &others[j]
			if !state.contradicts(other) {
				continue
			}
			if state.Lapsed || other.Lapsed {
				lapsed = max(lapsed, state.overlap(other))
			} else {
				contradiction = max(contradiction, state.overlap(other))
			}
		}
	}
	return contradiction, lapsed
}
