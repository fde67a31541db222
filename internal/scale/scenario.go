package scale

import (
	"fmt"
	"time"

	"brassdale/internal/emulator"
)

const (
	crossZonePrice  = 0.03
	crossZoneDelay  = 5 * time.Millisecond
	restartDuration = time.Second     // of a worker
	drainDuration   = 4 * time.Second // time for a leaving worker to finish its jobs
	workerSpeedMin  = 0.9
	workerSpeedMax  = 1.1
	minEmulatorRate = 1 // the emulator accepts no scenario without jobs
	smallKindName   = "box"
	largeKindName   = "large-box"
)

// scenario returns the emulator's scenario for the plan: workers, discovery and their faults.
func (p *Plan) scenario() emulator.Scenario {
	scenario := emulator.ReferenceScenario(p.Seed)
	scenario.Dispatchers, scenario.Span = p.emulatorDispatchers(), p.Settle+p.Span
	slots := p.Accelerators / p.Workers
	larger := p.Accelerators - slots*p.Workers // workers with one slot more
	scenario.Kinds = []emulator.WorkerKind{
		{Name: smallKindName, Count: p.Workers - larger, Slots: slots, SpeedMin: workerSpeedMin, SpeedMax: workerSpeedMax},
		{Name: largeKindName, Count: larger, Slots: slots + 1, SpeedMin: workerSpeedMin, SpeedMax: workerSpeedMax},
	}
	scenario.Network.Zones, scenario.Network.Regions = p.Zones, p.Regions
	scenario.Network.CrossPrice, scenario.Network.Cross = crossZonePrice, crossZoneDelay
	scenario.Traffic.Work, scenario.Traffic.Subjects, scenario.Traffic.Rate = meanJobDuration.Seconds(), 0, max(p.Rate, minEmulatorRate)
	scenario.Traffic.Accounts = nil
	for team := range p.Teams {
		scenario.Traffic.Accounts = append(scenario.Traffic.Accounts, emulator.Account{Name: teamName(team), Share: 1})
	}
	if p.Fault != nil {
		scenario.Faults = append(scenario.Faults, p.Fault.workerFaults(p)...)
	}
	scenario.Faults = append(scenario.Faults, p.repeatedFaults(emulator.Restart, p.RestartInterval, restartDuration)...)
	scenario.Faults = append(scenario.Faults, p.repeatedFaults(emulator.Drain, p.DrainInterval, drainDuration)...)
	return scenario
}

// repeatedFaults returns faults at an interval, each of one worker: as many as end within the measured span, or none if the interval is 0.
func (p *Plan) repeatedFaults(kind emulator.FaultKind, interval, duration time.Duration) []emulator.Fault {
	var faults []emulator.Fault
	for at := interval; interval > 0 && at+duration < p.Span; at += interval {
		faults = append(faults, emulator.Fault{At: at, For: duration, Kind: kind, Share: 1 / float64(p.Workers)})
	}
	return faults
}

// workerFaults returns the faults that the emulator injects as its part of the fault.
func (f *Fault) workerFaults(plan *Plan) []emulator.Fault {
	var faults []emulator.Fault
	switch f.Kind {
	case ZoneLost:
		duration := f.For
		if duration == 0 {
			duration = plan.Span
		}
		faults = append(faults, emulator.Fault{At: f.At, For: duration, Kind: emulator.ZoneLost, Share: 1, Zone: f.Zone + 1})
	case RegionPartitioned:
		for from := range plan.Zones {
			for to := range plan.Zones {
				fromRegion, toRegion := plan.region(from), plan.region(to)
				if fromRegion != toRegion && (fromRegion == f.Region || toRegion == f.Region) {
					faults = append(faults, emulator.Fault{At: f.At, For: f.For, Kind: emulator.ZonePartition, Share: 1, Zone: to + 1, From: from + 1})
				}
			}
		}
	}
	return faults
}

// zoneName returns the emulator's name of a zone, counted from 0.
func zoneName(zone int) string { return fmt.Sprint("z", zone) }

// regionName returns the name of a region, counted from 0.
func regionName(region int) string { return fmt.Sprint("r", region) }

// teamName returns the name of a team, counted from 0.
func teamName(team int) string { return fmt.Sprint("team-", team+1) }
