package failover

import "time"

const (
	// The time after which an excluded route is restored doubles with each exclusion, at most maxRelapseDoublings times.
	maxRelapseDoublings = 3

	// The past exclusions of a route are forgotten once it has been restored for longer than minRouteRetention and longer than
	// routeRetentionRamps times Settings.RecoveryRamp.
	minRouteRetention   = time.Minute
	routeRetentionRamps = 4
)

// route is a route from one zone to another, for one class or, with an empty class, for all.
type route struct{ from, to, class string }

// routeState is the planner's state of a route that has failed.
type routeState struct {
	failing    bool    // by the last reports
	since      Instant // when failing last changed
	excluded   bool    // plans do not use the route
	restoredAt Instant // when its last exclusion ended
	relapses   int     // how often it was excluded
}

// updateRoute records whether a route fails now. It excludes the route once it has failed for Settings.DetectionTime. It restores the
// route once it has worked for Settings.DetectionTime, doubled for each exclusion up to maxRelapseDoublings times.
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
		now-state.restoredAt > routeRetentionRamps*p.settings.RecoveryRamp && now-state.restoredAt > minRouteRetention:
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

// reachability implements Reachability: all routes that are not excluded may be used.
func (p *Planner) reachability(from, to, class string) (distance float64, ok bool) {
	return p.settings.Distance(from, to), !p.isExcluded(from, to, class)
}

// planUsesExcludedRoute reports whether the plan sends requests along an excluded route.
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
