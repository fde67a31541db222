package cachetrust

import "time"

// Rules are the settings of an Assessor. They do not change.
type Rules struct {
	MaxAge            time.Duration // an older list is not used
	MinFirstListShare float64       // a first list with less than this share of the cached ready workers must be confirmed; 0 for no confirmation
	SlowStartDuration time.Duration // how long a worker warms up after its start, at most
	SlowStartCapacity float64       // the share of its capacity that a worker has at its start, from 0 to 1
	MayProbe          bool          // workers may be probed
}
