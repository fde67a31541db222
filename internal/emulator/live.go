package emulator

import "time"

// Standing is what a works' boxes are at, and what was broken so far.
type Standing struct {
	Since                time.Duration // the start
	Boxes, Up, Cold      int
	Slots, Busy, Waiting int
	Sends, Probes        int
	Breaches             []Breach
	Troubled             int // boxes that have any fault
}

// Now gives it, as of some moment soon.
func (k *Cluster) Now() Standing {
	got := make(chan Standing, 1)
	k.w.post(func() {
		s := Standing{Since: k.w.now - epoch, Boxes: len(k.w.boxes), Sends: k.w.sends, Probes: k.w.probes, Breaches: append([]Breach(nil), k.w.audit.breach...)}
		for _, b := range k.w.boxes {
			if b.down {
				continue
			}
			s.Up++
			s.Slots += b.slots
			s.Busy += b.busy
			for _, r := range b.queue {
				s.Waiting += one(!r.over)
			}
			s.Cold += one(b.warmth() < 1)
			s.Troubled += one(b.frozen+b.silent+b.slow+b.late+b.cut > 0)
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
