package failover

import "time"

// Settings are the operator's settings of a Planner.
type Settings struct {
	Headroom          float64       // share of each zone's capacity, from 0 to 1, that no plan uses
	RecoveryRamp      time.Duration // minimum time over which a zone that was lost gets its capacity back
	DetectionTime     time.Duration // a fault that ends sooner changes nothing
	MaxShiftPerSecond float64       // maximum change of a share per second, unless a new plan is urgent
	// Distance returns how far two zones are apart. Requests that leave their zone, but not their region, go to the nearest zone.
	Distance func(from, to string) float64
}
