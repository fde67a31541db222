package scale

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/labsupport"
)

// acceptedChange is a config version that was proposed and accepted.
type acceptedChange struct {
	version uint64
	at      time.Time // when the accepted attempt was made
}

// proposer proposes config versions, each based on the one before. It is used by one goroutine at a time.
type proposer struct {
	run         *run
	random      *rand.Rand
	newestKnown uint64 // version number
}

const (
	proposalStream        = 4                      // random stream of the proposals
	proposalRetryInterval = 100 * time.Millisecond // after an attempt that was not accepted
	proposalTimeout       = 2 * time.Second
	proposePath           = "/council/propose"
	proposalReason        = "a change of the plan's"
)

// newProposer returns the proposer of a run.
func newProposer(r *run) *proposer {
	return &proposer{run: r, random: rand.New(rand.NewPCG(r.plan.Seed, proposalStream))}
}

// proposeUntil proposes config versions at the plan's interval until the end. When a fault begins, it proposes one at once.
func (p *proposer) proposeUntil(ctx context.Context, end time.Time) {
	for at := time.Now(); at.Before(end); at = at.Add(p.run.plan.ChangeInterval) {
		select {
		case <-ctx.Done():
			return
		case <-p.run.proposeNow:
		case <-time.After(time.Until(at)):
		}
		if !p.proposeOnce(ctx, end) {
			return
		}
	}
}

// proposeOnce proposes a config version until it is accepted. It returns false if that does not happen before the end.
func (p *proposer) proposeOnce(ctx context.Context, end time.Time) bool {
	rules := p.randomRules()
	for attempt, at := 0, time.Now(); ctx.Err() == nil; attempt++ {
		proposed := configversions.Version{Number: p.newestKnown, Rules: rules, By: fleetName, Reason: proposalReason, At: at}
		record, accepted := p.run.postProposal(ctx, proposed, p.run.proposalTarget(attempt))
		p.newestKnown = max(p.newestKnown, record.InForce.Number)
		if accepted {
			p.run.mu.Lock()
			defer p.run.mu.Unlock()
			p.run.changes = append(p.run.changes, acceptedChange{record.Announced.Number, at})
			return true
		}
		if at = time.Now().Add(proposalRetryInterval); !labsupport.WaitUntil(ctx, at) || !at.Before(end) {
			return false
		}
	}
	return false
}

// randomRules returns rules of a realistic size, with a quota for each team.
func (p *proposer) randomRules() configversions.Rules {
	rules := configversions.Rules{RetryRatio: float64(p.random.IntN(10)) / 10, RetriesAllowed: p.random.IntN(4) > 0, QuotaCaps: map[string]float64{}}
	for team := range p.run.plan.Teams {
		rules.QuotaCaps[teamName(team)] = float64(1+p.random.IntN(20)) / 100
	}
	return rules
}

// proposeAfterFault proposes a config version by the deadline if none was accepted since the fault ended. The fleet has recovered when a version
// that was accepted after the fault began is in force everywhere.
func (p *proposer) proposeAfterFault(ctx context.Context, deadline time.Time) {
	p.run.mu.Lock()
	endedAt := p.run.faultRecord.endedAt
	accepted := slices.ContainsFunc(p.run.changes, func(change acceptedChange) bool { return !change.at.Before(endedAt) })
	p.run.mu.Unlock()
	if !accepted {
		p.proposeOnce(ctx, deadline)
	}
}

// proposalTarget returns the address for an attempt to propose. The attempts go to the leader and the running initial voters in turn, starting
// with the leader.
func (r *run) proposalTarget(attempt int) string {
	leader := r.currentLeader()
	var addresses []string
	for _, each := range r.running() {
		if each.name == leader {
			addresses = slices.Insert(addresses, 0, each.fleetAddress)
		} else if each.voterNumber > 0 {
			addresses = append(addresses, each.fleetAddress)
		}
	}
	if len(addresses) == 0 {
		return r.voterAddresses[0]
	}
	return addresses[attempt%len(addresses)]
}

// postProposal proposes a config version at an address. It returns the record in the response, and whether the version was announced.
func (r *run) postProposal(ctx context.Context, proposed configversions.Version, address string) (configversions.Record, bool) {
	var response struct{ Record configversions.Record }
	body, err := json.Marshal(proposed)
	if err != nil {
		return response.Record, false
	}
	status, text, err := r.proposals.send(ctx, proposalTimeout, http.MethodPost, "http://"+address+proposePath, body)
	if err != nil {
		return response.Record, false
	}
	err = json.Unmarshal(text, &response)
	return response.Record, err == nil && status == http.StatusOK && response.Record.Announced != nil
}
