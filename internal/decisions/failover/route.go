package failover

import "time"

const (
	// maxRelapseDoublings is how often the time doubles after which an excluded route is trusted again.
	maxRelapseDoublings = 3

	// A route that has worked for minForgetTime, and for forgetRamps times Settings.RecoveryRamp, is trusted as one that never
	// failed.
	minForgetTime = time.Minute
	forgetRamps   = 4
)

// route is a route from one zone to another, for one class or, with an empty class, for all.
type route struct{ from, to, class string }

// routeState is the planner's state of a route that failed at any time.
type routeState struct {
	failing    bool    // by the last reports
	since      Instant // when failing last changed
	excluded   bool    // plans do not use the route
	restoredAt Instant // when it was last excluded no longer
	relapses   int     // how often it was excluded
}

// updateRoute records whether a route fails now. It excludes the route once it has failed for Settings.DetectionTime, and restores it
// once it has worked for as long, doubled with each relapse.
func (p *Planner) updateRoute(key route, failing bool, now Instant) {
	state := p.routes[key]
	if state == nil {
		if !failing {
			return
		}
		state = &routeState{failing: true, since: now}
		p.routes[key] = state
	}
	if state.failing != failing {
		state.failing, state.since = failing, now
	}
	unchangedFor := now - state.since
	restoreAfter := p.settings.DetectionTime << min(state.relapses, maxRelapseDoublings)
	switch {
	case failing && !state.excluded && unchangedFor >= p.settings.DetectionTime:
		state.excluded = true
		state.relapses++
	case !failing && state.excluded && unchangedFor >= restoreAfter:
		state.excluded, state.restoredAt = false, now
	case !failing && !state.excluded && state.relapses > 0 &&
		now-state.restoredAt > forgetRamps*p.settings.RecoveryRamp && now-state.restoredAt > minForgetTime:
		delete(p.routes, key)
	}
}

// isExcluded reports whether requests of a class may not go from one zone to another now.
func (p *Planner) isExcluded(from, to, class string) bool {
	return p.isRouteExcluded(route{from, to, ""}) || p.isRouteExcluded(route{from, to, class})
}

func (p *Planner) isRouteExcluded(r route) bool {
	state := p.routes[r]
	return state != nil && state.excluded
}

// isLost reports whether the routes from most zones to a zone are excluded.
func (p *Planner) isLost(zone string) bool {
	excluded, open := 0, 0
	for from := range p.regions {
		if p.isRouteExcluded(route{from, zone, ""}) {
			excluded++
		} else {
			open++
		}
	}
	return excluded > open
}

// reachability is the Reachability by the routes that are not excluded.
func (p *Planner) reachability(from, to, class string) (distance float64, ok bool) {
	return p.settings.Distance(from, to), !p.isExcluded(from, to, class)
}

// planUsesExcludedRoute reports whether the plan has requests go where they may not.
func (p *Planner) planUsesExcludedRoute(demands []Demand) bool {
	for _, demand := range demands {
		for _, share := range p.plan.shares(demand.Zone, demand.Class) {
			if share.Share > minShareChange/4 && p.isExcluded(demand.Zone, share.Zone, demand.Class) {
				return true
			}
		}
	}
	return false
}
