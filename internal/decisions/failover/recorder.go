package failover

import (
	"math"
	"time"
)

// Recorder is a dispatcher's part: it counts what the reports say.
type Recorder struct {
	name, zone string
	sights     map[[2]string]*Observation // by zone and class
	asked      map[string]*asked
	heard      map[string]hearing
	said       map[string]bool // ways that were bad by the last report
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

// NewRecorder begins.
func NewRecorder(name, zone string, now Clock) *Recorder {
	return &Recorder{name: name, zone: zone, sights: map[[2]string]*Observation{}, asked: map[string]*asked{}, heard: map[string]hearing{}, said: map[string]bool{}, last: now}
}

func (w *Recorder) class(class string) *asked {
	a := w.asked[class]
	if a == nil {
		a = &asked{}
		w.asked[class] = a
	}
	return a
}

// JobArrived counts a job that came, whatever becomes of it; worth is of a second of its work.
func (w *Recorder) JobArrived(class string, worth float64) {
	a := w.class(class)
	a.jobs++
	a.worth = worth
}

// CallEnded counts a call that somebody answered: whether that was to turn it away, whether its answer was in time, and for how
// long its job ran at all its slots together; 0 where that is not known.
func (w *Recorder) CallEnded(to, class string, full, inTime bool, ran time.Duration, now Clock) {
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
	w.ResponseReceived(to, now)
}

// NoResponseAfter is how long a call may be without any sign before it is counted as one that nobody has answered.
const NoResponseAfter = 500 * time.Millisecond

// ResponseReceived notes any sign of a zone: an answer, to a probe too, or that a job has started.
func (w *Recorder) ResponseReceived(to string, now Clock) { w.heard[to] = hearing{now, 0} }

// CallUnanswered counts a call or a probe that nobody has answered.
func (w *Recorder) CallUnanswered(to string, now Clock) {
	h, ok := w.heard[to]
	if !ok {
		h.at = now
	}
	h.unanswered++
	w.heard[to] = h
}

func (w *Recorder) sight(to, class string) *Observation {
	s := w.sights[[2]string{to, class}]
	if s == nil {
		s = &Observation{To: to, Class: class}
		w.sights[[2]string{to, class}] = s
	}
	return s
}

// Report gives what was seen since the last one, and begins anew.
func (w *Recorder) Report(now Clock, capacity map[string]float64) Report {
	r := Report{Dispatcher: w.name, Zone: w.zone, Capacity: map[string]float64{}}
	seconds := max((now - w.last).Seconds(), 1e-3)
	for key, s := range w.sights {
		if s.Ended > 0 {
			r.Observations = append(r.Observations, *s)
		}
		delete(w.sights, key)
	}
	clear(w.said)
	for to, h := range w.heard {
		x := LastResponse{to, (now - h.at).Round(time.Millisecond), h.unanswered}
		bad, any := x.says()
		if !any && x.Unanswered == 0 {
			continue // an old answer, and nothing asked for since: it says nothing
		}
		w.said[to] = bad
		r.LastResponses = append(r.LastResponses, x)
	}
	for class, a := range w.asked {
		r.Arrivals = append(r.Arrivals, Arrivals{class, short(a.jobs / seconds * a.ran), a.worth})
		a.jobs = 0
	}
	for zone, c := range capacity {
		r.Capacity[zone] = short(c)
	}
	w.last = now
	return r
}

// HasUrgentChange tells whether a way is bad that was not by the last report, or the other way round.
func (w *Recorder) HasUrgentChange(now Clock) bool {
	for to, h := range w.heard {
		if bad, any := (LastResponse{to, now - h.at, h.unanswered}).says(); any && bad != w.said[to] {
			return true
		}
	}
	return false
}

// short rounds to a thousandth: nobody plans by less, and each digit is sent by every dispatcher every second.
func short(x float64) float64 { return math.Round(x*1000) / 1000 }

// Capacity is what boxes of a size in slots can take now from everybody: one that started so long ago is at a share of its
// size that rises evenly, and is given jobs by a few dispatchers only, as its budget is dealt out among all.
func Capacity(size, start float64, age, cold time.Duration) float64 {
	if cold <= 0 || age >= cold {
		return size
	}
	return size * coldUse * (start + (1-start)*max(age.Seconds(), 0)/cold.Seconds())
}

const coldUse = 0.2
