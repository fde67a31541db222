package scale

import (
	"cmp"
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"time"

	"brassdale/internal/emulator"
	"brassdale/internal/fleet"
	"brassdale/internal/labsupport"
)

// Options are the programs and directories of a run.
type Options struct {
	DispatcherProgram string   // path
	HollowProgram     string   // path of the program that calls ServeHollow
	HollowArgs        []string // its arguments before the path of the HollowSpec
	LogDir            string   // where all logs are written after the run; empty for no logs
}

// run is a run in progress.
type run struct {
	plan           Plan
	options        Options
	directory      string // of the dispatchers' files and sockets
	cluster        *emulator.Cluster
	hollowGroups   [][]*dispatcher // hollow dispatchers of one process each
	voterAddresses []string
	links          regionLinks
	failover       *fleet.Failover
	overload       *fleet.Overload
	polls          *meteredClient // of dispatchers' counts and states
	proposals      *meteredClient
	stalls         stallDetector
	beganAt        time.Time     // of the measured span
	proposeNow     chan struct{} // contains a value if a proposal should be made at once

	// mu guards the fields below from startAll, which starts dispatchers in parallel, to the end of the measured span. Before and after that,
	// only one goroutine uses them. The goroutine of injectFault reads dispatchers without mu, as no other goroutine adds to them.
	mu                     sync.Mutex
	dispatchers            []*dispatcher
	hollowProcesses        []*hollowProcess // running ones
	hollowProcessesStarted int
	changes                []acceptedChange
	jobCounts              jobCounts
	snapshots              []snapshot // one a second, in runs with a fault
	faultRecord            faultRecord
}

const (
	startTimeout      = 60 * time.Second       // until all dispatchers have leases
	applyTimeout      = 12 * time.Second       // after the measured span, until all have applied the newest version
	statePollInterval = 200 * time.Millisecond // while awaiting a state of all dispatchers
	snapshotInterval  = time.Second            // in runs with a fault
)

// Run executes a plan in real time and returns its result, even if rules were broken. The error says why the run was not completed. Run ends
// all processes that it started.
func Run(ctx context.Context, plan Plan, options Options) (*Result, error) {
	directory, err := os.MkdirTemp("", "scale-") // a short path, for the dispatchers' Unix sockets
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }() // files that cannot be removed are left to the system's cleanup
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := newRun(plan, options, directory)
	if r.cluster, err = emulator.Open(plan.scenario()); err != nil { //nolint:contextcheck // it runs until Close, beyond the context
		return nil, err
	}
	defer r.cluster.Close()
	defer r.closeAll()
	if err := r.layOut(); err != nil {
		return nil, err
	}
	go r.stalls.run(ctx)
	result, err := r.execute(ctx)
	if options.LogDir != "" {
		err = cmp.Or(err, r.saveLogs())
	}
	return result, err
}

// newRun returns a run that has no dispatchers yet.
func newRun(plan Plan, options Options, directory string) *run {
	return &run{
		plan: plan, options: options, directory: directory,
		polls: newMeteredClient(), proposals: newMeteredClient(), proposeNow: make(chan struct{}, 1),
	}
}

// execute starts the dispatchers, measures, and waits until all dispatchers have applied the newest version.
func (r *run) execute(ctx context.Context) (*Result, error) {
	if err := r.startFleet(ctx); err != nil {
		return nil, err
	}
	measured, err := r.measure(ctx)
	if err != nil {
		return nil, err
	}
	r.awaitNewestVersion(ctx, time.Now().Add(applyTimeout)) // the result counts changes that were not applied
	if err := r.fetchHollowStates(ctx); err != nil {
		return nil, err
	}
	return r.result(measured), nil
}

// startFleet starts all dispatchers and waits until they have leases and have settled.
func (r *run) startFleet(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	if err := r.startAll(ctx); err != nil {
		return err
	}
	if !r.awaitLeases(ctx, deadline) {
		return errors.New("not all dispatchers had a lease within the start timeout")
	}
	if !labsupport.WaitUntil(ctx, time.Now().Add(r.plan.Settle)) {
		return ctx.Err()
	}
	return nil
}

// measurement is the snapshots from which a result is computed.
type measurement struct {
	before        snapshot // at the start of the measured span
	beforeChanges snapshot // at the end of the part without changes; zero if there is no such part
	after         snapshot // at the end of the span
}

// measure executes the measured span. It sends jobs from the start of the span, waits for the part without changes (measureWithoutChanges), and
// then proposes changes and injects the fault. In a plan with neither changes nor SpanWithoutChanges, the part without changes is the whole span,
// so a fault begins only after it.
func (r *run) measure(ctx context.Context) (measured measurement, err error) {
	r.cluster.StartFaults()
	if measured.before, err = r.takeSnapshot(ctx); err != nil {
		return measured, err
	}
	r.beganAt = measured.before.at
	end := r.beganAt.Add(r.plan.Span)
	spanCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() { r.sendJobs(spanCtx, end) })
	if measured.beforeChanges, err = r.measureWithoutChanges(ctx); err != nil {
		return measured, err
	}
	proposer := newProposer(r)
	if r.plan.ChangeInterval > 0 {
		background.Go(func() { proposer.proposeUntil(spanCtx, end) })
	}
	var faultErr error
	if r.plan.Fault != nil {
		background.Go(func() { faultErr = r.injectFault(spanCtx) })
		r.takeSnapshots(ctx, end)
	}
	labsupport.WaitUntil(ctx, end) // if the context has ended, the snapshot fails
	if measured.after, err = r.takeSnapshot(ctx); err != nil {
		return measured, err
	}
	background.Wait()
	if err := cmp.Or(ctx.Err(), faultErr); err != nil {
		return measured, err
	}
	if r.plan.Fault != nil && r.plan.ChangeInterval > 0 {
		proposer.proposeAfterFault(ctx, time.Now().Add(applyTimeout))
	}
	return measured, nil
}

// measureWithoutChanges waits until the part without changes is over, and returns the snapshot at its end. The part is the plan's
// SpanWithoutChanges at the start of the span. If that is 0 and the plan has no changes, the part is the whole span. If it is 0 and the plan has
// changes, measureWithoutChanges returns a zero snapshot at once.
func (r *run) measureWithoutChanges(ctx context.Context) (snapshot, error) {
	if r.plan.SpanWithoutChanges == 0 && r.plan.ChangeInterval > 0 {
		return snapshot{}, nil
	}
	if !labsupport.WaitUntil(ctx, r.beganAt.Add(cmp.Or(r.plan.SpanWithoutChanges, r.plan.Span))) {
		return snapshot{}, ctx.Err()
	}
	return r.takeSnapshot(ctx)
}

// inParallel calls functions concurrently, waits for all and returns their joined errors.
func inParallel(calls []func() error) error {
	errs := make([]error, len(calls))
	var wait sync.WaitGroup
	for i, call := range calls {
		wait.Go(func() { errs[i] = call() })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// closeAll ends all processes and links, and idle connections.
func (r *run) closeAll() {
	for _, each := range r.running() {
		if each.process != nil {
			each.process.Kill()
		}
	}
	for _, process := range r.runningHollowProcesses() {
		process.kill()
	}
	r.links.close()
	r.polls.http.CloseIdleConnections()
	r.proposals.http.CloseIdleConnections()
}

// saveLogs writes the logs of all processes to the directory of the options.
func (r *run) saveLogs() error {
	if err := os.MkdirAll(r.options.LogDir, 0o755); err != nil {
		return err
	}
	for _, each := range r.dispatchers {
		if each.hollow {
			continue
		}
		text := each.earlierLogs
		if each.process != nil {
			text += each.process.Log()
		}
		if err := os.WriteFile(filepath.Join(r.options.LogDir, each.name+".log"), []byte(text), 0o644); err != nil {
			return err
		}
	}
	for i := range r.hollowProcessesStarted {
		name := hollowLogName(i)
		text, err := os.ReadFile(filepath.Join(r.directory, name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(r.options.LogDir, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
