package load

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A result is of use if so large a part of the jobs left no later than MaxLag after they were due.
	MaxLag      = 10 * time.Millisecond
	lagQuantile = 0.99

	// The pacer sleeps to this much before a job is due and yields from there on: a sleep ends late by about as much.
	maxOversleep = 300 * time.Microsecond
)

// Answer is what came of one try.
type Answer struct {
	Outcome    Outcome       // Served, Refused, Failed or Unanswered
	RetryAfter time.Duration // Refused: as it says; 0 for nothing
}

// Sender makes one try and gives its answer by its deadline. Many are made at a time.
type Sender interface {
	Send(ctx context.Context, j Job, try int, deadline time.Time) Answer
}

// Options of a run.
type Options struct {
	Terms   Terms
	Seed    uint64
	Clients int // 0 for an open loop; else so many, each of which waits for its answer before it sends again
	MaxOpen int // jobs in flight; those due beyond it are not sent, and the result is unusable. 0 for 100,000
	Begin   time.Time
	Each    func(Job, Outcome, time.Duration) // hears of each job, its end and its latency, from many goroutines; nil for nobody
}

// Run sends a plan's jobs to their times and waits for their ends. When the context ends, what was measured by then is
// given, marked as cut short.
func Run(ctx context.Context, source Source, to Sender, options Options) *Result {
	if options.MaxOpen <= 0 {
		options.MaxOpen = 100_000
	}
	if options.Begin.IsZero() {
		options.Begin = time.Now()
	}
	result := newResult(options.Clients)
	var wait sync.WaitGroup
	var open atomic.Int64
	var clients chan struct{}
	if options.Clients > 0 {
		clients = make(chan struct{}, options.Clients)
	}
	retryRandom := rand.New(rand.NewPCG(options.Seed, 4))
	for job, ok := source.Next(); ok; job, ok = source.Next() {
		due := options.Begin.Add(job.At)
		if !waitUntil(ctx, due) || !acquire(ctx, clients) {
			result.CutShort = true
			break
		}
		if job.Key == "" {
			job.Key = newKey()
		}
		result.recordDue(time.Since(due))
		if open.Load() >= int64(options.MaxOpen) {
			result.recordUnsent()
			release(clients)
			continue
		}
		open.Add(1)
		retries := retryRandom.Float64() < options.Terms.Retry.Share // drawn here, so that it goes by the seed alone
		wait.Go(func() {
			defer release(clients)
			defer open.Add(-1)
			end := playJob(ctx, job, due, retries, to, &options.Terms)
			if end.outcome == Unanswered && ctx.Err() != nil {
				result.recordStopped()
				return
			}
			result.recordEnd(job, end)
			if options.Each != nil {
				options.Each(job, end.outcome, end.latency)
			}
		})
	}
	wait.Wait()
	result.Span = time.Since(options.Begin)
	return result
}

// acquire waits for a client that is free, where they are bounded, and tells whether there is one.
func acquire(ctx context.Context, clients chan struct{}) bool {
	if clients == nil {
		return true
	}
	select {
	case clients <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// release gives a client free again.
func release(clients chan struct{}) {
	if clients != nil {
		<-clients
	}
}

// newKey is a key that no other job has.
func newKey() string {
	var b [16]byte
	_, _ = crand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// waitUntil waits for a time, and tells whether it came.
func waitUntil(ctx context.Context, due time.Time) bool {
	for {
		left := time.Until(due)
		switch {
		case ctx.Err() != nil:
			return false
		case left <= 0:
			return true
		case left > maxOversleep:
			timer := time.NewTimer(left - maxOversleep)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return false
			}
		default:
			time.Sleep(left / 2)
		}
	}
}

// jobEnd is how a job ended.
type jobEnd struct {
	outcome  Outcome
	latency  time.Duration // from when it was due
	service  time.Duration // from when its last try left: what a generator would see that waits for its answers
	attempts int
	answered bool
}

// playJob makes a job's tries.
func playJob(ctx context.Context, job Job, due time.Time, retries bool, to Sender, terms *Terms) jobEnd {
	giveUp := due.Add(terms.GiveUp)
	ended := jobEnd{}
	for {
		sentAt := time.Now()
		answer := to.Send(ctx, job, ended.attempts, giveUp)
		now := time.Now()
		ended.attempts++
		ended.outcome, ended.latency, ended.service, ended.answered = answer.Outcome, now.Sub(due), now.Sub(sentAt), answer.Outcome != Unanswered
		if answer.Outcome == Served && terms.Aim > 0 && ended.latency > terms.Aim {
			ended.outcome = Late
		}
		if answer.Outcome != Refused || !retries || ended.attempts > terms.Retry.Max {
			return ended
		}
		pause := terms.Retry.Wait
		if terms.Retry.Honour && answer.RetryAfter > 0 {
			pause = answer.RetryAfter
		}
		next := now.Add(pause)
		if !next.Before(giveUp) || !waitUntil(ctx, next) {
			return ended
		}
	}
}

// ErrUnusable is of a result whose generator did not keep its plan.
var ErrUnusable = errors.New("the generator fell behind its plan: the result is unusable")
