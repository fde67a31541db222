package faults

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"brassdale/internal/emulator"
	"brassdale/internal/labsupport"
)

// Release is a release of workers and dispatchers at the same time: workers drain and restart, the dispatchers are restarted by SIGTERM
// in steps of a tenth, and discovery may get more polls than it can serve. Meanwhile discovery moves to other addresses, and the
// dispatchers are notified by SIGHUP.
type Release struct {
	At                time.Duration // since the run began: when workers begin to drain and the first dispatchers are restarted
	DrainedWorkers    float64       // share of the workers that drain
	RestartedWorkers  float64       // share of the workers that restart, workerDrainTime/2 after At
	StepInterval      time.Duration // between two steps of the dispatchers' restart; 0 for no restart
	DiscoveryMovesAt  time.Duration // since the run began: when discovery moves; 0 if it does not move
	NotifyAfter       time.Duration // from the move until the dispatchers are notified
	DiscoveryCallRate float64       // polls that discovery serves a second; 0 for no limit
	ClientTimeout     time.Duration // of a poll of discovery
}

const (
	workerDrainTime   = 4 * time.Second // how long a draining worker stays up
	workerRestartTime = time.Second
	restartSteps      = 10                     // of the dispatchers' restarts
	clientNoticeDelay = 300 * time.Millisecond // how long clients still send jobs to a dispatcher after SIGTERM
	shutdownTimeout   = 10 * time.Second       // of a dispatcher, from SIGTERM
)

// addTo adds the release of the workers and the limit on polls of discovery to a scenario.
func (r *Release) addTo(scenario *emulator.Scenario) {
	scenario.PollLimits = emulator.PollLimits{Rate: r.DiscoveryCallRate, ClientTimeout: r.ClientTimeout}
	if r.DrainedWorkers > 0 {
		scenario.Faults = append(scenario.Faults, emulator.Fault{At: r.At, For: workerDrainTime, Kind: emulator.Drain, Share: r.DrainedWorkers})
	}
	if r.RestartedWorkers > 0 {
		scenario.Faults = append(scenario.Faults, emulator.Fault{At: r.At + workerDrainTime/2, For: workerRestartTime, Kind: emulator.Restart, Share: r.RestartedWorkers})
	}
}

// runRelease runs the release and returns when it has ended.
func (r *run) runRelease(ctx context.Context, begin time.Time) error {
	release := r.plan.Release
	r.cluster.StartFaults()
	var activities sync.WaitGroup
	errs := make(chan error, len(r.processes)+1)
	if release.StepInterval > 0 {
		perStep := max(len(r.processes)/restartSteps, 1)
		for i, process := range r.processes {
			activities.Go(func() {
				if labsupport.WaitUntil(ctx, begin.Add(release.At+time.Duration(i/perStep)*release.StepInterval)) {
					errs <- r.restartGracefully(ctx, process)
				}
			})
		}
	}
	if release.DiscoveryMovesAt > 0 {
		activities.Go(func() {
			if labsupport.WaitUntil(ctx, begin.Add(release.DiscoveryMovesAt)) {
				errs <- r.moveDiscovery(ctx)
			}
		})
	}
	activities.Wait()
	close(errs)
	var all error
	for err := range errs {
		all = errors.Join(all, err)
	}
	return all
}

// restartGracefully ends a process by SIGTERM and starts it again. Clients still send it jobs for clientNoticeDelay.
func (r *run) restartGracefully(ctx context.Context, process *dispatcherProcess) error {
	r.cluster.SetPresent(process.index, false)
	begin := time.Now()
	process.configMu.Lock()
	err := process.lastStart.Signal(syscall.SIGTERM)
	process.configMu.Unlock()
	if err != nil || !labsupport.WaitUntil(ctx, begin.Add(clientNoticeDelay)) {
		return err
	}
	// beginAbsence is not used here: clients send no further jobs, but a process that shuts down must answer the jobs that it has, so a
	// missing answer must count.
	r.mu.Lock()
	process.absent = true
	r.mu.Unlock()
	if err := process.lastStart.Stop(begin.Add(shutdownTimeout)); err != nil {
		return fmt.Errorf("process %d: %w", process.index, err)
	}
	process.earlierLog += process.lastStart.Log()
	if err := r.startProcess(ctx, process); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Restarted++
	return nil
}

// moveDiscovery moves discovery to other addresses, and notifies the processes NotifyAfter later.
func (r *run) moveDiscovery(ctx context.Context) error {
	if err := r.cluster.Move(); err != nil {
		return err
	}
	labsupport.WaitUntil(ctx, time.Now().Add(r.plan.Release.NotifyAfter))
	for _, process := range r.processes {
		if err := r.reload(process); err != nil {
			return fmt.Errorf("process %d: %w", process.index, err)
		}
	}
	return nil
}

// reload rewrites a process's configuration and sends SIGHUP, so that the process reloads it. A process that has ended reads the
// configuration at its next start.
func (r *run) reload(process *dispatcherProcess) error {
	process.configMu.Lock()
	defer process.configMu.Unlock()
	if _, err := r.cluster.WriteConfig(r.dir, process.index); err != nil {
		return err
	}
	if err := process.lastStart.Signal(syscall.SIGHUP); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}
