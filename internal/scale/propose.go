package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"brassdale/internal/decisions/configversions"
)

// proposer proposes rules, one version behind the other.
type proposer struct {
	run         *run
	rng         *rand.Rand
	newestKnown uint64 // the newest version that it has heard of
}

func (f *run) newProposer() *proposer {
	return &proposer{run: f, rng: rand.New(rand.NewPCG(f.Seed, 4))}
}

// propose proposes rules until then, each in its turn and one as a fault begins.
func (p *proposer) proposeUntil(end time.Time) {
	for at := time.Now(); at.Before(end); at = at.Add(p.run.ChangeInterval) {
		select {
		case <-p.run.ctx.Done():
			return
		case <-p.run.proposeNow:
		case <-time.After(time.Until(at)):
		}
		if !p.proposeOnce(end) {
			return
		}
	}
}

// once proposes rules again and again while nobody takes them, until then.
func (p *proposer) proposeOnce(end time.Time) bool {
	f := p.run
	rules := configversions.Rules{RetryRatio: float64(p.rng.IntN(10)) / 10, RetriesAllowed: p.rng.IntN(4) > 0, QuotaCaps: map[string]float64{}}
	for i := range f.Teams { // the quotas that control carries today
		rules.QuotaCaps[teamName(i)] = float64(1+p.rng.IntN(20)) / 100
	}
	for n, at := 0, time.Now(); f.ctx.Err() == nil; n++ {
		v := configversions.Version{Number: p.newestKnown, Rules: rules, By: fleetName, Reason: "a change of the plan's", At: at}
		record, taken := f.postProposal(v, n)
		if p.newestKnown = max(p.newestKnown, record.InForce.Number); taken {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.changes = append(f.changes, acceptedChange{record.Announced.Number, at})
			return true
		}
		if at = time.Now().Add(proposalRetryInterval); !sleepUntil(f.ctx, at) || !at.Before(end) {
			return false
		}
	}
	return false
}

// last proposes once more where no change was taken since a fault was over: by it is seen whether all are whole again.
func (p *proposer) proposeAfterFault(by time.Time) {
	f := p.run
	f.mu.Lock()
	over := f.faultRecord.endedAt
	done := slices.ContainsFunc(f.changes, func(c acceptedChange) bool { return !c.at.Before(over) })
	f.mu.Unlock()
	if !done {
		p.proposeOnce(by)
	}
}

const (
	proposalRetryInterval = 100 * time.Millisecond
	proposalTimeout       = 2 * time.Second
)

// contacted gives whom a proposal goes to: who leads, and for each one that was in vain the next seat that is there.
func (f *run) proposalTarget(n int) string {
	leads := f.currentLeader()
	var seats []string
	for _, m := range f.running() {
		if m.name == leads {
			seats = slices.Insert(seats, 0, m.fleetAddress)
		} else if m.voterNumber > 0 {
			seats = append(seats, m.fleetAddress)
		}
	}
	if len(seats) == 0 {
		return f.voterAddresses[0]
	}
	return seats[n%len(seats)]
}

// order proposes a version, and tells whether it was announced.
func (f *run) postProposal(v configversions.Version, n int) (configversions.Record, bool) {
	var got struct{ Record configversions.Record }
	to := f.proposalTarget(n)
	text, err := json.Marshal(v)
	if err != nil {
		return got.Record, false
	}
	ctx, stop := context.WithDeadline(f.ctx, time.Now().Add(proposalTimeout))
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/council/propose", bytes.NewReader(text))
	if err != nil {
		return got.Record, false
	}
	resp, err := f.proposals.http.Do(r)
	if err != nil {
		return got.Record, false
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&got)
	return got.Record, err == nil && resp.StatusCode == http.StatusOK && got.Record.Announced != nil
}
