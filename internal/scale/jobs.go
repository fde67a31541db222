package scale

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"brassdale/internal/emulator"
	"brassdale/internal/labsupport"
)

// jobCounts are the jobs of a run by outcome.
type jobCounts struct {
	sent       int
	answered   int
	unanswered int
	lost       int // unanswered because their dispatcher was killed
}

// jobStream is the random stream of the jobs.
const jobStream = 3

// sendJobs sends jobs to the dispatchers that take jobs, in turn and without waiting for earlier jobs, until the end of the span. The rate is
// these dispatchers' share of the plan's rate. sendJobs returns when the last job has ended.
func (r *run) sendJobs(ctx context.Context, end time.Time) {
	rate := r.plan.Rate / float64(r.plan.Dispatchers) * float64(len(r.jobTargets()))
	if rate <= 0 {
		return
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(r.plan.Seed, jobStream))
	var sending sync.WaitGroup
	defer sending.Wait()
	for number, at := 0, time.Now(); at.Before(end); number++ {
		if !labsupport.WaitUntil(ctx, at) {
			return
		}
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		team := teamName(random.IntN(max(r.plan.Teams, 1)))
		if targets := r.jobTargets(); len(targets) > 0 {
			sending.Go(func() { r.sendJob(ctx, client, targets[number%len(targets)], number, team) })
		}
	}
}

// jobTargets returns the dispatchers that take jobs and run now.
func (r *run) jobTargets() []dispatcher {
	return slices.DeleteFunc(r.running(), func(each dispatcher) bool { return each.hollow || each.role == roleDedicated })
}

// sendJob sends a job and counts its outcome.
func (r *run) sendJob(ctx context.Context, client *http.Client, target dispatcher, number int, team string) {
	job := labsupport.Job{Seed: r.plan.Seed, Number: number, Class: emulator.ClassName, Account: team}
	_, err := job.Post(ctx, client, target.process.Address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobCounts.sent++
	restarted := slices.ContainsFunc(r.dispatchers, func(each *dispatcher) bool { return each.name == target.name && each.process != target.process })
	switch {
	case err == nil:
		r.jobCounts.answered++
	case restarted:
		r.jobCounts.lost++
	default:
		r.jobCounts.unanswered++
	}
}
