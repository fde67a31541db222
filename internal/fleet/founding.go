package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"brassdale/internal/decisions/voters"
	"brassdale/internal/fleet/raftlog"
	"brassdale/internal/traffic"
)

// startFounder runs this dispatcher's voter as a founder, once it has reached all founders. While founders are missing it returns
// nil without starting the voter; manageVoter then calls it again.
func (a *Agent) startFounder(ctx context.Context, id uint64) error {
	founder, err := raftlog.EnsureFounder(a.settings.Directory, id, nil)
	if err != nil {
		return err
	}
	a.setFounder(founder)
	if founder.FoundingVoters == nil {
		founded, err := a.foundRaftGroup(ctx, id, founder)
		if err != nil || !founded {
			return err
		}
	}
	return a.runVoter(ctx, id, a.settings.founders())
}

// foundRaftGroup stores the founding voters in this founder's voter file if it reaches all of them, and reports whether it did.
func (a *Agent) foundRaftGroup(ctx context.Context, id uint64, founder voters.Founder) (founded bool, err error) {
	others := a.callFounders(ctx, id)
	decision, foundingVoters := voters.DecideFounding(id, founder.Incarnation, others, len(a.settings.Voters))
	switch decision {
	case voters.WaitForFounders:
		return false, nil
	case voters.NotAFounder:
		a.warnOnce("voter file is not the one with which the raft group was founded, continuing as follower")
		return false, nil
	}
	founder, err = raftlog.EnsureFounder(a.settings.Directory, id, foundingVoters)
	if err != nil {
		return false, err
	}
	a.setFounder(founder)
	a.log.Info("raft group founded", "voters", len(foundingVoters))
	return true, nil
}

// callFounders returns the states of the other founders, by voter ID. It omits founders that do not answer.
func (a *Agent) callFounders(ctx context.Context, ownID uint64) map[uint64]voters.Founder {
	others := map[uint64]voters.Founder{}
	for _, voter := range a.settings.founders() {
		if voter.ID == ownID {
			continue
		}
		metered := a.options.Meter.Call(ctx, traffic.Other)
		status, text, err := Call(metered, a.client, a.url(voter.Address, "founder"), nil, time.Now().Add(callTimeout))
		if err != nil || status != http.StatusOK {
			continue
		}
		var other voters.Founder
		if json.Unmarshal(text, &other) == nil && other.Incarnation != "" {
			others[voter.ID] = other
		}
	}
	return others
}

// setFounder sets the founder state that serveFounder returns to the other founders.
func (a *Agent) setFounder(founder voters.Founder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.founder = &founder
}

// warnOnce logs a warning, unless it equals the last warning that it logged.
func (a *Agent) warnOnce(message string) {
	a.mu.Lock()
	repeated := a.lastWarning == message
	a.lastWarning = message
	a.mu.Unlock()
	if !repeated {
		a.log.Warn(message)
	}
}
