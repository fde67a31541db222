package emulator

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"brassdale/internal/load"
)

// InTime reports whether an answer after the given time meets the latency objective. The answer's result is the job's work.
func (s *Scenario) InTime(result string, after time.Duration) bool {
	work, err := strconv.ParseFloat(result, 64)
	return err == nil && after.Seconds() <= s.Traffic.LatencyObjective.Seconds()+s.Traffic.ObjectiveStretch*work
}

// Mix returns the scenario's accounts for the load generator.
func (s *Scenario) Mix() load.Mix {
	mix := load.Mix{}
	for _, account := range s.Traffic.Accounts {
		mix.Accounts = append(mix.Accounts, load.Account{Name: account.Name, Share: account.Share})
	}
	return mix
}

// Terms returns the clients' deadline and retries for the load generator.
func (s *Scenario) Terms() load.Terms {
	return load.Terms{Class: className, Deadline: s.Traffic.Deadline,
		Retry: load.Retry{Max: 1, Share: s.Traffic.Retries, Wait: minClientRetryDelay, HonourRetryAfter: true}}
}

// jobKey returns the idempotency key of the scenario's n-th job. Workers draw the job's work from the key, because only
// the key reaches them unchanged.
func (s *Scenario) jobKey(n int) string { return fmt.Sprintf("%016x%016x", s.Seed, n) }

// jobOf returns the job of a key. The same key always gives the same job.
func (s *Scenario) jobOf(key string) *job {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, key) // a hash never fails
	random := rand.New(rand.NewPCG(s.Seed, hash.Sum64()))
	return s.Traffic.newJob(random.ExpFloat64(), random)
}

// keyedJobs is a source of jobs with the scenario's keys and subjects.
type keyedJobs struct {
	load.Source
	scenario *Scenario
	count    int
}

// Next implements load.Source.
func (j *keyedJobs) Next() (load.Job, bool) {
	next, ok := j.Source.Next()
	j.count++
	next.Key = j.scenario.jobKey(j.count)
	if subject := j.scenario.jobOf(next.Key).subject; subject > 0 {
		next.Subject = fmt.Sprintf("%016x", subject)
	}
	return next, ok
}

// Jobs returns the scenario's traffic for the load generator.
func (s *Scenario) Jobs() load.Source {
	phases := []load.Phase{{Shape: load.Poisson, For: s.Span, Rate: s.Traffic.Rate}}
	return &keyedJobs{Source: load.Generated(phases, s.Mix(), s.Seed), scenario: s}
}

// RunOnSockets runs a scenario on loopback sockets, in real time, with a process of the dispatcher's program for each dispatcher. The
// result has the same figures as Run's, measured at the clients and the workers. The error wraps load.ErrUnusable if the load generator was
// late. If the context ended, RunOnSockets returns the result until then with context.Canceled.
func RunOnSockets(ctx context.Context, scenario Scenario, binary string) (*Result, error) {
	cluster, err := open(context.WithoutCancel(ctx), scenario) // the result is read after the context has ended
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	dir, err := os.MkdirTemp("", "works") // a short path, for the dispatchers' Unix sockets
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // files that cannot be removed are left to the system's cleanup
	var targets []string
	for dispatcher := range scenario.Dispatchers {
		process, err := cluster.Start(ctx, binary, dir, dispatcher)
		if err != nil {
			return nil, err
		}
		defer process.Kill()
		targets = append(targets, process.Address)
		go func() { // reports a process that crashes; its jobs fail at the clients
			<-process.Ended()
			cluster.sim.post(func() { cluster.sim.addNote("dispatcher %d ended", dispatcher) })
		}()
	}
	return cluster.generateLoad(ctx, targets)
}

// generateLoad starts the scenario's faults, sends the scenario's jobs to dispatchers and returns the result.
func (c *Cluster) generateLoad(ctx context.Context, targets []string) (*Result, error) {
	client, err := load.NewClient(load.HTTP1, className, targets)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	c.StartFaults()
	scenario := c.sim.scenario
	options := load.Options{Terms: scenario.Terms(), Seed: scenario.Seed, Each: c.recordJob}
	generated := load.Run(ctx, scenario.Jobs(), client, options)
	if err := generated.Usable(); err != nil {
		return nil, err
	}
	if generated.CutShort {
		err = context.Canceled
	}
	return queryEngine(c.sim, c.sim.result), err
}

// recordJob counts a job's outcome at its client.
func (c *Cluster) recordJob(planned load.Job, outcome load.Outcome, latency time.Duration) {
	sim := c.sim
	job := sim.scenario.jobOf(planned.Key)
	sim.post(func() {
		stats := &sim.statsByAccount[0]
		for i, account := range sim.scenario.Traffic.Accounts {
			if account.Name == planned.Account {
				stats = &sim.statsByAccount[i]
			}
		}
		stats.countRequest(job.work)
		ended := outcomeFailed
		switch outcome {
		case load.Served, load.Late:
			ended = outcomeServed
		case load.Refused:
			ended = outcomeRejected
		case load.Unanswered:
			sim.audit.addBreach(RuleAnswer, sim.now, 0, "", "job %s: no answer in %v", planned.Key, latency)
		}
		sim.recordOutcome(stats, ended, job, latency)
	})
}
