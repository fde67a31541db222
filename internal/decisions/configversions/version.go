package configversions

import (
	"time"

	"brassdale/internal/decisions/canary"
)

// Version is one version of the rules. Numbers increase, and an announced version gets a number that no version has had. If it is
// withdrawn, the version in force gets the number after it and keeps its rules: 4 becomes 6 if 5 is withdrawn. So no later version
// can be mistaken for the withdrawn one.
type Version struct {
	Number uint64    `json:"number"` // 0 before the fleet has agreed on a version
	Rules  Rules     `json:"rules"`
	By     string    `json:"by"`  // who proposed it
	Reason string    `json:"why"` // given by the proposer
	At     time.Time `json:"at"`  // when it was proposed, by the proposer's clock; informative, no decision uses it
	// Canary limits the version to a share of the dispatchers for a time; nil if the version applies to all.
	Canary *canary.Rollout `json:"trial,omitempty"`
}

// Withdrawal is a version that was announced and withdrawn before it was in force.
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
