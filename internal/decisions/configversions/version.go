package configversions

import (
	"time"

	"brassdale/internal/decisions/canary"
)

// Version is one version of the rules. Numbers increase, and an announced version gets one that no version has had. When it is
// withdrawn, the version in force takes the number after it with its rules unchanged: from 4 it becomes 6 if 5 was withdrawn. So
// nobody takes a later version for the withdrawn one.
type Version struct {
	Number uint64    `json:"number"` // 0 before the fleet has agreed on a version
	Rules  Rules     `json:"rules"`
	By     string    `json:"by"`  // who proposed it
	Reason string    `json:"why"` // as the proposer gave it
	At     time.Time `json:"at"`  // when it was proposed, by the proposer's clock; informative, no decision uses it
	// Canary limits the version to a share of the dispatchers for a time; nil where the version applies to all.
	Canary *canary.Rollout `json:"trial,omitempty"`
}

// Withdrawal is a version that was announced and given up before it was in force.
type Withdrawal struct {
	Version Version `json:"version"`
	Reason  string  `json:"why"`
}

// effectiveRules returns the rules of v, which are unrestricted before the fleet has agreed on a version.
func (v Version) effectiveRules() Rules {
	if v.Number == 0 {
		return unrestrictedRules()
	}
	return v.Rules
}
