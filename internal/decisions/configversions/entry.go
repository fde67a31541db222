package configversions

import (
	"cmp"
	"errors"
	"slices"

	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/voters"
)

// Entry is a command in the raft log. It changes one thing: exactly one of Announce, PutInForce, Withdraw, EndCanary, Voters,
// Plan and ZoneLimit is set.
type Entry struct {
	ID         string         `json:"id"`                 // chosen by the proposer, to recognise the entry in the log
	Announce   *Version       `json:"announce,omitempty"` // a new version; its Number names the version in force on which it is based, and Apply replaces it with the next number
	PutInForce uint64         `json:"force,omitempty"`    // number of the announced version, which becomes the one in force
	Withdraw   uint64         `json:"withdraw,omitempty"` // number of the announced version, which is withdrawn
	EndCanary  uint64         `json:"widen,omitempty"`    // number of the announced version, which applies to all dispatchers from now on
	Reason     string         `json:"why,omitempty"`      // of a withdrawal
	Voters     []voters.Voter `json:"council,omitempty"`  // all voters and learners from now on
	Plan       *failover.Plan `json:"plan,omitempty"`     // the next zone plan
	ZoneLimit  *ZoneLimit     `json:"hold,omitempty"`     // replaces the zone's limit
}

// The errors with which Apply rejects an entry, in addition to those of Rules.Check and canary.Rollout.Check.
var (
	ErrChangeInProgress = errors.New("another change is under way")
	ErrNotNextVersion   = errors.New("it does not follow the version in force")
	ErrNotAnnounced     = errors.New("no such version is announced")
	ErrCanaryRunning    = errors.New("the canary of the version has not ended")
	ErrZoneLimit        = errors.New("a hold names a zone and a share from 0 to 1")
)

// Apply returns the record that results from an entry. If it returns an error, it returns r unchanged; every dispatcher that applies
// the entry to the same record gets the same error.
func (r Record) Apply(entry Entry) (Record, error) {
	next, err := r.apply(entry)
	if err != nil {
		return r, err
	}
	next.Revision++
	return next, nil
}

// apply is Apply, except that it does not increase the revision. The record that it returns with an error is invalid.
func (r Record) apply(entry Entry) (Record, error) {
	switch {
	case entry.Announce != nil:
		return r.announce(*entry.Announce)
	case entry.Plan != nil:
		return r.replacePlan(entry.Plan)
	case entry.ZoneLimit != nil:
		return r.limitZone(*entry.ZoneLimit)
	case entry.Voters != nil:
		return r.replaceVoters(entry.Voters), nil
	case r.Announced == nil || r.Announced.Number != entry.announcedNumber():
		return r, ErrNotAnnounced
	case entry.EndCanary > 0:
		return r.endCanary()
	case entry.PutInForce > 0:
		return r.putInForce()
	default:
		return r.withdraw(entry.Reason), nil
	}
}

// announcedNumber returns the number of the announced version that the entry is about: exactly one of PutInForce, Withdraw and
// EndCanary is set.
func (e Entry) announcedNumber() uint64 { return max(e.PutInForce, e.Withdraw, e.EndCanary) }

// announce makes version the announced one, with the next number.
func (r Record) announce(version Version) (Record, error) {
	if r.Announced != nil {
		return r, ErrChangeInProgress
	}
	if version.Number != r.InForce.Number {
		return r, ErrNotNextVersion
	}
	if err := cmp.Or(version.Rules.Check(), version.Canary.Check()); err != nil {
		return r, err
	}
	version.Number++
	r.Announced = &version
	return r, nil
}

// replacePlan sets the zone plan, whose number must be larger than the last one's.
func (r Record) replacePlan(plan *failover.Plan) (Record, error) {
	if r.Plan != nil && plan.Number <= r.Plan.Number {
		return r, ErrNotNextVersion
	}
	r.Plan = plan
	return r, nil
}

// limitZone replaces the limit of one zone. A share of 1 ends the zone's limit.
func (r Record) limitZone(limit ZoneLimit) (Record, error) {
	if !limit.valid() {
		return r, ErrZoneLimit
	}
	r.ZoneLimits = slices.DeleteFunc(slices.Clone(r.ZoneLimits), func(old ZoneLimit) bool { return old.Zone == limit.Zone })
	if limit.Share < 1 {
		r.ZoneLimits = append(r.ZoneLimits, limit)
	}
	return r, nil
}

// replaceVoters sets the members of the raft group.
func (r Record) replaceVoters(members []voters.Voter) Record {
	r.Voters = members
	for _, voter := range members {
		r.NextVoterID = max(r.NextVoterID, voter.ID+1)
	}
	return r
}

// endCanary makes the announced version apply to all dispatchers.
func (r Record) endCanary() (Record, error) {
	if r.Announced.Canary == nil {
		return r, ErrNotAnnounced
	}
	version := *r.Announced
	version.Canary = nil
	r.Announced = &version
	return r, nil
}

// putInForce makes the announced version the one in force.
func (r Record) putInForce() (Record, error) {
	if r.Announced.Canary != nil {
		return r, ErrCanaryRunning
	}
	r.History = newest(append(slices.Clone(r.History), r.InForce))
	r.InForce, r.Announced = *r.Announced, nil
	return r, nil
}

// withdraw withdraws the announced version. The version in force gets the number after the withdrawn one. So no later version has
// the number of the withdrawn one, which dispatchers may have acknowledged.
func (r Record) withdraw(reason string) Record {
	r.Withdrawn = newest(append(slices.Clone(r.Withdrawn), Withdrawal{*r.Announced, reason}))
	r.InForce.Number, r.Announced = r.Announced.Number+1, nil
	return r
}

// newest returns the last maxHistory items.
func newest[Item any](items []Item) []Item {
	return items[max(len(items)-maxHistory, 0):]
}
