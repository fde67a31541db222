package experiment

import (
	"context"
	"slices"
	"sync"
	"time"

	"brassdale/internal/emulator"
	"brassdale/scheduler"
)

// ZoneExperiment compares ways to choose a job's zone, on a cluster of four zones in two regions.
type ZoneExperiment struct {
	Dispatchers, Workers int
	Seeds                int
}

// ZoneCase is a set of faults, and the load during them as a share of the cluster's capacity.
type ZoneCase struct {
	Name   string
	Load   float64
	Faults []emulator.Fault
}

const (
	zoneSlots         = 5   // of a worker
	zoneWork          = 0.2 // mean of a job, in seconds
	zoneFaultAt       = 15 * time.Second
	zoneFaultDuration = 20 * time.Second
	zoneFaultEnd      = zoneFaultAt + zoneFaultDuration
	zoneSpan          = 75 * time.Second

	// Package faults uses the same two times (zonesresult.go).
	zoneDetectionTime = 3 * time.Second  // time for a plan to react to a fault: not counted as part of the fault
	zoneRecoveryTime  = 15 * time.Second // after a fault's end

	flapInterval = 6 * time.Second // between the losses of a zone that flaps
	flapDuration = 3 * time.Second
)

// ZoneCases returns the cases, in the order of the tables. Times are since the start of the run.
func ZoneCases() []ZoneCase {
	fault := func(kind emulator.FaultKind, at, duration time.Duration, zone, from int, size float64) emulator.Fault {
		return emulator.Fault{Kind: kind, At: at, For: duration, Zone: zone, From: from, Size: size, Share: 1}
	}
	lost := fault(emulator.ZoneLost, zoneFaultAt, zoneFaultDuration, 1, 0, 0)
	partition := func(zone, from int) emulator.Fault {
		return fault(emulator.ZonePartition, zoneFaultAt, zoneFaultDuration, zone, from, 0)
	}
	var flaps []emulator.Fault
	for at := zoneFaultAt; at < zoneFaultEnd; at += flapInterval {
		flaps = append(flaps, fault(emulator.ZoneLost, at, flapDuration, 1, 0, 0))
	}
	return []ZoneCase{
		{"calm", 0.6, nil},
		{"lost", 0.55, []emulator.Fault{lost}},
		{"lost, full", 0.66, []emulator.Fault{lost}},
		{"two lost", 0.7, []emulator.Fault{lost, fault(emulator.ZoneLost, zoneFaultAt+5*time.Second, zoneFaultDuration-5*time.Second, 3, 0, 0)}},
		{"cut one way", 0.6, []emulator.Fault{partition(1, 1)}},
		{"regions cut", 0.6, []emulator.Fault{partition(1, 3), partition(1, 4), partition(2, 3), partition(2, 4), partition(3, 1), partition(4, 1), partition(3, 2), partition(4, 2)}},
		{"ten times as far", 0.6, []emulator.Fault{fault(emulator.ZoneDelay, zoneFaultAt, zoneFaultDuration, 1, 0, 10)}},
		{"flapping", 0.55, flaps},
	}
}

// ZoneModes are the modes of emulator.Failover, in the order of the tables.
var ZoneModes = []string{"", "near", "spread", "plan"}

// zoneModeTitles are the modes' names in tables and charts.
var zoneModeTitles = map[string]string{"": "each for itself", "near": "nearest only", "spread": "spread over all", "plan": "planned in common"}

// ZoneRow is the result of one run. Fault, Recovery, Later and All are shares of weighted work answered in time: of the work requested
// during the fault, during the recovery time after it, later, and during the whole run. MovedAfter, RestoredAfter and P99 are in
// seconds.
type ZoneRow struct {
	Case, Mode                                 string
	Seed                                       uint64
	Fault, Recovery, Later, All                float64
	Crossings, Peak, MovedAfter, RestoredAfter float64
	Plans, Breaches                            int
	P99                                        float64
}

// Scenario returns a case's scenario.
func (e ZoneExperiment) Scenario(zoneCase ZoneCase, mode string, seed uint64) emulator.Scenario {
	scenario := emulator.ReferenceScenario(seed)
	scenario.Span, scenario.Dispatchers = zoneSpan, e.Dispatchers
	scenario.Kinds = []emulator.WorkerKind{{Name: "box", Count: e.Workers, Slots: zoneSlots, SpeedMin: 0.9, SpeedMax: 1.1}}
	scenario.Network.Zones, scenario.Network.Regions, scenario.Network.CrossPrice, scenario.Network.Cross = 4, 2, 0.03, 10*time.Millisecond
	scenario.Traffic.Work, scenario.Traffic.Subjects, scenario.Traffic.Idempotency = zoneWork, 0, scheduler.Idempotent
	scenario.Traffic.Rate = zoneCase.Load * float64(e.Workers*zoneSlots) / zoneWork
	scenario.Faults = slices.Clone(zoneCase.Faults)
	scenario.Failover = emulator.Failover{Mode: mode, Headroom: 0.1, RecoveryRamp: 20 * time.Second, DetectionTime: time.Second, MaxShiftPerSecond: 0.1}
	return scenario
}

// zoneTask is one run.
type zoneTask struct {
	zoneCase ZoneCase
	mode     string
	seed     uint64
}

// tasks returns all runs: all cases in all modes over the seeds.
func (e ZoneExperiment) tasks() (tasks []zoneTask) {
	for _, zoneCase := range ZoneCases() {
		for _, mode := range ZoneModes {
			for seed := range e.Seeds {
				tasks = append(tasks, zoneTask{zoneCase, mode, uint64(seed + 1)})
			}
		}
	}
	return tasks
}

// RunZones runs all cases in all modes over the seeds. The parameter parallel is the maximum number of runs at a time. RunZones calls step
// after each run, from several goroutines. It returns no rows if the context ends.
func RunZones(ctx context.Context, experiment ZoneExperiment, parallel int, step func()) (rows []ZoneRow, err error) {
	tasks := experiment.tasks()
	rows = make([]ZoneRow, len(tasks))
	var mu sync.Mutex
	var workers sync.WaitGroup
	next := make(chan int)
	for range parallel {
		workers.Go(func() {
			for i := range next {
				row, runErr := experiment.run(tasks[i])
				mu.Lock()
				if runErr != nil {
					err = runErr
				} else {
					rows[i] = row
				}
				mu.Unlock()
				step()
			}
		})
	}
	for i := range tasks {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	workers.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return rows, err
}

// run executes one run.
func (e ZoneExperiment) run(task zoneTask) (ZoneRow, error) {
	newPolicy := func(settings scheduler.Settings, seed uint64) emulator.Policy { return scheduler.New(settings, seed) }
	result, err := emulator.Run(e.Scenario(task.zoneCase, task.mode, task.seed), newPolicy)
	if err != nil {
		return ZoneRow{}, err
	}
	return ZoneRow{
		Case:          task.zoneCase.Name,
		Mode:          task.mode,
		Seed:          task.seed,
		Fault:         result.ServiceBetween(zoneFaultAt+zoneDetectionTime, zoneFaultEnd),
		Recovery:      result.ServiceBetween(zoneFaultEnd, zoneFaultEnd+zoneRecoveryTime),
		Later:         result.ServiceBetween(zoneFaultEnd+zoneRecoveryTime, zoneSpan),
		All:           result.Service,
		Crossings:     result.Crossings,
		Peak:          result.ZonePeak,
		MovedAfter:    result.MovedAfter.Seconds(),
		RestoredAfter: result.RestoredAfter.Seconds(),
		Plans:         result.PlanChanges,
		Breaches:      len(result.Breaches),
		P99:           result.P99.Seconds(),
	}, nil
}
