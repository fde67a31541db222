package failover

import (
	"math"
	"time"
)

const (
	// workSmoothing is the weight of one attempt in the mean work of its class.
	workSmoothing = 0.05

	// minReportSpan is the shortest time, in seconds, over which a report's rates are computed.
	minReportSpan = 1e-3
)

// Recorder records what a dispatcher observes, for its reports.
type Recorder struct {
	name, zone      string // of the dispatcher
	observations    map[zoneClass]*Observation
	arrivals        map[string]*classArrivals // by class
	lastSignals     map[string]lastSignal     // by zone
	reportedFailing map[string]bool           // by zone: the verdicts of the last report
	reportedAt      Instant
}

// lastSignal is the last signal of a zone.
type lastSignal struct {
	at         Instant // when it was received; if there was no signal yet, when the first attempt or probe counted as unanswered
	unanswered int     // attempts and probes since then
}

// classArrivals counts the requests of one class.
type classArrivals struct {
	jobs     float64 // since the last report
	weight   float64 // priority weight of a slot-second
	meanWork float64 // slot-seconds of a job, smoothed; 0 if unknown
}

// NewRecorder returns the recorder of the dispatcher with the given name in a zone. The first report covers the time from now.
func NewRecorder(name, zone string, now Instant) *Recorder {
	return &Recorder{
		name:            name,
		zone:            zone,
		observations:    map[zoneClass]*Observation{},
		arrivals:        map[string]*classArrivals{},
		lastSignals:     map[string]lastSignal{},
		reportedFailing: map[string]bool{},
		reportedAt:      now,
	}
}

func (r *Recorder) arrivalsOf(class string) *classArrivals {
	arrivals := r.arrivals[class]
	if arrivals == nil {
		arrivals = &classArrivals{}
		r.arrivals[class] = arrivals
	}
	return arrivals
}

func (r *Recorder) observationOf(to, class string) *Observation {
	key := zoneClass{to, class}
	observation := r.observations[key]
	if observation == nil {
		observation = &Observation{To: to, Class: class}
		r.observations[key] = observation
	}
	return observation
}

// JobArrived counts a request, regardless of its outcome. weight is the priority weight of a second of its work.
func (r *Recorder) JobArrived(class string, weight float64) {
	arrivals := r.arrivalsOf(class)
	arrivals.jobs++
	arrivals.weight = weight
}

// AttemptEnded counts an attempt that the zone answered. full says whether the zone rejected it for lack of capacity, and inTime whether
// it was served within the latency objective. runTime is how long the job ran; 0 if unknown. The emulator multiplies runTime by the
// job's slots, the dispatcher does not.
func (r *Recorder) AttemptEnded(to, class string, full, inTime bool, runTime time.Duration, now Instant) {
	observation := r.observationOf(to, class)
	observation.Ended++
	if full {
		observation.Full++
	}
	if inTime {
		observation.InTime++
	}
	if arrivals := r.arrivalsOf(class); runTime > 0 {
		if arrivals.meanWork == 0 {
			arrivals.meanWork = runTime.Seconds()
		}
		arrivals.meanWork += workSmoothing * (runTime.Seconds() - arrivals.meanWork)
	}
	r.ResponseReceived(to, now)
}

// ResponseReceived records a signal of a zone: a response to an attempt or to a probe, or the start of a job.
func (r *Recorder) ResponseReceived(to string, now Instant) { r.lastSignals[to] = lastSignal{now, 0} }

// AttemptUnanswered counts an attempt or a probe that had no response, or no signal for NoResponseAfter.
func (r *Recorder) AttemptUnanswered(to string, now Instant) {
	signal, ok := r.lastSignals[to]
	if !ok {
		signal.at = now
	}
	signal.unanswered++
	r.lastSignals[to] = signal
}

// Report returns what was recorded since the last report. capacity maps each zone to its slots: the sum of func Capacity over the
// zone's workers.
func (r *Recorder) Report(now Instant, capacity map[string]float64) Report {
	report := Report{Dispatcher: r.name, Zone: r.zone, Capacity: map[string]float64{}}
	for key, observation := range r.observations {
		if observation.Ended > 0 {
			report.Observations = append(report.Observations, *observation)
		}
		delete(r.observations, key)
	}
	report.LastResponses = r.takeLastResponses(now)
	seconds := max((now - r.reportedAt).Seconds(), minReportSpan)
	for class, arrivals := range r.arrivals {
		work := arrivals.jobs / seconds * arrivals.meanWork
		report.Arrivals = append(report.Arrivals, Arrivals{class, roundToThousandth(work), arrivals.weight})
		arrivals.jobs = 0
	}
	for zone, slots := range capacity {
		report.Capacity[zone] = roundToThousandth(slots)
	}
	r.reportedAt = now
	return report
}

// takeLastResponses returns the last signals of all zones, and records their verdicts in reportedFailing. It omits a zone if the
// last signal is too old for a verdict and no attempt or probe has been unanswered since that signal.
func (r *Recorder) takeLastResponses(now Instant) (responses []LastResponse) {
	clear(r.reportedFailing)
	for to, signal := range r.lastSignals {
		response := LastResponse{to, (now - signal.at).Round(time.Millisecond), signal.unanswered}
		failing, known := response.verdict()
		if !known && response.Unanswered == 0 {
			continue
		}
		r.reportedFailing[to] = failing
		responses = append(responses, response)
	}
	return responses
}

// HasUrgentChange reports whether the verdict on a route differs from the verdict in the last report, so that the next report should
// be sent at once.
func (r *Recorder) HasUrgentChange(now Instant) bool {
	for to, signal := range r.lastSignals {
		failing, known := (LastResponse{to, now - signal.at, signal.unanswered}).verdict()
		if known && failing != r.reportedFailing[to] {
			return true
		}
	}
	return false
}

// roundToThousandth keeps reports short: each dispatcher sends one each second, and no plan depends on further digits.
func roundToThousandth(value float64) float64 { return math.Round(value*1000) / 1000 }
