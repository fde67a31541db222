package failover

import (
	"math"
	"time"
)

// Recorder is a dispatcher's part: it counts what the reports say.
type Recorder struct {
	name, zone      string
	observations    map[[2]string]*Observation // by zone and class
	arrivals        map[string]*classArrivals
	lastSignals     map[string]lastSignal
	reportedFailing map[string]bool // ways that were bad by the last report
	reportedAt      Clock
}

type lastSignal struct {
	at         Clock
	unanswered int
}

type classArrivals struct {
	jobs     float64 // since the last report
	weight   float64
	meanWork float64 // seconds of a slot that a job of the class takes, on average
}

// NewRecorder begins.
func NewRecorder(name, zone string, now Clock) *Recorder {
	return &Recorder{name: name, zone: zone, observations: map[[2]string]*Observation{}, arrivals: map[string]*classArrivals{}, lastSignals: map[string]lastSignal{}, reportedFailing: map[string]bool{}, reportedAt: now}
}

func (w *Recorder) arrivalsOf(class string) *classArrivals {
	a := w.arrivals[class]
	if a == nil {
		a = &classArrivals{}
		w.arrivals[class] = a
	}
	return a
}

// JobArrived counts a job that came, whatever becomes of it; worth is of a second of its work.
func (w *Recorder) JobArrived(class string, worth float64) {
	a := w.arrivalsOf(class)
	a.jobs++
	a.weight = worth
}

// CallEnded counts a call that somebody answered: whether that was to turn it away, whether its answer was in time, and for how
// long its job ran at all its slots together; 0 where that is not known.
func (w *Recorder) CallEnded(to, class string, full, inTime bool, ran time.Duration, now Clock) {
	s := w.observationOf(to, class)
	s.Ended++
	if full {
		s.Full++
	}
	if inTime {
		s.InTime++
	}
	if a := w.arrivalsOf(class); ran > 0 {
		if a.meanWork == 0 {
			a.meanWork = ran.Seconds()
		}
		a.meanWork += 0.05 * (ran.Seconds() - a.meanWork)
	}
	w.ResponseReceived(to, now)
}

// NoResponseAfter is how long a call may be without any sign before it is counted as one that nobody has answered.
const NoResponseAfter = 500 * time.Millisecond

// ResponseReceived notes any sign of a zone: an answer, to a probe too, or that a job has started.
func (w *Recorder) ResponseReceived(to string, now Clock) { w.lastSignals[to] = lastSignal{now, 0} }

// CallUnanswered counts a call or a probe that nobody has answered.
func (w *Recorder) CallUnanswered(to string, now Clock) {
	h, ok := w.lastSignals[to]
	if !ok {
		h.at = now
	}
	h.unanswered++
	w.lastSignals[to] = h
}

func (w *Recorder) observationOf(to, class string) *Observation {
	s := w.observations[[2]string{to, class}]
	if s == nil {
		s = &Observation{To: to, Class: class}
		w.observations[[2]string{to, class}] = s
	}
	return s
}

// Report gives what was seen since the last one, and begins anew.
func (w *Recorder) Report(now Clock, capacity map[string]float64) Report {
	r := Report{Dispatcher: w.name, Zone: w.zone, Capacity: map[string]float64{}}
	seconds := max((now - w.reportedAt).Seconds(), 1e-3)
	for key, s := range w.observations {
		if s.Ended > 0 {
			r.Observations = append(r.Observations, *s)
		}
		delete(w.observations, key)
	}
	clear(w.reportedFailing)
	for to, h := range w.lastSignals {
		x := LastResponse{to, (now - h.at).Round(time.Millisecond), h.unanswered}
		bad, any := x.verdict()
		if !any && x.Unanswered == 0 {
			continue // an old answer, and nothing asked for since: it says nothing
		}
		w.reportedFailing[to] = bad
		r.LastResponses = append(r.LastResponses, x)
	}
	for class, a := range w.arrivals {
		r.Arrivals = append(r.Arrivals, Arrivals{class, roundToThousandth(a.jobs / seconds * a.meanWork), a.weight})
		a.jobs = 0
	}
	for zone, c := range capacity {
		r.Capacity[zone] = roundToThousandth(c)
	}
	w.reportedAt = now
	return r
}

// HasUrgentChange tells whether a way is bad that was not by the last report, or the other way round.
func (w *Recorder) HasUrgentChange(now Clock) bool {
	for to, h := range w.lastSignals {
		if bad, any := (LastResponse{to, now - h.at, h.unanswered}).verdict(); any && bad != w.reportedFailing[to] {
			return true
		}
	}
	return false
}

// roundToThousandth rounds to a thousandth: nobody plans by less, and each digit is sent by every dispatcher every second.
func roundToThousandth(x float64) float64 { return math.Round(x*1000) / 1000 }

// Capacity is what boxes of a size in slots can take now from everybody: one that started so long ago is at a share of its
// size that rises evenly, and is given jobs by a few dispatchers only, as its budget is dealt out among all.
func Capacity(size, start float64, age, cold time.Duration) float64 {
	if cold <= 0 || age >= cold {
		return size
	}
	return size * warmingUpUse * (start + (1-start)*max(age.Seconds(), 0)/cold.Seconds())
}

const warmingUpUse = 0.2
