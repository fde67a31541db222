package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"brassdale/internal/decisions/agreement"
)

// propose proposes rules, each in its turn and one as a fault begins; again and again while nobody takes them.
func (f *stage) propose(end time.Time) {
	rng := rand.New(rand.NewPCG(f.Seed, 4))
	known := uint64(0)
	for at := time.Now(); at.Before(end); at = at.Add(f.Every) {
		select {
		case <-f.ctx.Done():
			return
		case <-f.hurry:
		case <-time.After(time.Until(at)):
		}
		rules := agreement.Rules{Retries: float64(rng.IntN(10)) / 10, Repeat: rng.IntN(4) > 0, Shares: map[string]float64{}}
		for i := range f.Teams { // the quotas that control carries today
			rules.Shares[teamName(i)] = float64(1+rng.IntN(20)) / 100
		}
		for n, at := 0, time.Now(); f.ctx.Err() == nil; n++ {
			v := agreement.Version{Number: known, Rules: rules, By: fleetName, Why: "a change of the plan's", At: at}
			record, taken := f.order(v, n)
			if known = max(known, record.InForce.Number); taken {
				f.mu.Lock()
				f.changes = append(f.changes, change{record.Announced.Number, at})
				f.mu.Unlock()
				break
			}
			if at = time.Now().Add(orderEvery); !until(f.ctx, at) || !at.Before(end) {
				return
			}
		}
	}
}

const (
	orderEvery  = 100 * time.Millisecond
	orderWithin = 2 * time.Second
)

// asked gives whom a proposal goes to: who leads, and for each one that was in vain the next seat that is there.
func (f *stage) asked(n int) string {
	leads := f.leader()
	var seats []string
	for _, m := range f.there() {
		if m.name == leads {
			seats = slices.Insert(seats, 0, m.address)
		} else if m.seat > 0 {
			seats = append(seats, m.address)
		}
	}
	if len(seats) == 0 {
		return f.voters[0]
	}
	return seats[n%len(seats)]
}

// order proposes a version, and tells whether it was announced.
func (f *stage) order(v agreement.Version, n int) (agreement.Record, bool) {
	var got struct{ Record agreement.Record }
	to := f.asked(n)
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
