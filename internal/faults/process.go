package faults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"brassdale/internal/effectivestate"
	"brassdale/internal/emulator"
	"brassdale/internal/faultlink"
)

// dispatcherProcess is a dispatcher across its restarts.
type dispatcherProcess struct {
	index   int
	address string // of its fleet listener
	dir     string // of its fleet data

	configMu sync.Mutex // locked while the process is started, is sent SIGTERM, or is given a new configuration

	// Guarded by run.mu. The event of the process reads lastStart without the lock, because nothing else changes it during the event.
	lastStart    *emulator.DispatcherProcess // nil before the first start
	absences     []effectivestate.Period
	absent       bool            // clients send it nothing
	lost         bool            // it is not restarted; earlierLog has its whole log
	ownLinkState faultlink.State // effect of its own events on its links; CutTo cuts what it sends

	// Used by the event of the process, and after all events.
	earlierLog string   // log of all starts that have ended
	env        []string // additional environment variables
}

// newDispatcherProcess returns a process that has not been started. Its data is in its own subdirectory of the directory dir.
func newDispatcherProcess(index int, address, dir string) *dispatcherProcess {
	return &dispatcherProcess{index: index, address: address, dir: filepath.Join(dir, fmt.Sprintf("disk-%d", index))}
}

// killIfStarted kills the process, even if SIGSTOP has stopped it.
func (p *dispatcherProcess) killIfStarted() {
	if p.lastStart == nil {
		return
	}
	_ = p.lastStart.Signal(syscall.SIGCONT) // fails only if it has ended
	p.lastStart.Kill()
}

// log returns the process's log of all its starts.
func (p *dispatcherProcess) log() string {
	if p.lost {
		return p.earlierLog
	}
	return p.earlierLog + p.lastStart.Log()
}

// wasAbsentAfter reports whether the process was absent at any time after the given one, or is absent now.
func (p *dispatcherProcess) wasAbsentAfter(at time.Time) bool {
	return slices.ContainsFunc(p.absences, func(absence effectivestate.Period) bool { return absence.To.IsZero() || absence.To.After(at) })
}

// startProcess writes the process's operator file and starts it. It returns when the process is ready.
func (r *run) startProcess(ctx context.Context, process *dispatcherProcess) error {
	path := filepath.Join(r.dir, fmt.Sprintf("operator-%d.hcl", process.index))
	if err := os.WriteFile(path, []byte(r.operatorFile(process)), 0o600); err != nil {
		return err
	}
	process.configMu.Lock()
	defer process.configMu.Unlock()
	env := slices.Clone(process.env)
	if process.index >= r.plan.Processes-r.plan.OlderBuilds {
		env = append(env, "BRASSDALE_TEST_FORM=1")
	}
	started, err := r.cluster.StartWith(ctx, r.binary, r.dir, process.index, env, "serve", "--operator", path)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	process.lastStart, process.absent = started, false
	return nil
}

// voters returns the processes that are the raft group's initial voters.
func (r *run) voters() []*dispatcherProcess { return r.processes[:r.plan.Voters] }

// presentProcesses returns the processes that clients send jobs to.
func (r *run) presentProcesses() []*dispatcherProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	var present []*dispatcherProcess
	for _, process := range r.processes {
		if !process.absent {
			present = append(present, process)
		}
	}
	return present
}

// beginAbsence records that a process is stopped or ends now.
func (r *run) beginAbsence(process *dispatcherProcess) {
	r.mu.Lock()
	defer r.mu.Unlock()
	process.absent = true
	process.absences = append(process.absences, effectivestate.Period{From: time.Now()})
}

// endAbsence records that a process continues or is restarted now.
func (r *run) endAbsence(process *dispatcherProcess) {
	r.mu.Lock()
	defer r.mu.Unlock()
	process.absences[len(process.absences)-1].To, process.absent = time.Now(), false
}
