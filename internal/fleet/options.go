package fleet

import (
	"log/slog"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/traffic"
)

// Options configure an Agent. The callbacks are called from the agent's goroutines; ApplyEffective and PlanChanged are called
// with the agent's lock held, so they must neither block nor call the agent.
type Options struct {
	// Settings are the operator's settings. They must have been checked.
	Settings *Settings
	// Name is the dispatcher's name, unique in the fleet.
	Name string
	// Zone is the dispatcher's zone if the settings name none.
	Zone string
	// ApplyEffective is called with the effective rules whenever they change.
	ApplyEffective func(configversions.Effective)
	// JobCounts returns how many jobs have ended since the start, and how many of these were rejected or failed. If it is nil, both
	// numbers are 0.
	JobCounts func() (ended, failed uint64)

	// Overload has the settings of the fleet's budgets; nil if the fleet has no budgets.
	Overload *Overload
	// MaxDispatchers returns the largest number of dispatchers that the fleet may have. If it is nil, the number is 1.
	MaxDispatchers func() int
	// FirstAttempts returns the number of first attempts of requests since the start. If it is nil, the number is 0.
	FirstAttempts func() uint64

	// Failover has the settings of failover between zones; nil if the fleet does not plan failover.
	Failover *Failover
	// Report returns this dispatcher's observations of zones since the last report. If it is nil, the dispatcher sends no reports.
	Report func() *failover.Report
	// HasUrgentChange reports whether the leader should get a report at once. If it is nil, no report is urgent.
	HasUrgentChange func() bool
	// PlanChanged is called when the plan or the value of expired changes. expired is true while this dispatcher has been without a
	// lease for too long to trust the plan. The plan is nil if there is none.
	PlanChanged func(plan *failover.Plan, expired bool)

	// Log receives the agent's log lines.
	Log *slog.Logger
	// Meter counts the control traffic of this process. If it is nil, the agent creates a meter.
	Meter *traffic.Meter
}
