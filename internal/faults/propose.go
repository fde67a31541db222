package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"brassdale/internal/decisions/canary"
	"brassdale/internal/decisions/configversions"
)

// proposals announces rules now and then, at some process that is there. Where some are of an older build every other
// proposal is one that they could not read.
func (f *play) proposals(end time.Time) {
	rng := rand.New(rand.NewPCG(f.Seed, 4))
	n := 0
	for at := time.Now().Add(f.Proposals); at.Before(end); at = at.Add(f.Proposals) {
		if !until(f.ctx, at) {
			return
		}
		rules := configversions.Rules{RetryRatio: float64(rng.IntN(10)) / 10, RetriesAllowed: rng.IntN(4) > 0}
		if n++; f.Older > 0 && n%2 == 0 {
			rules.Quotas = map[string]float64{"deeside-aero": 0.5}
		}
		f.propose(f.ats[rng.IntN(len(f.ats))], rules, nil)
	}
}

// propose announces rules, if nothing is under way, and tells whether that was taken.
func (f *play) propose(at string, rules configversions.Rules, rollout *canary.Rollout) bool {
	var s struct{ Record configversions.Record }
	if f.call(at, "status", nil, &s) != nil || s.Record.Announced != nil {
		return false
	}
	text, err := json.Marshal(configversions.Version{Number: s.Record.InForce.Number, Rules: rules, By: "rig", Reason: "drawn", At: time.Now(), Canary: rollout})
	var got struct{ Record configversions.Record }
	if err == nil {
		err = f.call(at, "propose", text, &got)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil && strings.Contains(err.Error(), "older builds") {
		f.r.RefusedOlder++
	}
	if err != nil || got.Record.Announced == nil {
		return false
	}
	f.r.announced[got.Record.Announced.Number] = time.Now()
	return true
}

// stage has half the processes try rules under which nothing is served, until that is taken.
func (f *play) stage() error {
	var rules configversions.Rules
	for _, id := range f.cluster.Workers() {
		rules.DetachedWorkers = append(rules.DetachedWorkers, string(id))
	}
	for !f.propose(f.voters[0], rules, &canary.Rollout{Share: 0.5, MinDuration: 3 * time.Second, FailureMargin: 0.05}) {
		if !until(f.ctx, time.Now().Add(50*time.Millisecond)) {
			return f.ctx.Err()
		}
	}
	return nil
}

// twice has two rules proposed at two voters at once: one of them at the most is announced.
func (f *play) twice() error {
	taken := make([]bool, 2)
	var wait sync.WaitGroup
	for i := range taken {
		wait.Go(func() {
			taken[i] = f.propose(f.voters[i], configversions.Rules{RetryRatio: float64(i), RetriesAllowed: true}, nil)
		})
	}
	wait.Wait()
	if taken[0] && taken[1] {
		var s struct{ Record configversions.Record }
		if err := f.call(f.voters[0], "status", nil, &s); err != nil {
			return err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.r.announced) < 2 {
			return errors.New("two proposals were taken for one version")
		}
	}
	return nil
}

// leader is the process that leads, or the first where nobody says so.
func (f *play) leader() int {
	for range 100 {
		for i, at := range f.ats {
			var s struct{ Leads bool }
			if f.call(at, "status", nil, &s) == nil && s.Leads {
				return i
			}
		}
		until(f.ctx, time.Now().Add(20*time.Millisecond))
	}
	return 0
}

// known takes what the council knows at the end into the result.
func (f *play) known() {
	if f.Voters == 0 {
		return
	}
	var s struct{ Record configversions.Record }
	for i, at := range f.ats {
		if f.all[i].lost || f.call(at, "status", nil, &s) != nil {
			continue
		}
		break
	}
	f.r.Withdrawn = len(s.Record.Withdrawn)
	for _, voter := range s.Record.Voters {
		f.r.Voters = append(f.r.Voters, voter.ID)
	}
}

func (f *play) call(at, what string, body []byte, to any) error {
	ctx, stop := context.WithDeadline(f.ctx, time.Now().Add(2*time.Second))
	defer stop()
	method := http.MethodPost
	if body == nil {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/council/%s", at, what), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var why struct{ Why string }
		_ = json.NewDecoder(resp.Body).Decode(&why)
		return fmt.Errorf("status %d: %s", resp.StatusCode, why.Why)
	}
	return json.NewDecoder(resp.Body).Decode(to)
}
