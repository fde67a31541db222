package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/scheduler"
)

// Failover is who decides to which zone a job goes, in virtual time. A council is a planner that hears of each dispatcher
// once a second, late, and whose plans come late too; that it agrees is not modelled here but by processes (internal/faults).
type Failover struct {
	Mode     string // "" each dispatcher by itself, "near" its own zone alone, "spread" all alike, "plan" in common
	Headroom float64
	ReturnIn time.Duration
	Detect   time.Duration
	Step     float64
}

// zonePlanning is the planner with its clients.
type zonePlanning struct {
	planner       *failover.Planner
	random        *rand.Rand
	planChanges   int
	movedAfter    time.Duration // when a plan first had nothing in the first zone that was lost; 0 for never
	restoredAfter time.Duration // and when it had as much there as before again
	zoneLoss      *Fault
	shareBefore   float64
}

// zoneLoad is what came to a zone's boxes, and what they could do, by second.
type zoneLoad struct{ workReceived, workCapacity []float64 }

func (sim *simulation) zoneName(zone int) string { return fmt.Sprint("z", zone) }

func (sim *simulation) region(zone int) string {
	regions := max(sim.scenario.Network.Regions, 1)
	return fmt.Sprint("r", zone*regions/max(sim.scenario.Network.Zones, 1))
}

// startPlanning sets up who decides, and counts what zones could do.
func (sim *simulation) startPlanning() {
	settings := &sim.scenario.Failover
	sim.after(0, sim.sampleZones)
	if settings.Mode != "plan" {
		return
	}
	regions := map[string]string{}
	for zone := range sim.scenario.Network.Zones {
		regions[sim.zoneName(zone)] = sim.region(zone)
	}
	sim.planning = &zonePlanning{random: sim.randomSource(4), planner: failover.NewPlanner(failover.Settings{Headroom: settings.Headroom, RecoveryRamp: settings.ReturnIn, DetectionTime: settings.Detect, MaxShiftPerSecond: settings.Step,
		Distance: func(from, to string) float64 {
			if from == to {
				return 0
			}
			return 1
		}}, regions, nil, sim.now)}
	for i := range sim.scenario.Faults {
		if sim.scenario.Faults[i].Kind == ZoneLost && sim.planning.zoneLoss == nil {
			sim.planning.zoneLoss = &sim.scenario.Faults[i]
		}
	}
	for _, dispatcher := range sim.dispatchers {
		dispatcher.recorder, dispatcher.endpointsByID = failover.NewRecorder(fmt.Sprint("n", dispatcher.index), sim.zoneName(dispatcher.zone), sim.now), map[scheduler.WorkerID]scheduler.WorkerInfo{}
		sim.after(time.Duration(sim.planning.random.Float64()*float64(time.Second)), dispatcher.reportToPlanner)
	}
	sim.after(time.Second, sim.updatePlan)
}

const (
	plannerReportInterval = 500 * time.Millisecond // with each renewal of a lease of two seconds
	planInterval          = 250 * time.Millisecond
	maxReportDelay        = 200 * time.Millisecond // at the most: a renewal that goes by a seat
)

// maxPlanDelay is how late a plan reaches the last dispatcher: 0.1 s at 50 processes, 0.7 s at 300, as measured.
func (sim *simulation) maxPlanDelay() time.Duration {
	return 100*time.Millisecond + time.Duration(sim.scenario.Dispatchers)*2*time.Millisecond
}

// reportToPlanner tells the council.
func (d *dispatcher) reportToPlanner() {
	sim := d.sim
	capacity := map[string]float64{}
	for _, info := range d.endpointsByID {
		if info.State == scheduler.Ready {
			age := sim.scenario.SlowStart.For
			if info.StartedAt > 0 {
				age = sim.now - info.StartedAt
			}
			capacity[sim.zoneName(info.Zone)] += failover.Capacity(info.Weight, sim.scenario.SlowStart.Capacity, age, sim.scenario.SlowStart.For)
		}
	}
	for _, request := range d.requests {
		for i, attempt := range request.attempts {
			if request.inFlight[i] && !attempt.countedUnanswered && attempt.startHeardAt == 0 && sim.now-attempt.sentAt > failover.NoResponseAfter {
				attempt.countedUnanswered = true
				d.recorder.CallUnanswered(sim.zoneName(sim.workerByAttempt(attempt).zone), sim.now)
			}
		}
	}
	r := d.recorder.Report(sim.now, capacity)
	sim.after(time.Duration(d.random.Float64()*float64(maxReportDelay)), func() { sim.planning.planner.AddReport(r, sim.now) })
	sim.after(plannerReportInterval, d.reportToPlanner)
}

// updatePlan has a plan made, and gives it to all.
func (sim *simulation) updatePlan() {
	planning := sim.planning
	plan, made := planning.planner.Next(sim.now)
	if made {
		planning.planChanges++
		for _, dispatcher := range sim.dispatchers {
			sim.after(time.Duration(planning.random.Float64()*float64(sim.maxPlanDelay())), func() { dispatcher.plan = plan })
		}
	}
	if planning.zoneLoss != nil && plan != nil {
		at, zone := clockStart+planning.zoneLoss.At, sim.zoneName(planning.zoneLoss.Zone-1)
		share := plan.Share(zone, className, zone)
		switch {
		case sim.now < at:
			planning.shareBefore = share
		case planning.movedAfter == 0 && share < 0.01:
			planning.movedAfter = sim.now + sim.maxPlanDelay() - at
		case planning.movedAfter > 0 && planning.restoredAfter == 0 && sim.now > at+planning.zoneLoss.For && share >= planning.shareBefore-0.02:
			planning.restoredAfter = sim.now - at - planning.zoneLoss.For
		}
	}
	sim.after(planInterval, sim.updatePlan)
}

// permittedZones gives the zones that a job may go to; not ok where it is shed.
func (d *dispatcher) permittedZones(job *job) (zones uint64, ok bool) {
	sim := d.sim
	class := sim.classNameOf(job)
	if d.recorder != nil {
		d.recorder.JobArrived(class, sim.classes[job.class].PriorityWeight)
	}
	switch sim.scenario.Failover.Mode {
	case "near":
		return 1 << d.zone, true
	case "spread":
		return 1 << d.random.IntN(max(sim.scenario.Network.Zones, 1)), true
	case "plan":
		zone, ok := d.plan.Choose(sim.zoneName(d.zone), class, d.random.Float64())
		for z := range sim.scenario.Network.Zones {
			if sim.zoneName(z) == zone {
				zones = 1 << z
			}
		}
		return zones, ok
	}
	return 0, true
}

// recordAttempt counts a call's end.
func (d *dispatcher) recordAttempt(attempt *attemptRun, o *openRequest, outcome scheduler.Outcome) {
	sim := d.sim
	zone := sim.zoneName(sim.workerByAttempt(attempt).zone)
	switch {
	case d.recorder == nil, outcome == scheduler.NeverSent, outcome == scheduler.Cancelled && (attempt.startHeardAt > 0 || sim.now-attempt.sentAt < failover.NoResponseAfter/4), attempt.countedUnanswered && outcome == scheduler.TimedOut:
		return
	case outcome == scheduler.Cancelled, outcome == scheduler.TimedOut, outcome == scheduler.NoConnect, outcome == scheduler.Reset:
		d.recorder.CallUnanswered(zone, sim.now)
		return
	}
	ran := time.Duration(0)
	if outcome == scheduler.Served && attempt.startHeardAt > 0 {
		ran = time.Duration(float64(sim.now-attempt.startHeardAt) * float64(attempt.job.slots))
	}
	d.recorder.CallEnded(zone, sim.classNameOf(attempt.job), outcome == scheduler.Full, outcome == scheduler.Served && sim.withinObjective(attempt.job, sim.now-attempt.job.firstRequestedAt), ran, sim.now)
}

// classNameOf is a job's class by name.
func (sim *simulation) classNameOf(job *job) string {
	return cmp.Or(sim.classes[job.class].Name, className)
}

// partitionedFrom tells whether nothing goes between the dispatcher and a box.
func (d *dispatcher) partitionedFrom(worker *worker) bool {
	return d.sim.partitions[[2]int{d.zone, worker.zone}] > 0
}

// applyZoneFault plays a zone's fault.
func (sim *simulation) applyZoneFault(fault Fault) {
	zone := fault.Zone - 1
	switch fault.Kind {
	case Apart:
		sim.partitions[[2]int{fault.From - 1, zone}]++
		sim.after(fault.For, func() { sim.partitions[[2]int{fault.From - 1, zone}]-- })
	case Far:
		sim.delayFactor[zone] = fault.Size
		sim.after(fault.For, func() { sim.delayFactor[zone] = 0 })
	case ZoneLost:
		for _, worker := range sim.workers {
			if worker.zone != zone {
				continue
			}
			worker.partitioned++
			sim.after(fault.For, func() {
				worker.endFault(Partition)
				worker.startedAt, worker.recentArrivals = sim.now, nil
				sim.publishWorker(worker)
			})
		}
	}
}

// sampleZones notes once a second what each zone's boxes can do.
func (sim *simulation) sampleZones() {
	for zone := range sim.zoneLoads {
		capacity := 0.0
		for _, worker := range sim.workers {
			if worker.zone == zone && !worker.down && worker.partitioned == 0 && worker.state != scheduler.Gone {
				capacity += float64(worker.slots) * worker.speed * worker.warmupFactor()
			}
		}
		sim.zoneLoads[zone].workCapacity = append(sim.zoneLoads[zone].workCapacity, capacity)
		sim.zoneLoads[zone].workReceived = append(sim.zoneLoads[zone].workReceived, 0)
	}
	sim.after(time.Second, sim.sampleZones)
}

// recordZoneWork counts work that came to a zone's boxes.
func (sim *simulation) recordZoneWork(worker *worker, work float64) {
	if load := &sim.zoneLoads[worker.zone]; len(load.workReceived) > 0 {
		load.workReceived[len(load.workReceived)-1] += work
	}
}

// peakWindowSeconds spans: work that comes is uneven from one second to the next.
const peakWindowSeconds = 5

// peakZoneLoad is the most that came to a zone's boxes, as a share of what they could do, while they could do anything.
func (sim *simulation) peakZoneLoad() (peak float64) {
	for _, load := range sim.zoneLoads {
		for i := peakWindowSeconds; i < len(load.workReceived); i++ {
			received, capacity := 0.0, 0.0
			for k := i - peakWindowSeconds; k < i; k++ {
				received += load.workReceived[k]
				capacity += load.workCapacity[k]
			}
			available := true // cold or warm, but there all the time
			for k := i - peakWindowSeconds; k < i; k++ {
				available = available && load.workCapacity[k] > 0
			}
			if available {
				peak = max(peak, received/capacity)
			}
		}
	}
	return peak
}

// secondStats is what was asked for in one, and what of it was in time.
type secondStats struct{ workRequested, workInTime float64 }

// recordBySecond enters a job's end where its client asked.
func (sim *simulation) recordBySecond(job *job, outcome clientOutcome) {
	second := int((job.firstRequestedAt - clockStart - dispatcherLeadTime) / time.Second)
	for len(sim.statsBySecond) <= second {
		sim.statsBySecond = append(sim.statsBySecond, secondStats{})
	}
	if second < 0 {
		return
	}
	sim.statsBySecond[second].workRequested += sim.weightedWork(job)
	if outcome == outcomeServed && sim.withinObjective(job, sim.now-job.firstRequestedAt) {
		sim.statsBySecond[second].workInTime += sim.weightedWork(job)
	}
}

// Within is the share of worth in time of what was asked for between two times of the run.
func (r *Result) Within(from, to time.Duration) float64 {
	var sum secondStats
	for i, s := range r.Seconds {
		if at := time.Duration(i) * time.Second; at >= from && at < to {
			sum.workRequested += s.workRequested
			sum.workInTime += s.workInTime
		}
	}
	if sum.workRequested == 0 {
		return 1
	}
	return sum.workInTime / sum.workRequested
}
