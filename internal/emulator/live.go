package emulator

import "time"

// Status is what a works' boxes are at, and what was broken so far.
type Status struct {
	Since                  time.Duration // the start
	Workers, Up, WarmingUp int
	Slots, Busy, Waiting   int
	Sends, Probes          int
	Breaches               []Breach
	Faulty                 int // boxes that have any fault
}

// Now gives it, as of some moment soon.
func (k *Cluster) Now() Status {
	got := make(chan Status, 1)
	k.w.post(func() {
		s := Status{Since: k.w.now - epoch, Workers: len(k.w.workers), Sends: k.w.sends, Probes: k.w.probes, Breaches: append([]Breach(nil), k.w.audit.breach...)}
		for _, b := range k.w.workers {
			if b.down {
				continue
			}
			s.Up++
			s.Slots += b.slots
			s.Busy += b.busy
			for _, r := range b.queue {
				s.Waiting += one(!r.over)
			}
			s.WarmingUp += one(b.warmupFactor() < 1)
			s.Faulty += one(b.frozen+b.silent+b.slow+b.late+b.cut > 0)
		}
		got <- s
	})
	return <-got
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}
