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

// MaxLag is the maximum 99th percentile of the jobs' lag in a usable result.
const MaxLag = 10 * time.Millisecond

const (
	// lagQuantile is the share of the jobs that MaxLag bounds.
	lagQuantile = 0.99

	// maxOversleep is the maximum by which a sleep usually ends late. The pacer sleeps until this long before a job is due, and then
	// half of the remaining time at a time.
	maxOversleep = 300 * time.Microsecond

	// defaultMaxOpen is used if Options.MaxOpen is 0.
	defaultMaxOpen = 100_000

	// retrySource is the random source that decides which clients retry. Sources 1 to 3 belong to Generated.
	retrySource = 4
)

// Answer is the result of one attempt.
type Answer struct {
	Outcome    Outcome       // Served, Refused, Failed or Unanswered
	RetryAfter time.Duration // advice of a rejection; 0 if it has none
}

// Sender sends one attempt, and returns its answer by the deadline. A job's first attempt has the number 0. Many goroutines call Send.
type Sender interface {
	Send(ctx context.Context, job Job, attempt int, deadline time.Time) Answer
}

// Options are the options of a run.
type Options struct {
	Terms   Terms
	Seed    uint64
	Clients int       // 0 for an open loop, else the number of clients that wait for each answer before their next job
	MaxOpen int       // maximum of jobs in flight: further jobs are not sent, and the result is unusable; 0 for 100,000
	Begin   time.Time // start of the plan; the zero time means now

	// Many goroutines call Each, with each job, its outcome and its latency. Each may be nil.
	Each func(Job, Outcome, time.Duration)
}

// Run sends a plan's jobs when they are due and returns when all have ended. If the context ends, the result has what was measured
// until then and is marked as cut short.
func Run(ctx context.Context, source Source, sender Sender, options Options) *Result {
	if options.MaxOpen <= 0 {
		options.MaxOpen = defaultMaxOpen
	}
	if options.Begin.IsZero() {
		options.Begin = time.Now()
	}
	result := newResult(options.Clients)
	clients := newClientLimit(options.Clients)
	retryRandom := rand.New(rand.NewPCG(options.Seed, retrySource))
	var jobs sync.WaitGroup
	var open atomic.Int64
	for job, ok := source.Next(); ok; job, ok = source.Next() {
		due := options.Begin.Add(job.At)
		if !waitUntil(ctx, due) || !clients.acquire(ctx) {
			result.CutShort = true
			break
		}
		if job.Key == "" {
			job.Key = newKey()
		}
		result.recordDue(time.Since(due))
		if open.Load() >= int64(options.MaxOpen) {
			result.recordUnsent()
			clients.release()
			continue
		}
		open.Add(1)
		retries := retryRandom.Float64() < options.Terms.Retry.Share // drawn in the order of the plan, so that it depends only on the seed
		jobs.Go(func() {
			defer clients.release()
			defer open.Add(-1)
			ended := runJob(ctx, job, due, retries, sender, &options.Terms)
			result.recordJob(ctx, job, ended, options.Each)
		})
	}
	jobs.Wait()
	result.Span = time.Since(options.Begin)
	return result
}

// clientLimit bounds the clients of a closed loop; nil for an open loop.
type clientLimit chan struct{}

// newClientLimit returns a limit for a number of clients; 0 for an open loop.
func newClientLimit(clients int) clientLimit {
	if clients <= 0 {
		return nil
	}
	return make(clientLimit, clients)
}

// acquire waits for a free client. It returns false if the context ends before there is one.
func (l clientLimit) acquire(ctx context.Context) bool {
	if l == nil {
		return true
	}
	select {
	case l <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// release frees a client.
func (l clientLimit) release() {
	if l != nil {
		<-l
	}
}

// newKey returns a unique idempotency key.
func newKey() string {
	var b [16]byte
	_, _ = crand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// waitUntil waits for a time. It returns false if the context ends before that time.
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
	service  time.Duration // from when its last attempt was sent: the latency that a closed-loop client measures
	attempts int
	answered bool
}

// runJob sends a job's attempts. If the client retries, it retries rejections as long as the retry can be sent before the deadline.
func runJob(ctx context.Context, job Job, due time.Time, retries bool, sender Sender, terms *Terms) jobEnd {
	deadline := due.Add(terms.Deadline)
	ended := jobEnd{}
	for {
		sentAt := time.Now()
		answer := sender.Send(ctx, job, ended.attempts, deadline)
		now := time.Now()
		ended.attempts++
		ended.outcome, ended.latency, ended.service, ended.answered = answer.Outcome, now.Sub(due), now.Sub(sentAt), answer.Outcome != Unanswered
		if answer.Outcome == Served && terms.LatencyObjective > 0 && ended.latency > terms.LatencyObjective {
			ended.outcome = Late
		}
		if answer.Outcome != Refused || !retries || ended.attempts > terms.Retry.Max {
			return ended
		}
		pause := terms.Retry.Wait
		if terms.Retry.HonourRetryAfter && answer.RetryAfter > 0 {
			pause = answer.RetryAfter
		}
		next := now.Add(pause)
		if !next.Before(deadline) || !waitUntil(ctx, next) {
			return ended
		}
	}
}

// ErrUnusable is the error of a result whose generator sent jobs late or not at all.
var ErrUnusable = errors.New("the generator fell behind its plan: the result is unusable")
