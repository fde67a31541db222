package scale

import "time"

// peakWindow is the time over which usage is averaged for peaks.
const peakWindow = 10 * time.Second

// minPeakWindow is the minimum time between the first and the last snapshot of a window: snapshots may be taken late.
const minPeakWindow = peakWindow - snapshotInterval/2

// peaks returns the highest bytes and milliseconds of processor time a second of any dispatcher, by role, over windows that ended between two
// times.
func (r *run) peaks(from, to time.Time) (bytes, cpuMS map[costRole]float64) {
	bytes, cpuMS = map[costRole]float64{}, map[costRole]float64{}
	first := 0
	for last, end := range r.snapshots {
		for first < last && end.at.Sub(r.snapshots[first+1].at) >= minPeakWindow {
			first++
		}
		span := end.at.Sub(r.snapshots[first].at)
		if span < minPeakWindow || !end.at.After(from) || end.at.After(to) {
			continue
		}
		window := r.snapshots[first : last+1]
		for _, each := range r.dispatchers {
			if each.role == roleBaseline {
				continue
			}
			role, usedBytes, usedMS := usageIn(window, each)
			bytes[role] = max(bytes[role], usedBytes/span.Seconds())
			if role != roleServing || each.hollow || r.plan.Hollow == 0 {
				cpuMS[role] = max(cpuMS[role], usedMS/span.Seconds())
			}
		}
	}
	return bytes, cpuMS
}

// usageIn returns a dispatcher's usage in a window, and its role: leader if any snapshot of the window shows it as the leader, else voter if any
// shows it as a voter, else the dispatcher's own role.
func usageIn(window []snapshot, each *dispatcher) (role costRole, bytes, cpuMS float64) {
	role = each.role
	for i, taken := range window {
		if taken.leader == each.name {
			role = roleLeader
		} else if taken.voters[each.name] && role != roleLeader {
			role = roleVoter
		}
		if i > 0 {
			bytes += float64(controlBytesSince(window[i-1], taken, each.name))
			cpuMS += cpuSince(window[i-1], taken, each.name)
		}
	}
	return role, bytes, cpuMS
}
