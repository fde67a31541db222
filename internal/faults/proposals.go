package faults

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"brassdale/internal/decisions/canary"
	"brassdale/internal/decisions/configversions"
	"brassdale/internal/labsupport"
)

// olderBuildsReason is part of the reason of a rejection if processes of older builds could not read the proposal.
const olderBuildsReason = "older builds"

// proposeRepeatedly proposes random rules at random processes until the given time. If some processes are of an older build, every
// other proposal has a quota cap, which they cannot read.
func (r *run) proposeRepeatedly(ctx context.Context, end time.Time) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, proposalSource))
	number := 0
	for at := time.Now().Add(r.plan.ProposalInterval); at.Before(end); at = at.Add(r.plan.ProposalInterval) {
		if !labsupport.WaitUntil(ctx, at) {
			return
		}
		rules := configversions.Rules{RetryRatio: float64(rng.IntN(10)) / 10, RetriesAllowed: rng.IntN(4) > 0}
		number++
		if r.plan.OlderBuilds > 0 && number%2 == 0 {
			rules.QuotaCaps = map[string]float64{jobAccount: 0.5}
		}
		r.propose(ctx, r.processes[rng.IntN(len(r.processes))], rules, nil)
	}
}

// propose proposes rules at a process, unless a version is already announced. It reports whether the proposal was announced.
func (r *run) propose(ctx context.Context, process *dispatcherProcess, rules configversions.Rules, rollout *canary.Rollout) bool {
	status, err := r.requestStatus(ctx, process)
	if err != nil || status.Record.Announced != nil {
		return false
	}
	version := configversions.Version{
		Number: status.Record.InForce.Number,
		Rules:  rules,
		By:     "rig",
		Reason: "drawn",
		At:     time.Now(),
		Canary: rollout,
	}
	var response struct{ Record configversions.Record }
	text, err := json.Marshal(version)
	if err == nil {
		err = r.callFleet(ctx, process, "propose", text, &response)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var rejected *rejectedCallError
	if errors.As(err, &rejected) && strings.Contains(rejected.reason, olderBuildsReason) {
		r.result.RefusedOlder++
	}
	if err != nil || response.Record.Announced == nil {
		return false
	}
	r.announcedAt[response.Record.Announced.Number] = time.Now()
	return true
}

const (
	canaryShare         = 0.5 // share of the processes
	canaryMinDuration   = 3 * time.Second
	canaryFailureMargin = 0.05
	canaryRetryInterval = 50 * time.Millisecond // between two attempts to propose
)

// proposeCanary proposes rules that detach all workers, with a canary of half the processes. It repeats the proposal until it is
// announced, and returns an error if the context ends first.
func (r *run) proposeCanary(ctx context.Context) error {
	var rules configversions.Rules
	for _, id := range r.cluster.Workers() {
		rules.DetachedWorkers = append(rules.DetachedWorkers, string(id))
	}
	rollout := &canary.Rollout{Share: canaryShare, MinDuration: canaryMinDuration, FailureMargin: canaryFailureMargin}
	for !r.propose(ctx, r.voters()[0], rules, rollout) {
		if !labsupport.WaitUntil(ctx, time.Now().Add(canaryRetryInterval)) {
			return ctx.Err()
		}
	}
	return nil
}

// proposeTwice makes two proposals at two voters at the same time. It returns an error if both were announced but the run has fewer than
// two announced versions in total. If a version was announced earlier, it does not detect that both proposals became one version.
func (r *run) proposeTwice(ctx context.Context) error {
	announced := make([]bool, 2)
	var proposing sync.WaitGroup
	for i := range announced {
		proposing.Go(func() {
			announced[i] = r.propose(ctx, r.voters()[i], configversions.Rules{RetryRatio: float64(i), RetriesAllowed: true}, nil)
		})
	}
	proposing.Wait()
	if !announced[0] || !announced[1] {
		return nil
	}
	if _, err := r.requestStatus(ctx, r.voters()[0]); err != nil { // the voter must still answer
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.announcedAt) < 2 {
		return errors.New("two announced proposals became one version")
	}
	return nil
}
