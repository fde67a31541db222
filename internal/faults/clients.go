package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"brassdale/internal/emulator"
)

const (
	jobAccount  = "deeside-aero"
	jobDeadline = 5 * time.Second        // from when a job is sent
	answerSlack = 500 * time.Millisecond // after the deadline, in which a client still waits
	absentSlack = time.Second            // before a job is sent, in which an absence of its process still explains a missing answer
)

// sendJobs sends jobs in an open loop until a time, each to a random process that is present. It returns when all have ended.
func (r *run) sendJobs(ctx context.Context, end time.Time) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, jobSource))
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for number, at := 0, time.Now(); at.Before(end); number++ {
		if !waitUntil(ctx, at) {
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

// jobAnswer is what a client received for a job.
type jobAnswer struct {
	status int
	body   string
}

// sendJob sends a job to a process and records how it ended.
func (r *run) sendJob(ctx context.Context, number int, process *dispatcherProcess) {
	sentAt := time.Now()
	answer, err := r.postJob(ctx, number, process, sentAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	inTime := err == nil && answer.status == http.StatusOK && r.scenario.InTime(answer.body, time.Since(sentAt))
	r.endedJobs = append(r.endedJobs, endedJob{sentAt, inTime})
	result := r.result
	result.Jobs++
	switch {
	case err == nil:
		result.AnsweredOnce++
		if answer.status != http.StatusOK {
			result.Refused++
		}
	case process.wasAbsentAfter(sentAt.Add(-absentSlack)):
		result.LostWithProcess++
	default:
		result.AnsweredNever++
	}
}

// postJob sends a job to a process and returns the answer. It returns an error if there is none in time.
func (r *run) postJob(ctx context.Context, number int, process *dispatcherProcess, sentAt time.Time) (jobAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, sentAt.Add(jobDeadline+answerSlack))
	defer cancel()
	r.mu.Lock()
	target := process.lastStart
	r.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s", target.Address, emulator.ClassName), strings.NewReader("drawing"))
	if err != nil {
		return jobAnswer{}, err
	}
	id := fmt.Sprintf("%016x%016x", r.plan.Seed, number)
	request.Header.Set("Req-Id", id)
	request.Header.Set("Req-Kind", emulator.ClassName)
	request.Header.Set("Req-Owner", jobAccount)
	request.Header.Set("Idempotency-Key", id)
	request.Header.Set("Req-Deadline-Ms", fmt.Sprint(jobDeadline.Milliseconds()))
	response, err := r.client.Do(request)
	if err != nil {
		return jobAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }() // what was read counts
	body, err := io.ReadAll(response.Body)
	return jobAnswer{response.StatusCode, string(body)}, err
}
