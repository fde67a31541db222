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
	MaxLag   = 10 * time.Millisecond
	lagShare = 0.99

	// The pacer sleeps to this much before a job is due and yields from there on: a sleep ends late by about as much.
	sleepShort = 300 * time.Microsecond
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
func Run(ctx context.Context, source Source, to Sender, o Options) *Result {
	if o.MaxOpen <= 0 {
		o.MaxOpen = 100_000
	}
	if o.Begin.IsZero() {
		o.Begin = time.Now()
	}
	r := newResult(o.Clients)
	var wait sync.WaitGroup
	var open atomic.Int64
	var room chan struct{}
	if o.Clients > 0 {
		room = make(chan struct{}, o.Clients)
	}
	chance := rand.New(rand.NewPCG(o.Seed, 4))
	for j, ok := source.Next(); ok; j, ok = source.Next() {
		due := o.Begin.Add(j.At)
		if !until(ctx, due) || !arrive(ctx, room) {
			r.CutShort = true
			break
		}
		if j.Key == "" {
			j.Key = newKey()
		}
		r.due(time.Since(due))
		if open.Load() >= int64(o.MaxOpen) {
			r.shed()
			leave(room)
			continue
		}
		open.Add(1)
		again := chance.Float64() < o.Terms.Retry.Share // drawn here, so that it goes by the seed alone
		wait.Go(func() {
			defer leave(room)
			defer open.Add(-1)
			end := play(ctx, j, due, again, to, &o.Terms)
			if end.outcome == Unanswered && ctx.Err() != nil {
				r.cut()
				return
			}
			r.ended(j, end)
			if o.Each != nil {
				o.Each(j, end.outcome, end.latency)
			}
		})
	}
	wait.Wait()
	r.Span = time.Since(o.Begin)
	return r
}

// arrive waits for a client that is free, where they are bounded, and tells whether there is one.
func arrive(ctx context.Context, room chan struct{}) bool {
	if room == nil {
		return true
	}
	select {
	case room <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// leave gives a client free again.
func leave(room chan struct{}) {
	if room != nil {
		<-room
	}
}

// newKey is a key that no other job has.
func newKey() string {
	var b [16]byte
	_, _ = crand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// until waits for a time, and tells whether it came.
func until(ctx context.Context, due time.Time) bool {
	for {
		left := time.Until(due)
		switch {
		case ctx.Err() != nil:
			return false
		case left <= 0:
			return true
		case left > sleepShort:
			t := time.NewTimer(left - sleepShort)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return false
			}
		default:
			time.Sleep(left / 2)
		}
	}
}

// end is how a job ended.
type end struct {
	outcome  Outcome
	latency  time.Duration // from when it was due
	service  time.Duration // from when its last try left: what a generator would see that waits for its answers
	tries    int
	answered bool
}

// play makes a job's tries.
func play(ctx context.Context, j Job, due time.Time, again bool, to Sender, t *Terms) end {
	giveUp := due.Add(t.GiveUp)
	e := end{}
	for {
		left := time.Now()
		a := to.Send(ctx, j, e.tries, giveUp)
		now := time.Now()
		e.tries++
		e.outcome, e.latency, e.service, e.answered = a.Outcome, now.Sub(due), now.Sub(left), a.Outcome != Unanswered
		if a.Outcome == Served && t.Aim > 0 && e.latency > t.Aim {
			e.outcome = Late
		}
		if a.Outcome != Refused || !again || e.tries > t.Retry.Max {
			return e
		}
		pause := t.Retry.Wait
		if t.Retry.Honour && a.RetryAfter > 0 {
			pause = a.RetryAfter
		}
		next := now.Add(pause)
		if !next.Before(giveUp) || !until(ctx, next) {
			return e
		}
	}
}

// ErrUnusable is of a result whose generator did not keep its plan.
var ErrUnusable = errors.New("the generator fell behind its plan: the result is unusable")
