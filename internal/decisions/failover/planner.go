package failover

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxReportAge is the age from which a report no longer counts.
	maxReportAge = 3 * time.Second

	// maxElapsed is the longest time that the planner assumes to have passed between two calls of Next.
	maxElapsed = 5 * time.Second

	// A plan that is not urgent is made only if a share is to change by minShareChange or more.
	minShareChange = 0.02

	// The minimum time between a plan and a next plan that is not urgent is Settings.DetectionTime, but at most maxPlanCooldown.
	maxPlanCooldown = 5 * time.Second

	// maxShiftTime is the longest time for which Settings.MaxShiftPerSecond accumulates.
	maxShiftTime = time.Second

	// If the last plan loads a zone above overloadTolerance times its capacity, the next plan is urgent.
	overloadTolerance = 1.02

	// While dispatchers that act on the last plan and others on the next one could overload a zone together (mixedLoadFits is
	// false), the next plan is moved towards the last one by Interpolate. The fraction begins at maxInterpolation and is halved each
	// time; only fractions above minInterpolation are used.
	maxInterpolation = 0.5
	minInterpolation = 0.05
)

// Planner makes plans from the dispatchers' reports. The raft leader runs one. It is not replicated: a new leader begins with the
// plan in force, and collects the reports anew.
type Planner struct {
	settings        Settings
	regions         map[string]string         // by zone
	reports         map[string]receivedReport // by dispatcher: its last report
	routes          map[route]*routeState
	arrivals        map[zoneClass]Arrivals // by zone of arrival, smoothed
	zoneLosses      map[string]*zoneLoss   // by zone
	capacityFactors map[string]float64     // by zone: the share of its capacity that plans use, reduced while few attempts are in time
	zoneLimits      map[string]float64     // by zone: the share of its capacity that the operator permits plans to use
	plan            *Plan                  // the last one
	plannedAt       Instant
	nextCalledAt    Instant
}

// receivedReport is a report with the time at which it was received.
type receivedReport struct {
	Report
	receivedAt Instant
}

// NewPlanner returns a planner. regions maps each zone to its region. plan is the plan in force; nil if there is none.
func NewPlanner(settings Settings, regions map[string]string, plan *Plan, now Instant) *Planner {
	return &Planner{
		settings:        settings,
		regions:         regions,
		reports:         map[string]receivedReport{},
		routes:          map[route]*routeState{},
		arrivals:        map[zoneClass]Arrivals{},
		zoneLosses:      map[string]*zoneLoss{},
		capacityFactors: map[string]float64{},
		zoneLimits:      map[string]float64{},
		plan:            plan,
		plannedAt:       now,
		nextCalledAt:    now,
	}
}

// AddReport stores a dispatcher's report in place of its last one.
func (p *Planner) AddReport(report Report, now Instant) {
	p.reports[report.Dispatcher] = receivedReport{report, now}
}

// LimitZone limits the share of a zone's capacity that plans use, on behalf of the operator. A share of 1 ends the limit.
func (p *Planner) LimitZone(zone string, share float64) {
	if p.zoneLimits[zone] = share; share >= 1 {
		delete(p.zoneLimits, zone)
	}
}

// Regions returns the regions of the zones, by zone. The map must not be changed.
func (p *Planner) Regions() map[string]string { return p.regions }

// Plan returns the last plan; nil if there is none.
func (p *Planner) Plan() *Plan { return p.plan }

// Next evaluates the reports and returns the next plan. If no other plan is needed, it returns the last one, and ok is false. The
// leader calls it every 250 ms (planInterval in package fleet), except while a dispatcher may act on a plan older than the last
// one.
func (p *Planner) Next(now Instant) (plan *Plan, ok bool) {
	elapsed := min((now - p.nextCalledAt).Seconds(), maxElapsed.Seconds())
	p.nextCalledAt = now
	maps.DeleteFunc(p.reports, func(_ string, report receivedReport) bool { return now-report.receivedAt > maxReportAge })
	if len(p.reports) == 0 {
		return p.plan, false
	}
	p.updateVerdicts(now, elapsed)
	p.updateArrivals()
	zones, demands := p.inputs(now)
	if len(demands) == 0 {
		return p.plan, false
	}
	target := newPlan(demands, zones, Solve(zones, demands, p.reachability, p.settings.Headroom))
	reasons := p.reasons(zones, demands, target)
	next := target
	if !p.isUrgent(zones, demands) {
		if next, ok = p.stepTowards(target, zones, demands, now); !ok {
			return p.plan, false
		}
	}
	next.Reasons = reasons
	if p.plan != nil {
		if MaxDivergence(p.plan, next, demands) < minShareChange/4 && maps.Equal(p.plan.Reasons, next.Reasons) {
			return p.plan, false
		}
		next.Number = p.plan.Number
	}
	next.Number++
	p.plan, p.plannedAt = next, now
	return next, true
}

// isUrgent reports whether the target plan should be in force at once, without steps: there is no plan, or the last one uses an
// excluded route or overloads a zone.
func (p *Planner) isUrgent(zones []Zone, demands []Demand) bool {
	if p.plan == nil || p.planUsesExcludedRoute(demands) {
		return true
	}
	load := p.plan.Load(demands)
	return slices.ContainsFunc(zones, func(zone Zone) bool { return load[zone.Name] > zone.Capacity*overloadTolerance })
}

// stepTowards returns the next plan on the way from the last one to target. It limits the change of the shares to
// Settings.MaxShiftPerSecond. ok is false if no plan should be made yet.
func (p *Planner) stepTowards(target *Plan, zones []Zone, demands []Demand, now Instant) (next *Plan, ok bool) {
	divergence := MaxDivergence(p.plan, target, demands)
	if divergence < minShareChange || now-p.plannedAt < min(p.settings.DetectionTime, maxPlanCooldown) {
		return nil, false
	}
	next = target
	if maxChange := p.settings.MaxShiftPerSecond * min((now-p.plannedAt).Seconds(), maxShiftTime.Seconds()); divergence > maxChange {
		next = Interpolate(p.plan, target, demands, maxChange/divergence)
	}
	for fraction := maxInterpolation; fraction > minInterpolation && !p.mixedLoadFits(next, zones, demands); fraction /= 2 {
		next = Interpolate(p.plan, next, demands, fraction)
	}
	return next, true
}

// mixedLoadFits reports whether no zone is overloaded while some dispatchers act on the last plan and others on the next one: the
// load of each zone may be at most the larger of its capacity and its load under the last plan.
func (p *Planner) mixedLoadFits(next *Plan, zones []Zone, demands []Demand) bool {
	mixed := MaxMixedLoad(p.plan, next, demands)
	load := p.plan.Load(demands)
	for _, zone := range zones {
		if mixed[zone.Name] > max(zone.Capacity, load[zone.Name])+negligible {
			return false
		}
	}
	return true
}

// PredictShedding returns the slots of work that the target plan sheds now, and the slots that it would shed if the capacity of a zone
// were multiplied by share, from 0 to 1.
func (p *Planner) PredictShedding(zone string, share float64, now Instant) (current, limited float64) {
	zones, demands := p.inputs(now)
	current = p.shedding(zones, demands)
	for i := range zones {
		if zones[i].Name == zone {
			zones[i].Capacity *= share
		}
	}
	return current, p.shedding(zones, demands)
}

// shedding returns the slots of work that the target plan sheds.
func (p *Planner) shedding(zones []Zone, demands []Demand) (shed float64) {
	for _, work := range Solve(zones, demands, p.reachability, p.settings.Headroom).Shed {
		shed += work
	}
	return shed
}
