package failover

import "math"

const (
	// minEndedAttempts is the number of answered attempts, of all dispatchers together, that is needed to judge the share in time.
	minEndedAttempts = 20

	// A zone is lost for a class if, in this zone, the share of the class's attempts that are in time is below lostClassInTime, and
	// that share is above otherClassesInTime for all other classes together.
	lostClassInTime    = 0.1
	otherClassesInTime = 0.6

	// If less than minInTimeShare of a zone's attempts are in time, the zone has less capacity than reported: its capacity factor is
	// multiplied by capacityDecay each second, down to minCapacityFactor. Otherwise the factor rises by capacityRecovery per second.
	minInTimeShare    = 0.5
	capacityDecay     = 0.9
	minCapacityFactor = 0.1
	capacityRecovery  = 0.05

	// The loss of a zone is remembered for lossRetentionRamps times Settings.RecoveryRamp after the zone's recovery.
	lossRetentionRamps = 2

	// minRecoveryShare is the share of its capacity that a zone has as soon as it recovers.
	minRecoveryShare = 0.05
)

// attemptCounts counts the attempts in a zone that the zone did not reject for lack of capacity.
type attemptCounts struct {
	inTime, ended float64
}

// zoneLoss is the state of a zone that is lost, or was lost and has recovered.
type zoneLoss struct {
	lost        bool
	recoveredAt Instant // valid if not lost
}

// updateVerdicts updates the states of routes and zones from all reports. elapsed is the time since the last update, in seconds.
func (p *Planner) updateVerdicts(now Instant, elapsed float64) {
	for r, failing := range p.failingRoutes() {
		p.updateRoute(r, failing, now)
	}
	attempts := p.countAttempts()
	for zone := range p.regions {
		p.updateLoss(zone, now)
		var total attemptCounts
		for key, counts := range attempts {
			if key.zone == zone {
				total.inTime, total.ended = total.inTime+counts.inTime, total.ended+counts.ended
			}
		}
		for key, counts := range attempts {
			if key.zone == zone {
				p.updateClassRoutes(key, counts, total, now)
			}
		}
		p.updateCapacityFactor(zone, total, elapsed)
	}
}

// failingRoutes returns, for each route that any dispatcher reports on, whether it fails for most of these dispatchers.
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

// countAttempts sums the observations of all dispatchers.
func (p *Planner) countAttempts() map[zoneClass]attemptCounts {
	attempts := map[zoneClass]attemptCounts{}
	for _, report := range p.reports {
		for _, observation := range report.Observations {
			if !observation.isValid() || observation.Class == "" {
				continue
			}
			key := zoneClass{observation.To, observation.Class}
			counts := attempts[key]
			counts.inTime += min(observation.InTime, observation.Ended)
			counts.ended += max(observation.Ended-observation.Full, 0)
			attempts[key] = counts
		}
	}
	return attempts
}

// updateLoss updates whether a zone is lost, and when it recovered.
func (p *Planner) updateLoss(zone string, now Instant) {
	switch loss := p.zoneLosses[zone]; {
	case p.isLost(zone):
		p.zoneLosses[zone] = &zoneLoss{lost: true}
	case loss != nil && loss.lost:
		loss.lost, loss.recoveredAt = false, now
	case loss != nil && now-loss.recoveredAt > lossRetentionRamps*p.settings.RecoveryRamp:
		delete(p.zoneLosses, zone)
	}
}

// updateClassRoutes updates the routes from all zones to one zone for one class; key is that zone and class. counts are the
// class's attempts in that zone, and total the attempts of all classes in it.
func (p *Planner) updateClassRoutes(key zoneClass, counts, total attemptCounts, now Instant) {
	others := attemptCounts{total.inTime - counts.inTime, total.ended - counts.ended}
	lost := counts.ended >= minEndedAttempts && counts.inTime/counts.ended < lostClassInTime &&
		others.ended >= minEndedAttempts && others.inTime/others.ended > otherClassesInTime
	for from := range p.regions {
		if r := (route{from, key.zone, key.class}); lost || p.routes[r] != nil {
			p.updateRoute(r, lost, now)
		}
	}
}

// updateCapacityFactor updates a zone's capacity factor by the share of its attempts in time. elapsed is in seconds.
func (p *Planner) updateCapacityFactor(zone string, attempts attemptCounts, elapsed float64) {
	factor, ok := p.capacityFactors[zone]
	if !ok {
		factor = 1
	}
	switch {
	case attempts.ended >= minEndedAttempts && attempts.inTime/attempts.ended < minInTimeShare:
		factor *= math.Pow(capacityDecay, elapsed)
	case attempts.ended >= minEndedAttempts || attempts.ended == 0:
		factor += capacityRecovery * elapsed
	}
	p.capacityFactors[zone] = min(max(factor, minCapacityFactor), 1)
}

// recoveryShare returns the share of a zone's capacity that plans may use: less than 1 while the zone recovers from a loss. A zone that
// only some zones could not reach was not lost, and keeps its full capacity.
func (p *Planner) recoveryShare(zone string, now Instant) float64 {
	loss := p.zoneLosses[zone]
	if loss == nil || loss.lost || p.settings.RecoveryRamp <= 0 {
		return 1
	}
	return min(max((now-loss.recoveredAt).Seconds()/p.settings.RecoveryRamp.Seconds(), minRecoveryShare), 1)
}
