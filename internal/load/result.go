package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run measured. Its figures are safe for use by several goroutines.
type Result struct {
	Span     time.Duration
	CutShort bool // the context ended before the plan

	clients    int // of a closed loop; 0 for an open loop
	mu         sync.Mutex
	planned    int // jobs that were due
	unsent     int // jobs that were due but not sent, because too many were in flight
	openAtStop int // jobs in flight when the context ended
	attempts   int
	counts     [outcomeCount]int
	accounts   map[string]*[outcomeCount]int
	latency    *hdrhistogram.Histogram // of answered jobs, in microseconds from when they were due
	service    *hdrhistogram.Histogram // of answered jobs, in microseconds from when their last attempt was sent
	lag        *hdrhistogram.Histogram // how late jobs were sent, in microseconds
}

// Range and precision of the histograms.
const (
	minRecorded       = time.Microsecond
	maxRecorded       = time.Hour
	significantDigits = 3
)

// newResult returns an empty result.
func newResult(clients int) *Result {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minRecorded.Microseconds(), maxRecorded.Microseconds(), significantDigits)
	}
	return &Result{clients: clients, accounts: map[string]*[outcomeCount]int{}, latency: newHistogram(), service: newHistogram(), lag: newHistogram()}
}

// recordDuration records a duration, or the nearest duration in the histogram's range.
func recordDuration(histogram *hdrhistogram.Histogram, d time.Duration) {
	microseconds := min(max(d.Microseconds(), minRecorded.Microseconds()), maxRecorded.Microseconds())
	_ = histogram.RecordValue(microseconds) // fails only outside the range
}

// recordDue counts a job that was due, and how late it is sent.
func (r *Result) recordDue(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planned++
	recordDuration(r.lag, lag)
}

// recordUnsent counts a job that is not sent.
func (r *Result) recordUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

// recordStopped counts a job that was in flight when the context ended.
func (r *Result) recordStopped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openAtStop++
}

// recordJob records a job's end and passes it to the function each, unless the end of the context cut the job short.
func (r *Result) recordJob(ctx context.Context, job Job, ended jobEnd, each func(Job, Outcome, time.Duration)) {
	if ended.outcome == Unanswered && ctx.Err() != nil {
		r.recordStopped()
		return
	}
	r.recordEnd(job, ended)
	if each != nil {
		each(job, ended.outcome, ended.latency)
	}
}

// recordEnd counts a job's end.
func (r *Result) recordEnd(job Job, ended jobEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts += ended.attempts
	r.counts[ended.outcome]++
	counts := r.accounts[job.Account]
	if counts == nil {
		counts = &[outcomeCount]int{}
		r.accounts[job.Account] = counts
	}
	counts[ended.outcome]++
	if ended.answered {
		recordDuration(r.latency, ended.latency)
		recordDuration(r.service, ended.service)
	}
}

// Usable returns an error that wraps ErrUnusable and gives the reason, if the generator sent jobs late or not at all. A closed loop
// sends jobs late by design, so its lag appears in the figures only.
func (r *Result) Usable() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unsent > 0 {
		return fmt.Errorf("%w: %d of %d jobs were not sent, too many were open", ErrUnusable, r.unsent, r.planned)
	}
	if r.clients > 0 {
		return nil
	}
	if lag := time.Duration(r.lag.ValueAtQuantile(lagQuantile*100)) * time.Microsecond; r.planned > 0 && lag > MaxLag {
		return fmt.Errorf("%w: one of 100 jobs left %v late or later, %v is allowed", ErrUnusable, lag, MaxLag)
	}
	return nil
}
