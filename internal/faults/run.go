package faults

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/emulator"
	"brassdale/internal/faultlink"
	"brassdale/internal/labsupport"
)

// run is a run in progress. The fields above mu do not change after start; dispatcherProcess says which of its own fields do.
type run struct {
	plan      Plan
	scenario  emulator.Scenario
	cluster   *emulator.Cluster // the workers and discovery
	binary    string            // path of the dispatcher's program
	dir       string            // for the configuration files and the processes' data
	client    *http.Client
	processes []*dispatcherProcess
	links     map[linkEnds]*faultlink.Link

	mu          sync.Mutex
	partitioned map[int]bool         // processes that a partition separates from the rest
	announcedAt map[uint64]time.Time // by version
	endedJobs   endedJobs
	result      *Result
	err         error // the first error of the run itself
}

// idleConnectionsPerHost is the maximum number of idle connections from the run's clients to a process.
const idleConnectionsPerHost = 64

// Run starts a plan's dispatchers from the program at binary and runs the plan in real time. It writes configuration and the
// processes' data to dir, and ends all processes that it started. It returns an error if the run could not be completed, but
// not if a rule was broken.
func Run(ctx context.Context, plan Plan, binary, dir string) (*Result, error) {
	scenario := plan.scenario()
	plan.Rate = scenario.Traffic.Rate
	cluster, err := emulator.Open(scenario) //nolint:contextcheck // it must run until Close, because queries wait for its engine
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	current := &run{
		plan:        plan,
		scenario:    scenario,
		cluster:     cluster,
		binary:      binary,
		dir:         dir,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnectionsPerHost}},
		links:       map[linkEnds]*faultlink.Link{},
		announcedAt: map[uint64]time.Time{},
		result:      &Result{Seed: plan.Seed, Processes: plan.Processes, Faults: map[string]int{}, BoundMS: milliseconds(plan.Bound)},
	}
	defer current.client.CloseIdleConnections()
	defer current.stop()
	if err := current.start(ctx); err != nil {
		return nil, err
	}
	return current.execute(ctx)
}

// start opens the links and starts all processes.
func (r *run) start(ctx context.Context) error {
	number := int(runsStarted.Add(1))
	for i := range r.plan.Processes {
		address, err := freeAddress(number, i)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, newDispatcherProcess(i, address, r.dir))
	}
	if err := r.openLinks(); err != nil {
		return err
	}
	for _, process := range r.processes {
		if err := r.startProcess(ctx, process); err != nil {
			return err
		}
	}
	return nil
}

// runsStarted counts the runs of this program.
var runsStarted atomic.Int64

// freeAddress returns an address for the fleet listener of a process. Nobody listens at it until the process does, nor while the process is
// ended, so that the system may give its port to another socket at the same IP address. So the IP address is that of one process in one run,
// of up to maxRuns runs of this program; it is derived from the ID of this program's process too, so that programs that run at the same time
// rarely share addresses. Two fleets with a common address become members of each other.
func freeAddress(run, process int) (string, error) {
	const (
		firstByte = 100
		maxRuns   = 100
		usable    = 250 // values of the last two bytes of the address
	)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", firstByte+run%maxRuns, os.Getpid()%usable+1, process%usable+1))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// stop closes the links and kills all processes.
func (r *run) stop() {
	for _, link := range r.links {
		link.Close()
	}
	for _, process := range r.processes {
		process.killIfStarted()
	}
}

// execute runs the plan with the started processes and returns the result.
func (r *run) execute(ctx context.Context) (*Result, error) {
	result := r.result
	result.Events = r.plan.events()
	result.Begin = time.Now()
	before := r.measureUsage(ctx)
	if r.plan.Zones != nil || r.plan.Overload != nil {
		r.cluster.StartFaults()
	}
	r.runActivities(ctx)
	if err := cmp.Or(r.err, ctx.Err()); err != nil {
		return nil, err
	}
	if r.plan.Voters > 0 {
		r.awaitAgreement(ctx)
	}
	if len(result.Events) == 0 && r.plan.Release == nil {
		result.Cost = r.measureUsage(ctx).costSince(before)
	}
	r.completeResult(ctx)
	return result, nil
}

// runActivities runs the events, the jobs, the proposals and the release at the same time, and returns when all have ended.
func (r *run) runActivities(ctx context.Context) {
	begin := r.result.Begin
	end := begin.Add(r.plan.Span)
	var activities sync.WaitGroup
	for _, event := range r.result.Events {
		r.result.Faults[string(event.Kind)]++
		activities.Go(func() {
			if labsupport.WaitUntil(ctx, begin.Add(event.At)) {
				r.addError(r.runEvent(ctx, event, begin.Add(event.At+event.For)))
			}
		})
	}
	activities.Go(func() { r.sendJobs(ctx, end) })
	if r.plan.Voters > 0 {
		activities.Go(func() { r.proposeRepeatedly(ctx, end) })
	}
	if r.plan.Release != nil {
		activities.Go(func() { r.addError(r.runRelease(ctx, begin)) })
	}
	activities.Wait()
}

// addError records an error of the run itself, unless err is nil or there was an earlier one.
func (r *run) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = cmp.Or(r.err, err)
}
