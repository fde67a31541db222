package faults

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"brassdale/internal/emulator"
)

// Release is a release of the works and of the dispatchers at once: boxes drain and start anew, discovery has more callers
// than it can serve, a tenth of the dispatchers at a time is ended by SIGTERM and started anew, and in the middle of it
// discovery moves, which the dispatchers are told of by SIGHUP.
type Release struct {
	At            time.Duration // the boxes'
	Drained       float64       // share of the boxes that leave
	Anew          float64       // share that starts anew
	Rolling       time.Duration // between two steps of the dispatchers' restart, which begins with the boxes'; 0 for none
	Moves         time.Duration // when discovery does; 0 for never
	NotifyAfter   time.Duration // so much later the dispatchers hear of it
	Calls         float64       // that discovery works through a second; 0 for any number
	ClientTimeout time.Duration
}

// drainFor is how long a box that leaves is there for what it has.
const drainFor = 4 * time.Second

func (r *Release) cluster(s *emulator.Scenario) {
	s.Calls = emulator.Calls{Rate: r.Calls, ClientTimeout: r.ClientTimeout}
	if r.Drained > 0 {
		s.Faults = append(s.Faults, emulator.Fault{At: r.At, For: drainFor, Kind: emulator.Drain, Share: r.Drained})
	}
	if r.Anew > 0 {
		s.Faults = append(s.Faults, emulator.Fault{At: r.At + drainFor/2, For: time.Second, Kind: emulator.Restart, Share: r.Anew})
	}
}

const (
	frontNotices = 300 * time.Millisecond // behind SIGTERM the front brings clients for so long
	endsWithin   = 10 * time.Second
)

// release plays the dispatchers' and discovery's part.
func (f *play) release(begin time.Time) error {
	r := f.Release
	f.cluster.StartFaults()
	var wait sync.WaitGroup
	errs := make(chan error, f.Processes+1)
	if r.Rolling > 0 {
		step := max(f.Processes/10, 1)
		for i := range f.Processes {
			wait.Go(func() {
				if until(f.ctx, begin.Add(r.At+time.Duration(i/step)*r.Rolling)) {
					errs <- f.restart(i)
				}
			})
		}
	}
	if r.Moves > 0 {
		wait.Go(func() {
			if until(f.ctx, begin.Add(r.Moves)) {
				errs <- f.move()
			}
		})
	}
	wait.Wait()
	close(errs)
	var all error
	for err := range errs {
		all = errors.Join(all, err)
	}
	return all
}

// restart ends a process in good order, while clients go on for a while, and starts it anew.
func (f *play) restart(i int) error {
	x := f.all[i]
	f.cluster.Present(i, false)
	begin := time.Now()
	x.files.Lock()
	err := x.node.Signal(syscall.SIGTERM)
	x.files.Unlock()
	if err != nil || !until(f.ctx, begin.Add(frontNotices)) {
		return err
	}
	f.mu.Lock()
	x.gone = true
	f.mu.Unlock()
	if err := x.node.Stop(begin.Add(endsWithin)); err != nil {
		return fmt.Errorf("process %d: %w", i, err)
	}
	x.logs += x.node.Log()
	if err := f.start(i); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.r.Restarted++
	return nil
}

// move puts discovery elsewhere, and tells those that are there.
func (f *play) move() error {
	if err := f.cluster.Move(); err != nil {
		return err
	}
	until(f.ctx, time.Now().Add(f.Release.NotifyAfter))
	for i, x := range f.all {
		x.files.Lock()
		_, err := f.cluster.Write(f.dir, i)
		if err == nil {
			err = x.node.Signal(syscall.SIGHUP)
			if errors.Is(err, os.ErrProcessDone) {
				err = nil // it is between its two lives, and the next reads the new file
			}
		}
		x.files.Unlock()
		if err != nil {
			return fmt.Errorf("process %d: %w", i, err)
		}
	}
	return nil
}
