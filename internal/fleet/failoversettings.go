package fleet

import (
	"math"
	"time"

	"brassdale/internal/decisions/failover"
)

// Failover is the block named failover of the operator's file: settings for the leader's plan of which zone serves which zone's
// jobs. Durations are checked when the operator's file is read.
type Failover struct {
	// Regions are all regions of the fleet.
	Regions []Region `hcl:"region,block"`
	// Headroom is the share of a zone's capacity that no plan uses.
	Headroom float64 `hcl:"headroom,optional"`
	// RecoveryRamp is the shortest time over which a recovered zone gets its traffic back.
	RecoveryRamp string `hcl:"return_in,optional"`
	// MaxTimeWithoutLease is how long a dispatcher without a lease may act on the last plan.
	MaxTimeWithoutLease string `hcl:"alone,optional"`
	// DetectionTime is the duration below which a fault does not change the plan.
	DetectionTime string `hcl:"detect,optional"`
}

// Region is a set of zones near each other.
type Region struct {
	Name  string   `hcl:"name,label"`
	Zones []string `hcl:"zones"`
}

// DefaultFailover returns the defaults of the block named failover.
func DefaultFailover() Failover {
	return Failover{Headroom: 0.15, RecoveryRamp: "60s", MaxTimeWithoutLease: "10s", DetectionTime: "1s"}
}

// maxShiftPerSecond is the largest change of a share of a plan in a second while no zone has failed.
const maxShiftPerSecond = 0.1

// plannerSettings returns the settings of the planner, and the region of each zone. The distance between two zones is the
// difference of their positions in the list of all zones.
func (f *Failover) plannerSettings() (settings failover.Settings, regions map[string]string) {
	regions = map[string]string{}
	positions := map[string]int{}
	for _, region := range f.Regions {
		for _, zone := range region.Zones {
			regions[zone] = region.Name
			positions[zone] = len(positions)
		}
	}
	settings = failover.Settings{
		Headroom:          f.Headroom,
		RecoveryRamp:      checkedDuration(f.RecoveryRamp),
		DetectionTime:     checkedDuration(f.DetectionTime),
		MaxShiftPerSecond: maxShiftPerSecond,
		Distance:          func(from, to string) float64 { return math.Abs(float64(positions[from] - positions[to])) },
	}
	return settings, regions
}

// checkedDuration parses a duration that was checked when the operator's file was read.
func checkedDuration(text string) time.Duration {
	duration, _ := time.ParseDuration(text)
	return duration
}
