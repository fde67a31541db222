package failover

import "time"

// Watcher is a dispatcher's part: it counts what the reports say.
type Watcher struct {
	name, zone string
	sights     map[[2]string]*Sight // by zone and class
	asked      map[string]*asked
	heard      map[string]hearing
	last       Clock
}

type hearing struct {
	at         Clock
	unanswered int
}

type asked struct {
	jobs  float64 // since the last report
	worth float64
	ran   float64 // seconds of a slot that a job of the class takes, on average
}

// NewWatcher begins.
func NewWatcher(name, zone string, now Clock) *Watcher {
	return &Watcher{name: name, zone: zone, sights: map[[2]string]*Sight{}, asked: map[string]*asked{}, heard: map[string]hearing{}, last: now}
}

func (w *Watcher) class(class string) *asked {
	a := w.asked[class]
	if a == nil {
		a = &asked{}
		w.asked[class] = a
	}
	return a
}

// Asked counts a job that came, whatever becomes of it; worth is of a second of its work.
func (w *Watcher) Asked(class string, worth float64) {
	a := w.class(class)
	a.jobs++
	a.worth = worth
}

// Ended counts a call that somebody answered: whether that was to turn it away, whether its answer was in time, and for how
// long its job ran at all its slots together; 0 where that is not known.
func (w *Watcher) Ended(to, class string, full, inTime bool, ran time.Duration, now Clock) {
	s := w.sight(to, class)
	s.Ended++
	if full {
		s.Full++
	}
	if inTime {
		s.InTime++
	}
	if a := w.class(class); ran > 0 {
		if a.ran == 0 {
			a.ran = ran.Seconds()
		}
		a.ran += 0.05 * (ran.Seconds() - a.ran)
	}
	w.Heard(to, now)
}

// SilentAfter is how long a call may be without any sign before it is counted as one that nobody has answered.
const SilentAfter = 500 * time.Millisecond

// Heard notes any sign of a zone: an answer, to a probe too, or that a job has started.
func (w *Watcher) Heard(to string, now Clock) { w.heard[to] = hearing{now, 0} }

// Silent counts a call or a probe that nobody has answered.
func (w *Watcher) Silent(to string, now Clock) {
	h, ok := w.heard[to]
	if !ok {
		h.at = now
	}
	h.unanswered++
	w.heard[to] = h
}

func (w *Watcher) sight(to, class string) *Sight {
	s := w.sights[[2]string{to, class}]
	if s == nil {
		s = &Sight{To: to, Class: class}
		w.sights[[2]string{to, class}] = s
	}
	return s
}

// Report gives what was seen since the last one, and begins anew.
func (w *Watcher) Report(now Clock, capacity map[string]float64) Report {
	r := Report{Dispatcher: w.name, Zone: w.zone, Capacity: capacity}
	seconds := max((now - w.last).Seconds(), 1e-3)
	for key, s := range w.sights {
		if s.Ended > 0 {
			r.Sights = append(r.Sights, *s)
		}
		delete(w.sights, key)
	}
	for to, h := range w.heard {
		r.Heard = append(r.Heard, Hearing{to, now - h.at, h.unanswered})
	}
	for class, a := range w.asked {
		r.Asked = append(r.Asked, Asked{class, a.jobs / seconds * a.ran, a.worth})
		a.jobs = 0
	}
	w.last = now
	return r
}

// Capacity is what boxes of a size in slots can take now from everybody: one that started so long ago is at a share of its
// size that rises evenly, and is given jobs by a few dispatchers only, as its budget is dealt out among all.
func Capacity(size, start float64, age, cold time.Duration) float64 {
	if cold <= 0 || age >= cold {
		return size
	}
	return size * coldUse * (start + (1-start)*max(age.Seconds(), 0)/cold.Seconds())
}

const coldUse = 0.2
