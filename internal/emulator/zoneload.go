package emulator

import (
	"time"

	"brassdale/scheduler"
)

// zoneLoad is the work that a zone's workers received and the work they could have done, in seconds at speed 1, by second of
// the run.
type zoneLoad struct{ workReceived, workCapacity []float64 }

// sampleZones starts a new second in all zone loads, with the zones' current capacity, and repeats after a second.
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

// recordZoneWork counts work that a worker received towards its zone's load.
func (sim *simulation) recordZoneWork(worker *worker, work float64) {
	if load := &sim.zoneLoads[worker.zone]; len(load.workReceived) > 0 {
		load.workReceived[len(load.workReceived)-1] += work
	}
}

// peakWindowSeconds is the window over which the peak zone load is measured: arrivals vary too much between single seconds.
const peakWindowSeconds = 5

// peakZoneLoad returns the highest ratio of work received to capacity over peakWindowSeconds at any zone. It skips windows
// with a second in which the zone had no capacity.
func (sim *simulation) peakZoneLoad() (peak float64) {
	for _, load := range sim.zoneLoads {
		for end := peakWindowSeconds; end < len(load.workReceived); end++ {
			received, capacity, available := 0.0, 0.0, true
			for second := end - peakWindowSeconds; second < end; second++ {
				received += load.workReceived[second]
				capacity += load.workCapacity[second]
				available = available && load.workCapacity[second] > 0
			}
			if available {
				peak = max(peak, received/capacity)
			}
		}
	}
	return peak
}
