package faults

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// EffectiveState is what a process acted on for a while.
type EffectiveState struct {
	From     time.Time `json:"From"`
	To       time.Time `json:"To"`
	Versions []uint64  `json:"Versions"`
	Lapsed   bool      `json:"Lapsed"`
}

var acting = regexp.MustCompile(`msg="config version applied" versions="?\[([0-9 ]*)\]"? lease_expired=(true|false) at_ms=(\d+)`)

// EffectiveStates reads them from a process's log, which ended then. What it stood for while it was away is cut out: what it says
// first behind that is the first thing that it does.
func EffectiveStates(log string, end time.Time, absences []Absence) (all []EffectiveState) {
	for _, m := range acting.FindAllStringSubmatch(log, -1) {
		ms, err := strconv.ParseInt(m[3], 10, 64)
		if err != nil {
			continue
		}
		s := EffectiveState{From: time.UnixMilli(ms), To: end, Lapsed: m[2] == "true"}
		for _, v := range strings.Fields(m[1]) {
			n, _ := strconv.ParseUint(v, 10, 64)
			s.Versions = append(s.Versions, n)
		}
		if len(all) > 0 {
			all[len(all)-1].To = s.From
		}
		all = append(all, s)
	}
	for i := range all {
		for _, a := range absences {
			if a.From.After(all[i].From) && a.From.Before(all[i].To) {
				all[i].To = a.From
			}
		}
	}
	return all
}

// Absence is when a process stood still or was gone.
type Absence struct{ From, To time.Time }

// ContradictionTime gives for how long any two processes acted on versions with nothing in common while both held leases, at the most;
// and the same where one held none.
func ContradictionTime(processes [][]EffectiveState) (contradiction, lapsed time.Duration) {
	for i, a := range processes {
		for _, b := range processes[:i] {
			for _, x := range a {
				for _, y := range b {
					from, to := x.From, x.To
					if y.From.After(from) {
						from = y.From
					}
					if y.To.Before(to) {
						to = y.To
					}
					if slices.ContainsFunc(x.Versions, func(v uint64) bool { return slices.Contains(y.Versions, v) }) {
						continue
					}
					if span := to.Sub(from); x.Lapsed || y.Lapsed {
						lapsed = max(lapsed, span)
					} else {
						contradiction = max(contradiction, span)
					}
				}
			}
		}
	}
	return contradiction, lapsed
}
