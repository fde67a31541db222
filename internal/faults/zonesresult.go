package faults

import (
	"regexp"
	"strconv"
	"time"

	"brassdale/internal/emulator"
	"brassdale/scheduler"
)

// ZonesResult measures how a deployment with zones served its jobs. The JSON keys are the keys of result files and do not change.
type ZonesResult struct {
	Served           float64 `json:"served_share"`                       // of the jobs, in time
	ServedNoFailover float64 `json:"served_share_no_failover,omitempty"` // in the emulator's virtual time, without failover plans: each process decides by itself
	ServedFault      float64 `json:"served_share_fault"`                 // of the jobs sent during the first fault, from faultDetectionTime after its start
	ServedAfterFault float64 `json:"served_share_behind"`                // of the jobs sent within recoveryWindow after its end
	Crossing         float64 `json:"crossing_share"`                     // share of the attempts
	MinCrossing      float64 `json:"crossing_least"`                     // minimum share of the work that had to cross, given the zones' capacities
	Peak             float64 `json:"zone_peak_over_capacity"`            // most work that a zone received over some seconds, relative to its capacity
	PlanChanges      uint64  `json:"plan_changes"`                       // number of the last failover plan
	DetectMS         float64 `json:"detect_ms"`                          // from the start of the first fault to the first plan applied after it; -1 if there is none
	MovedMS          float64 `json:"moved_ms"`                           // from the same start until the last process applied its first such plan; -1 if no process did
	BackMS           float64 `json:"back_ms"`                            // from the end of the first fault to the last plan applied; -1 if there is none
	ServedVirtual    float64 `json:"served_share_fault_virtual"`         // ServedFault in the emulator's virtual time, with failover plans
}

// Both times equal zoneDetectionTime and zoneRecoveryTime of package experiment, so that runs in real and virtual time are comparable.
const (
	faultDetectionTime = 3 * time.Second
	recoveryWindow     = 15 * time.Second
)

// endedJob is a job that has ended.
type endedJob struct {
	sentAt time.Time
	inTime bool // answered in time
}

type endedJobs []endedJob

// servedShare returns the share of the jobs sent in [from, to) that were answered in time.
func (j endedJobs) servedShare(from, to time.Time) float64 {
	inTime, all := 0, 0
	for _, job := range j {
		if job.sentAt.Before(from) || !job.sentAt.Before(to) {
			continue
		}
		all++
		if job.inTime {
			inTime++
		}
	}
	return float64(inTime) / float64(max(all, 1))
}

// measureZones measures how the zones' jobs were served.
func (r *run) measureZones() *ZonesResult {
	begin := r.result.Begin
	load := r.cluster.Load()
	result := &ZonesResult{
		Served:   r.endedJobs.servedShare(begin, begin.Add(r.plan.Span)),
		Crossing: float64(load.Crossings) / float64(max(load.Sends, 1)),
		Peak:     load.Peak,
	}
	if len(r.plan.Zones.Faults) == 0 {
		return result
	}
	first := r.plan.Zones.Faults[0]
	from, to := begin.Add(first.At), begin.Add(first.At+first.For)
	result.ServedFault = r.endedJobs.servedShare(from.Add(faultDetectionTime), to)
	result.ServedAfterFault = r.endedJobs.servedShare(to, to.Add(recoveryWindow))
	result.MinCrossing = r.plan.Zones.minCrossing(r.plan.Span)
	if modelled, err := r.runInVirtualTime(""); err == nil {
		result.ServedNoFailover = modelled.Service
	}
	if modelled, err := r.runInVirtualTime("plan"); err == nil {
		result.ServedVirtual = modelled.ServiceBetween(first.At+faultDetectionTime, first.At+first.For)
	}
	r.measurePlanChanges(result, from, to)
	return result
}

const (
	modelDetectTime   = time.Second // of a fault, by the emulator's failover
	modelFailoverStep = 0.1
)

// runInVirtualTime runs the run's scenario in the emulator's virtual time, with the given failover mode of the emulator and without the
// faults of processes.
func (r *run) runInVirtualTime(mode string) (*emulator.Result, error) {
	scenario := r.scenario
	zones := r.plan.Zones
	scenario.Failover = emulator.Failover{Mode: mode, Headroom: zones.Headroom, RecoveryRamp: zones.ReturnIn, DetectionTime: modelDetectTime, MaxShiftPerSecond: modelFailoverStep}
	return emulator.Run(scenario, func(settings scheduler.Settings, seed uint64) emulator.Policy { return scheduler.New(settings, seed) })
}

// appliedPlan is a failover plan that a process applied.
type appliedPlan struct {
	number uint64
	at     time.Time
}

// planApplied matches a dispatcher's log line about a failover plan that it applied.
var planApplied = regexp.MustCompile(`msg="failover plan applied" number=(\d+) expired=(true|false) at_ms=(\d+)`)

// appliedPlans returns the plans that a process applied, from its log.
func appliedPlans(log string) []appliedPlan {
	var plans []appliedPlan
	for _, match := range planApplied.FindAllStringSubmatch(log, -1) {
		number, _ := strconv.ParseUint(match[1], 10, 64) // the pattern matches only digits
		ms, _ := strconv.ParseInt(match[3], 10, 64)      // likewise
		plans = append(plans, appliedPlan{number, time.UnixMilli(ms)})
	}
	return plans
}

// measurePlanChanges sets the figures about the failover plans that the processes applied. The parameters from and to are the start and the
// end of the first fault.
func (r *run) measurePlanChanges(result *ZonesResult, from, to time.Time) {
	var detectedAt, movedAt, lastAt time.Time
	for _, process := range r.processes {
		reacted := false
		for _, plan := range appliedPlans(process.log()) {
			result.PlanChanges = max(result.PlanChanges, plan.number)
			if plan.at.After(from) && !reacted {
				reacted = true
				if detectedAt.IsZero() || plan.at.Before(detectedAt) {
					detectedAt = plan.at
				}
				movedAt = later(movedAt, plan.at)
			}
			if plan.at.After(to) {
				lastAt = later(lastAt, plan.at)
			}
		}
	}
	result.DetectMS, result.MovedMS, result.BackMS = millisecondsAfter(from, detectedAt), millisecondsAfter(from, movedAt), millisecondsAfter(to, lastAt)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// millisecondsAfter returns the whole milliseconds between two times, or -1 if at is zero.
func millisecondsAfter(from, at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return milliseconds(at.Sub(from))
}
