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
	f     *stage
	rng   *rand.Rand
	known uint64 // the newest version that it has heard of
}

func (f *stage) newProposer() *proposer {
	return &proposer{f: f, rng: rand.New(rand.NewPCG(f.Seed, 4))}
}

// propose proposes rules until then, each in its turn and one as a fault begins.
func (p *proposer) propose(end time.Time) {
	for at := time.Now(); at.Before(end); at = at.Add(p.f.Every) {
		select {
		case <-p.f.ctx.Done():
			return
		case <-p.f.hurry:
		case <-time.After(time.Until(at)):
		}
		if !p.once(end) {
			return
		}
	}
}

// once proposes rules again and again while nobody takes them, until then.
func (p *proposer) once(end time.Time) bool {
	f := p.f
	rules := configversions.Rules{RetryRatio: float64(p.rng.IntN(10)) / 10, RetriesAllowed: p.rng.IntN(4) > 0, Quotas: map[string]float64{}}
	for i := range f.Teams { // the quotas that control carries today
		rules.Quotas[teamName(i)] = float64(1+p.rng.IntN(20)) / 100
	}
	for n, at := 0, time.Now(); f.ctx.Err() == nil; n++ {
		v := configversions.Version{Number: p.known, Rules: rules, By: fleetName, Reason: "a change of the plan's", At: at}
		record, taken := f.order(v, n)
		if p.known = max(p.known, record.InForce.Number); taken {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.changes = append(f.changes, change{record.Announced.Number, at})
			return true
		}
		if at = time.Now().Add(orderEvery); !until(f.ctx, at) || !at.Before(end) {
			return false
		}
	}
	return false
}

// last proposes once more where no change was taken since a fault was over: by it is seen whether all are whole again.
func (p *proposer) last(by time.Time) {
	f := p.f
	f.mu.Lock()
	over := f.faulty.over
	done := slices.ContainsFunc(f.changes, func(c change) bool { return !c.at.Before(over) })
	f.mu.Unlock()
	if !done {
		p.once(by)
	}
}

const (
	orderEvery  = 100 * time.Millisecond
	orderWithin = 2 * time.Second
)

// contacted gives whom a proposal goes to: who leads, and for each one that was in vain the next seat that is there.
func (f *stage) contacted(n int) string {
	leads := f.leader()
	var seats []string
	for _, m := range f.there() {
		if m.name == leads {
			seats = slices.Insert(seats, 0, m.address)
		} else if m.voter > 0 {
			seats = append(seats, m.address)
		}
	}
	if len(seats) == 0 {
		return f.voters[0]
	}
	return seats[n%len(seats)]
}

// order proposes a version, and tells whether it was announced.
func (f *stage) order(v configversions.Version, n int) (configversions.Record, bool) {
	var got struct{ Record configversions.Record }
	to := f.contacted(n)
	text, err := json.Marshal(v)
	if err != nil {
		return got.Record, false
	}
	ctx, stop := context.WithDeadline(f.ctx, time.Now().Add(orderWithin))
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/council/propose", bytes.NewReader(text))
	if err != nil {
		return got.Record, false
	}
	resp, err := f.orders.http.Do(r)
	if err != nil {
		return got.Record, false
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&got)
	return got.Record, err == nil && resp.StatusCode == http.StatusOK && got.Record.Announced != nil
}
