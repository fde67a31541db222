package scale

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"brassdale/internal/emulator"
)

// jobCounts are the jobs of a run by what became of them.
type jobCounts struct {
	sent       int
	answered   int
	unanswered int
	lost       int // unanswered, as their dispatcher was killed
}

const (
	jobDeadline      = 5 * time.Second
	jobDeadlineSlack = 500 * time.Millisecond // for which a client still reads an answer after the deadline
	jobStream        = 3                      // random stream of the jobs
)

// sendJobs sends jobs until the end of the span, to each of the dispatchers that take jobs in turn, whatever became of earlier ones. Their
// rate is these dispatchers' part of the plan's. It returns when the last job has ended.
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
		if !sleepUntil(ctx, at) {
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

// sendJob sends a job and counts what becomes of it.
func (r *run) sendJob(ctx context.Context, client *http.Client, target dispatcher, number int, team string) {
	err := r.requestJob(ctx, client, target.process.Address, number, team)
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

// requestJob sends a job and reads its answer. It returns an error if there is no complete one.
func (r *run) requestJob(ctx context.Context, client *http.Client, address string, number int, team string) error {
	ctx, stop := context.WithTimeout(ctx, jobDeadline+jobDeadlineSlack)
	defer stop()
	url := fmt.Sprintf("http://%s/%s", address, emulator.ClassName)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("drawing"))
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%016x%016x", r.plan.Seed, number)
	request.Header.Set("Req-Id", id)
	request.Header.Set("Req-Kind", emulator.ClassName)
	request.Header.Set("Req-Owner", team)
	request.Header.Set("Idempotency-Key", id)
	request.Header.Set("Req-Deadline-Ms", strconv.FormatInt(jobDeadline.Milliseconds(), 10))
	resp, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // it was read to its end, or failed
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
