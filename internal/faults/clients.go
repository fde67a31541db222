package faults

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"brassdale/internal/emulator"
	"brassdale/internal/labsupport"
)

const (
	jobAccount    = "deeside-aero"
	absenceMargin = time.Second // an absence that ended up to this long before a job was sent still explains a missing answer
)

// sendJobs sends jobs in an open loop until the given end, each to a random process that is present. It returns when all jobs have ended.
func (r *run) sendJobs(ctx context.Context, end time.Time) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, jobSource))
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for number, at := 0, time.Now(); at.Before(end); number++ {
		if !labsupport.WaitUntil(ctx, at) {
			return
		}
		at = at.Add(time.Duration(rng.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		present := r.presentProcesses()
		if len(present) == 0 {
			continue
		}
		process := present[rng.IntN(len(present))]
		jobs.Go(func() { r.sendJob(ctx, number, process) })
	}
}

// sendJob sends a job to a process and records how it ended.
func (r *run) sendJob(ctx context.Context, number int, process *dispatcherProcess) {
	sentAt := time.Now()
	r.mu.Lock()
	target := process.lastStart
	r.mu.Unlock()
	job := labsupport.Job{Seed: r.plan.Seed, Number: number, Class: emulator.ClassName, Account: jobAccount}
	answer, err := job.Post(ctx, r.client, target.Address)
	r.mu.Lock()
	defer r.mu.Unlock()
	inTime := err == nil && answer.Status == http.StatusOK && r.scenario.InTime(answer.Body, time.Since(sentAt))
	r.endedJobs = append(r.endedJobs, endedJob{sentAt, inTime})
	result := r.result
	result.Jobs++
	switch {
	case err == nil:
		result.AnsweredOnce++
		if answer.Status != http.StatusOK {
			result.Refused++
		}
	case process.wasAbsentAfter(sentAt.Add(-absenceMargin)):
		result.LostWithProcess++
	default:
		result.AnsweredNever++
	}
}
