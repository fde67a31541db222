package failover

import "math"

const (
	// minEndedCalls is the number of answered calls, of all dispatchers together, from which their share in time counts.
	minEndedCalls = 20

	// A zone is lost for a class when less than lostClassInTime of its calls are in time there, and more than otherClassesInTime
	// of those of all other classes.
	lostClassInTime    = 0.1
	otherClassesInTime = 0.6

	// A zone of which less than minInTimeShare of the calls are in time has less capacity than it seems: its capacity factor
	// falls to capacityDecay of itself each second, down to minCapacityFactor. Otherwise it rises by capacityRecovery a second.
	minInTimeShare    = 0.5
	capacityDecay     = 0.9
	minCapacityFactor = 0.1
	capacityRecovery  = 0.05

	// forgetLossRamps times Settings.RecoveryRamp is how long after its recovery the loss of a zone is remembered.
	forgetLossRamps = 2

	// minRecoveryShare is the share of its capacity that a zone has as soon as it recovers.
	minRecoveryShare = 0.05
)

// callCounts counts calls to a zone that it did not reject for lack of capacity.
type callCounts struct {
	inTime, ended float64
}

// zoneLoss is the loss of a whole zone, now or before.
type zoneLoss struct {
	lost        bool
	recoveredAt Instant // once it is not lost
}

// updateVerdicts updates the states of routes and zones from all reports. elapsed is the time since the last update, in seconds.
func (p *Planner) updateVerdicts(now Instant, elapsed float64) {
	for r, failing := range p.failingRoutes() {
		p.updateRoute(r, failing, now)
	}
	calls := p.countCalls()
	for zone := range p.regions {
		p.updateLoss(zone, now)
		var total callCounts
		for key, counts := range calls {
			if key.zone == zone {
				total.inTime, total.ended = total.inTime+counts.inTime, total.ended+counts.ended
			}
		}
		for key, counts := range calls {
			if key.zone == zone {
				p.updateClassRoutes(key, counts, total, now)
			}
		}
		p.updateCapacityFactor(zone, total, elapsed)
	}
}

// failingRoutes returns, for each route that any dispatcher reports on, whether most of these dispatchers say that it fails.
func (p *Planner) failingRoutes() map[route]bool {
	type votes struct{ failing, working int }
	votesOf := map[route]votes{}
	for _, report := range p.reports {
		for _, response := range report.LastResponses {
			failing, known := response.verdict()
			if !known {
				continue
			}
			r := route{report.Zone, response.To, ""}
			counted := votesOf[r]
			if failing {
				counted.failing++
			} else {
				counted.working++
			}
			votesOf[r] = counted
		}
	}
	failing := make(map[route]bool, len(votesOf))
	for r, counted := range votesOf {
		failing[r] = counted.failing > counted.working
	}
	return failing
}

// countCalls sums the observations of all dispatchers.
func (p *Planner) countCalls() map[zoneClass]callCounts {
	calls := map[zoneClass]callCounts{}
	for _, report := range p.reports {
		for _, observation := range report.Observations {
			if !observation.isValid() || observation.Class == "" {
				continue
			}
			key := zoneClass{observation.To, observation.Class}
			counts := calls[key]
			counts.inTime += min(observation.InTime, observation.Ended)
			counts.ended += max(observation.Ended-observation.Full, 0)
			calls[key] = counts
		}
	}
	return calls
}

// updateLoss updates whether a zone is lost, and since when it has not been.
func (p *Planner) updateLoss(zone string, now Instant) {
	switch loss := p.zoneLosses[zone]; {
	case p.isLost(zone):
		p.zoneLosses[zone] = &zoneLoss{lost: true}
	case loss != nil && loss.lost:
		loss.lost, loss.recoveredAt = false, now
	case loss != nil && now-loss.recoveredAt > forgetLossRamps*p.settings.RecoveryRamp:
		delete(p.zoneLosses, zone)
	}
}

// updateClassRoutes updates the routes of all zones for a class in a zone. counts are the class's calls there, and total those of
// all classes.
func (p *Planner) updateClassRoutes(key zoneClass, counts, total callCounts, now Instant) {
	others := callCounts{total.inTime - counts.inTime, total.ended - counts.ended}
	lost := counts.ended >= minEndedCalls && counts.inTime/counts.ended < lostClassInTime &&
		others.ended >= minEndedCalls && others.inTime/others.ended > otherClassesInTime
	for from := range p.regions {
		if r := (route{from, key.zone, key.class}); lost || p.routes[r] != nil {
			p.updateRoute(r, lost, now)
		}
	}
}

// updateCapacityFactor updates the share of a zone's capacity that its calls in time confirm. elapsed is in seconds.
func (p *Planner) updateCapacityFactor(zone string, calls callCounts, elapsed float64) {
	factor, ok := p.capacityFactors[zone]
	if !ok {
		factor = 1
	}
	switch {
	case calls.ended >= minEndedCalls && calls.inTime/calls.ended < minInTimeShare:
		factor *= math.Pow(capacityDecay, elapsed)
	case calls.ended >= minEndedCalls || calls.ended == 0:
		factor += capacityRecovery * elapsed
	}
	p.capacityFactors[zone] = min(max(factor, minCapacityFactor), 1)
}

// recoveryShare returns the share of its capacity that a zone has: less than 1 while it recovers from a loss. A zone that some
// others could not reach was there all the time, and does not recover.
func (p *Planner) recoveryShare(zone string, now Instant) float64 {
	loss := p.zoneLosses[zone]
	if loss == nil || loss.lost || p.settings.RecoveryRamp <= 0 {
		return 1
	}
	return min(max((now-loss.recoveredAt).Seconds()/p.settings.RecoveryRamp.Seconds(), minRecoveryShare), 1)
}
