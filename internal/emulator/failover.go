package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/scheduler"
)

// Failover is how a job's zone is chosen. In mode "plan" one planner receives each dispatcher's reports and sends its plans
// back, both with a delay; the agreement among planners is not modelled here but tested with processes (internal/faults).
type Failover struct {
	Mode              string // "" each dispatcher's policy, "near" its own zone, "spread" a random zone, "plan" by the planner
	Headroom          float64
	RecoveryRamp      time.Duration // duration of the ramp of a recovered zone's share
	DetectionTime     time.Duration
	MaxShiftPerSecond float64 // most that a share changes in a second
}

// zonePlanning is the planner and the measurements of its plans.
type zonePlanning struct {
	planner       *failover.Planner
	random        *rand.Rand
	planChanges   int
	zoneLoss      *Fault        // the scenario's first loss of a zone; nil if it has none
	shareBefore   float64       // share of the lost zone's jobs that was planned into it before the loss
	movedAfter    time.Duration // from the loss until no job was planned into the zone; 0 if that did not happen
	restoredAfter time.Duration // from the fault's end until the share was restored; 0 if that did not happen
}

// zoneName returns the name of the zone with the given index.
func (sim *simulation) zoneName(zone int) string { return fmt.Sprint("z", zone) }

// region returns the name of a zone's region.
func (sim *simulation) region(zone int) string {
	regions := max(sim.scenario.Network.Regions, 1)
	return fmt.Sprint("r", zone*regions/max(sim.scenario.Network.Zones, 1))
}

// startPlanning starts the sampling of zone loads and, in mode "plan", the planner with its reports.
func (sim *simulation) startPlanning() {
	sim.after(0, sim.sampleZones)
	if sim.scenario.Failover.Mode != "plan" {
		return
	}
	sim.planning = sim.newZonePlanning()
	for _, dispatcher := range sim.dispatchers {
		dispatcher.recorder = failover.NewRecorder(fmt.Sprint("n", dispatcher.index), sim.zoneName(dispatcher.zone), sim.now)
		dispatcher.endpointsByID = map[scheduler.WorkerID]scheduler.WorkerInfo{}
		sim.after(time.Duration(sim.planning.random.Float64()*float64(time.Second)), dispatcher.reportToPlanner)
	}
	sim.after(time.Second, sim.updatePlan)
}

// newZonePlanning returns the planner for the scenario's zones and regions.
func (sim *simulation) newZonePlanning() *zonePlanning {
	configured := &sim.scenario.Failover
	settings := failover.Settings{
		Headroom:          configured.Headroom,
		RecoveryRamp:      configured.RecoveryRamp,
		DetectionTime:     configured.DetectionTime,
		MaxShiftPerSecond: configured.MaxShiftPerSecond,
		Distance: func(from, to string) float64 {
			if from == to {
				return 0
			}
			return 1
		},
	}
	regions := map[string]string{}
	for zone := range sim.scenario.Network.Zones {
		regions[sim.zoneName(zone)] = sim.region(zone)
	}
	planning := &zonePlanning{random: sim.randomSource(plannerSource), planner: failover.NewPlanner(settings, regions, nil, sim.now)}
	for i := range sim.scenario.Faults {
		if sim.scenario.Faults[i].Kind == ZoneLost {
			planning.zoneLoss = &sim.scenario.Faults[i]
			break
		}
	}
	return planning
}

const (
	plannerReportInterval = 500 * time.Millisecond // a report goes with each renewal of a lease of two seconds
	planInterval          = 250 * time.Millisecond
	maxReportDelay        = 200 * time.Millisecond // of a renewal that a follower forwards

	// The last dispatcher receives a plan 0.1 s late with 50 processes, and 0.7 s late with 300.
	minPlanDelay           = 100 * time.Millisecond
	planDelayPerDispatcher = 2 * time.Millisecond

	movedShare       = 0.01 // planned share of a lost zone below which its jobs count as moved
	restoredShareGap = 0.02 // a zone's share within this distance of the share before the loss counts as restored
)

// maxPlanDelay returns how late a plan reaches the last dispatcher.
func (sim *simulation) maxPlanDelay() time.Duration {
	return minPlanDelay + time.Duration(sim.scenario.Dispatchers)*planDelayPerDispatcher
}

// reportToPlanner sends the planner the dispatcher's view of zone capacities and responses, and again after
// plannerReportInterval.
func (d *dispatcher) reportToPlanner() {
	sim, slowStart := d.sim, &d.sim.scenario.SlowStart
	capacity := map[string]float64{}
	for _, endpoint := range d.endpointsByID {
		if endpoint.State == scheduler.Ready {
			age := slowStart.Duration
			if endpoint.StartedAt > 0 {
				age = sim.now - endpoint.StartedAt
			}
			capacity[sim.zoneName(endpoint.Zone)] += failover.Capacity(endpoint.Weight, slowStart.Capacity, age, slowStart.Duration)
		}
	}
	d.countUnanswered()
	report := d.recorder.Report(sim.now, capacity)
	sim.after(time.Duration(d.random.Float64()*float64(maxReportDelay)), func() { sim.planning.planner.AddReport(report, sim.now) })
	sim.after(plannerReportInterval, d.reportToPlanner)
}

// countUnanswered records the attempts in flight that have had no response for failover.NoResponseAfter. It records each attempt once.
func (d *dispatcher) countUnanswered() {
	for _, request := range d.requests {
		for i, attempt := range request.attempts {
			if request.inFlight[i] && !attempt.countedUnanswered && attempt.startNotifiedAt == 0 && d.sim.now-attempt.sentAt > failover.NoResponseAfter {
				attempt.countedUnanswered = true
				d.recorder.AttemptUnanswered(d.sim.zoneName(d.sim.workerByAttempt(attempt).zone), d.sim.now)
			}
		}
	}
}

// updatePlan asks the planner for its next plan, sends the plan to all dispatchers, and repeats this after planInterval.
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
		sim.measurePlan(plan)
	}
	sim.after(planInterval, sim.updatePlan)
}

// measurePlan measures when a plan moves the jobs out of the lost zone, and when it restores their share.
func (sim *simulation) measurePlan(plan *failover.Plan) {
	planning, loss := sim.planning, sim.planning.zoneLoss
	lostAt, zone := clockStart+loss.At, sim.zoneName(loss.Zone-1)
	share := plan.Share(zone, className, zone)
	switch {
	case sim.now < lostAt:
		planning.shareBefore = share
	case planning.movedAfter == 0 && share < movedShare:
		planning.movedAfter = sim.now + sim.maxPlanDelay() - lostAt
	case planning.movedAfter > 0 && planning.restoredAfter == 0 && sim.now > lostAt+loss.For && share >= planning.shareBefore-restoredShareGap:
		planning.restoredAfter = sim.now - lostAt - loss.For
	}
}

// permittedZones returns the zones that a job may go to as a bit mask, 0 for any zone. It returns false if the plan sheds the job.
func (d *dispatcher) permittedZones(job *job) (zones uint64, ok bool) {
	sim := d.sim
	class := sim.classNameOf(job)
	if d.recorder != nil {
		d.recorder.JobArrived(class, sim.classOf(job).PriorityWeight)
	}
	switch sim.scenario.Failover.Mode {
	case "near":
		return 1 << d.zone, true
	case "spread":
		return 1 << d.random.IntN(max(sim.scenario.Network.Zones, 1)), true
	case "plan":
		chosen, ok := d.plan.Choose(sim.zoneName(d.zone), class, d.random.Float64())
		for zone := range sim.scenario.Network.Zones {
			if sim.zoneName(zone) == chosen {
				zones = 1 << zone
			}
		}
		return zones, ok
	}
	return 0, true
}

// recordAttempt records an attempt's outcome for the planner. It skips attempts that were not sent, attempts that were
// cancelled after their start or too early to expect a response, and timed-out attempts already counted as unanswered.
func (d *dispatcher) recordAttempt(attempt *attemptRun, outcome scheduler.Outcome) {
	if d.recorder == nil || outcome == scheduler.NeverSent {
		return
	}
	sim, job := d.sim, attempt.job
	zone := sim.zoneName(sim.workerByAttempt(attempt).zone)
	switch {
	case outcome == scheduler.Cancelled && (attempt.startNotifiedAt > 0 || sim.now-attempt.sentAt < failover.NoResponseAfter/4):
		return
	case outcome == scheduler.TimedOut && attempt.countedUnanswered:
		return
	case outcome == scheduler.Cancelled, outcome == scheduler.TimedOut, outcome == scheduler.NoConnect, outcome == scheduler.Reset:
		d.recorder.AttemptUnanswered(zone, sim.now)
		return
	}
	slotTime := time.Duration(0)
	if outcome == scheduler.Served && attempt.startNotifiedAt > 0 {
		slotTime = time.Duration(float64(sim.now-attempt.startNotifiedAt) * float64(job.slots))
	}
	inTime := outcome == scheduler.Served && sim.withinObjective(job, sim.now-job.firstRequestedAt)
	d.recorder.AttemptEnded(zone, sim.classNameOf(job), outcome == scheduler.Full, inTime, slotTime, sim.now)
}

// recordProbe records a probe's outcome for the planner.
func (d *dispatcher) recordProbe(worker *worker, outcome scheduler.Outcome) {
	switch {
	case d.recorder == nil:
	case outcome == scheduler.Served:
		d.recorder.ResponseReceived(d.sim.zoneName(worker.zone), d.sim.now)
	default:
		d.recorder.AttemptUnanswered(d.sim.zoneName(worker.zone), d.sim.now)
	}
}
