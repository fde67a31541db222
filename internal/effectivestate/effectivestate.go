// Package effectivestate reads from the logs of dispatchers which config versions they acted on, and computes for how long two
// dispatchers contradicted each other. Packages faults and scale and the tests of the dispatcher's program use it.
package effectivestate

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// State is the set of config versions that a process acted on between two times.
type State struct {
	From     time.Time `json:"From"`
	To       time.Time `json:"To"`
	Versions []uint64  `json:"Versions"` // two while the process complies with an old and a new version
	Lapsed   bool      `json:"Lapsed"`   // without a lease
}

// InForce returns the only version of the state. ok is false if the state has several versions or no lease.
func (s *State) InForce() (version uint64, ok bool) {
	if s.Lapsed || len(s.Versions) != 1 {
		return 0, false
	}
	return s.Versions[0], true
}

// overlap returns how long two states lasted at the same time; 0 or less if they do not overlap.
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

// Period is a period in which a process was stopped, did not run or was cut off from others. From is zero if the period began with
// the run; To is zero while the period lasts.
type Period struct{ From, To time.Time }

// appliedVersions matches the log line that a dispatcher writes when the versions that it acts on, or its lease, have changed.
var appliedVersions = regexp.MustCompile(`msg="config version applied" versions="?\[([0-9 ]*)\]"? lease_expired=(true|false) at_ms=(\d+)`)

// FromLog returns the states of a process from its log, which ends at the given time. A state ends early when an absence begins;
// the next state begins with the first log line after the absence.
func FromLog(log string, end time.Time, absences []Period) []State {
	var states []State
	for _, match := range appliedVersions.FindAllStringSubmatch(log, -1) {
		ms, err := strconv.ParseInt(match[3], 10, 64)
		if err != nil {
			continue
		}
		state := State{From: time.UnixMilli(ms), To: end, Lapsed: match[2] == "true"}
		for _, text := range strings.Fields(match[1]) {
			version, _ := strconv.ParseUint(text, 10, 64) // the regular expression matches only digits
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

// ContradictionTime returns the longest times for which two processes acted on states without a common version: contradiction if both
// processes had leases at that time, unleased if one or both had no lease.
func ContradictionTime(processes [][]State) (contradiction, unleased time.Duration) {
	for i, states := range processes {
		for _, others := range processes[:i] {
			pairContradiction, pairUnleased := contradictionOf(states, others)
			contradiction, unleased = max(contradiction, pairContradiction), max(unleased, pairUnleased)
		}
	}
	return contradiction, unleased
}

// contradictionOf is ContradictionTime for two processes.
func contradictionOf(states, others []State) (contradiction, unleased time.Duration) {
	for i := range states {
		for j := range others {
			state, other := &states[i], &others[j]
			if !state.contradicts(other) {
				continue
			}
			if state.Lapsed || other.Lapsed {
				unleased = max(unleased, state.overlap(other))
			} else {
				contradiction = max(contradiction, state.overlap(other))
			}
		}
	}
	return contradiction, unleased
}
