package faults

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"brassdale/internal/decisions/configversions"
)

// operator is a process's file.
func (f *play) operator(i int) string {
	if f.Voters == 0 {
		return ""
	}
	voter := 0
	if i < f.Voters {
		voter = i + 1
	}
	text := fmt.Sprintf("council {\n fleet = \"rig\"\n listen = %q\n seat = %d\n directory = %q\n bound = %q\n region = %q\n zone = %q\n",
		f.ats[i], voter, f.all[i].dir, f.Bound, fmt.Sprint("r", i%2), fmt.Sprint("z", i%3))
	if f.Replace > 0 {
		text += fmt.Sprintf(" replace = %q\n", f.Replace)
	}
	text += " voters = ["
	for _, v := range f.voters {
		text += fmt.Sprintf("%q, ", v)
	}
	text += "]\n reach = {\n"
	for ends, l := range f.links {
		if ends[0] == i {
			text += fmt.Sprintf("  %q = %q\n", f.ats[ends[1]], l.Address())
		}
	}
	return text + " }\n}\n" + f.Zones.operator() + f.Overload.operator()
}

func (f *play) start(i int) error {
	path := filepath.Join(f.dir, fmt.Sprintf("operator-%d.hcl", i))
	if err := os.WriteFile(path, []byte(f.operator(i)), 0o600); err != nil {
		return err
	}
	x := f.all[i]
	x.files.Lock()
	defer x.files.Unlock()
	env := x.env
	if i >= f.Processes-f.Older {
		env = append(env, "BRASSDALE_TEST_FORM=1")
	}
	node, err := f.cluster.StartWith(f.ctx, f.binary, f.dir, i, env, "serve", "--operator", path)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	x.node, x.gone = node, false
	return nil
}

// applyFault plays one fault to its end.
func (f *play) applyFault(e Event, end time.Time) error {
	if e.Process == Leader {
		e.Process = f.leader()
	}
	x := f.all[e.Process]
	switch e.Kind {
	case Cut:
		f.link(e.Process, State{CutTo: true, CutFrom: true})
	case OneWay:
		f.link(e.Process, State{CutTo: !e.Reverse, CutFrom: e.Reverse})
	case Delayed:
		f.link(e.Process, State{Delay: 50 * time.Millisecond, Spread: 250 * time.Millisecond})
	case Slow:
		f.link(e.Process, State{Slow: true})
	case Reorder:
		f.link(e.Process, State{Reorder: 400 * time.Millisecond})
	case Split:
		f.divide(e.Group)
		until(f.ctx, end)
		f.divide(nil)
		return nil
	case Flap:
		for on := true; time.Now().Before(end); on = !on {
			f.link(e.Process, State{CutTo: on, CutFrom: on})
			if !until(f.ctx, time.Now().Add(50*time.Millisecond)) {
				return nil
			}
		}
	case Resets:
		for time.Now().Before(end) {
			f.each(e.Process, func(l *Link, _ bool) { l.Reset() })
			if !until(f.ctx, time.Now().Add(100*time.Millisecond)) {
				return nil
			}
		}
	case Freeze:
		f.leave(x)
		if err := x.node.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		until(f.ctx, end)
		f.back(x)
		return x.node.Signal(syscall.SIGCONT)
	case Kill, Blank, Pace, Gone:
		return f.kill(e, end)
	case Anew:
		return f.anew(e.Process, end)
	case Stage:
		return f.stage()
	case Double:
		return f.twice()
	}
	until(f.ctx, end)
	f.link(e.Process, State{})
	return nil
}

// kill kills a process, and starts it again when its fault is over.
func (f *play) kill(e Event, end time.Time) error {
	x := f.all[e.Process]
	f.leave(x)
	x.node.Kill()
	x.logs += x.node.Log()
	switch e.Kind {
	case Gone:
		f.mu.Lock()
		x.lost = true
		f.mu.Unlock()
		return nil
	case Blank:
		if err := os.RemoveAll(x.dir); err != nil {
			return err
		}
	case Pace:
		x.env = []string{fmt.Sprintf("BRASSDALE_TEST_PACE=%g", map[bool]float64{false: 1 + configversions.MaxClockDrift/2, true: 1 - configversions.MaxClockDrift/2}[e.Reverse])}
	}
	until(f.ctx, end)
	f.back(x)
	return f.start(e.Process)
}

// anew kills all and starts all, one with its disk lost.
func (f *play) anew(lost int, end time.Time) error {
	for _, x := range f.all {
		f.leave(x)
		x.node.Kill()
		x.logs += x.node.Log()
	}
	if err := os.RemoveAll(f.all[lost].dir); err != nil {
		return err
	}
	until(f.ctx, end)
	var wait sync.WaitGroup
	errs := make([]error, len(f.all))
	for i, x := range f.all {
		wait.Go(func() {
			f.back(x)
			errs[i] = f.start(i)
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

func (f *play) leave(x *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x.gone = true
	x.absences = append(x.absences, Absence{From: time.Now()})
}

func (f *play) back(x *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x.absences[len(x.absences)-1].To, x.gone = time.Now(), false
}

// each goes through the links of a process; called tells that it is the one who is called.
func (f *play) each(process int, do func(l *Link, called bool)) {
	for ends, l := range f.links {
		if ends[0] == process || ends[1] == process {
			do(l, ends[1] == process)
		}
	}
}

// link puts what befalls a process's links in force, beside what befalls those at the other ends.
func (f *play) link(process int, s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[process].state = s
	for ends := range f.links {
		if ends[0] == process || ends[1] == process {
			f.put(ends)
		}
	}
}

// divide has a group and the rest not reach each other; none heals that.
func (f *play) divide(group []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.split = map[int]bool{}
	for _, i := range group {
		f.split[i] = true
	}
	for ends := range f.links {
		f.put(ends)
	}
}

// put sets a link by what befalls both of its ends; f.mu is held.
func (f *play) put(ends [2]int) {
	from, to := f.all[ends[0]].state, f.all[ends[1]].state
	apart := f.split[ends[0]] != f.split[ends[1]]
	f.links[ends].Set(State{CutTo: apart || from.CutTo || to.CutFrom, CutFrom: apart || from.CutFrom || to.CutTo,
		Delay: max(from.Delay, to.Delay), Spread: max(from.Spread, to.Spread), Reorder: max(from.Reorder, to.Reorder), Slow: from.Slow || to.Slow})
}
