package failover

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Clock is a point in time of the process that plans.
type Clock = time.Duration

// Settings are the operator's.
type Settings struct {
	Headroom          float64       // of a zone's capacity that no plan may plan away
	RecoveryRamp      time.Duration // a zone that is back is given its traffic over so long at least
	DetectionTime     time.Duration // a trouble shorter than that changes nothing
	MaxShiftPerSecond float64       // by which shares move a second at the most, where nothing is out
	Distance          func(from, to string) float64
}

// Observation is what a dispatcher saw of a zone with jobs of a class, lately.
type Observation struct {
	To     string  `json:"to"`
	Class  string  `json:"class"`
	Ended  float64 `json:"ended"`   // calls that anybody answered
	InTime float64 `json:"in_time"` // of those
	Full   float64 `json:"full"`    // of those: turned away
}

// LastResponse is when a dispatcher last had an answer of a zone, to a call or a probe.
type LastResponse struct {
	To         string        `json:"to"`
	Since      time.Duration `json:"since"`      // then
	Unanswered int           `json:"unanswered"` // calls and probes since then
}

// Arrivals is what came to a dispatcher, a second.
type Arrivals struct {
	Class  string  `json:"class"`
	Work   float64 `json:"work"`  // seconds of a slot
	Weight float64 `json:"worth"` // of a second of a slot
}

// Report is a dispatcher's of the last second or so.
type Report struct {
	Dispatcher    string             `json:"dispatcher"`
	Zone          string             `json:"zone"`
	Observations  []Observation      `json:"sights,omitempty"`
	LastResponses []LastResponse     `json:"heard,omitempty"`
	Arrivals      []Arrivals         `json:"asked,omitempty"`
	Capacity      map[string]float64 `json:"capacity,omitempty"` // slots by zone, by its list, cold boxes at what they can do now
}

// verdict on a way from one zone to another, or on a class there.
type routeState struct {
	failing    bool
	since      Clock // that it has been so
	excluded   bool
	restoredAt Clock // when it was let back in
	relapses   int
}

type route struct{ from, to, class string } // class is empty for the whole way

// Planner makes plans out of reports. The council's leader runs one; a new leader begins anew, with the plan in force.
type Planner struct {
	settings        Settings
	regions         map[string]string // regions by zone
	reports         map[string]receivedReport
	routes          map[route]*routeState
	arrivals        map[[2]string]Arrivals // by zone of arrival and class, smoothed
	zoneLosses      map[string]*zoneLoss   // by zone
	capacityFactors map[string]float64     // of a zone's capacity that its times bear out
	zoneLimits      map[string]float64     // zones that people have put out, wholly or to a share of their capacity
	plan            *Plan
	plannedAt       Clock // when the plan was made
	nextCalledAt    Clock
}

type receivedReport struct {
	Report
	receivedAt Clock
}

// verdict gives a dispatcher's word on a way: bad where nothing was answered for a while though it was asked for, fine where
// something was. A zone that is too full to begin jobs answers probes, and that it is full: that is no way that is out.
func (h LastResponse) verdict() (bad, any bool) {
	switch {
	case h.Unanswered >= minUnanswered && h.Since >= NoResponseAfter:
		return true, true
	case h.Since < maxResponseAge:
		return false, true
	}
	return false, false
}

const (
	maxReportAge        = 3 * time.Second // an older report says nothing of now
	minUnanswered       = 2               // calls or probes
	maxResponseAge      = 2 * time.Second // an older answer says nothing
	minInTimeShare      = 0.5             // of a zone's answers in time, and it has less capacity than it seems
	capacityDecay       = 0.9             // a second
	capacityRecovery    = 0.05            // a second, back
	minCapacityFactor   = 0.1
	minEndedCalls       = 20  // of a class, and nearly none in time while others are: it is lost there
	lostClassInTime     = 0.1 // in time
	otherClassesInTime  = 0.6 // of the others
	arrivalsSmoothing   = 0.4 // weight of the newest second in what is asked for
	minShareChange      = 0.02
	maxRelapseDoublings = 3 // doublings of patience
	maxPlanPause        = 5 * time.Second
)

// NewPlanner begins with the plan in force; nil for none.
func NewPlanner(s Settings, regions map[string]string, plan *Plan, now Clock) *Planner {
	return &Planner{settings: s, regions: regions, reports: map[string]receivedReport{}, routes: map[route]*routeState{}, arrivals: map[[2]string]Arrivals{},
		zoneLosses: map[string]*zoneLoss{}, capacityFactors: map[string]float64{}, zoneLimits: map[string]float64{}, plan: plan, plannedAt: now, nextCalledAt: now}
}

// AddReport takes a report in.
func (p *Planner) AddReport(r Report, now Clock) { p.reports[r.Dispatcher] = receivedReport{r, now} }

func isValid(s Observation) bool {
	return s.Ended >= 0 && s.InTime >= 0 && s.Full >= 0 && !math.IsInf(s.Ended+s.InTime+s.Full, 0)
}

// LimitZone has a zone get no more than a share of its capacity, by people's word; 1 ends that.
func (p *Planner) LimitZone(zone string, share float64) {
	if p.zoneLimits[zone] = share; share >= 1 {
		delete(p.zoneLimits, zone)
	}
}

// Regions are the zones' regions by zone.
func (p *Planner) Regions() map[string]string { return p.regions }

// Plan is the one that was made last.
func (p *Planner) Plan() *Plan { return p.plan }

// Next looks at what was heard and gives a plan, where another than the last is called for. It is asked every second or so,
// once all that may act on older ones know the last.
func (p *Planner) Next(now Clock) (*Plan, bool) {
	seconds := min((now - p.nextCalledAt).Seconds(), 5)
	p.nextCalledAt = now
	maps.DeleteFunc(p.reports, func(_ string, h receivedReport) bool { return now-h.receivedAt > maxReportAge })
	if len(p.reports) == 0 {
		return p.plan, false
	}
	p.updateVerdicts(now, seconds)
	p.updateArrivals()
	zones, demands := p.inputs(now)
	if len(demands) == 0 {
		return p.plan, false
	}
	ways := func(from, to, class string) (float64, bool) {
		return p.settings.Distance(from, to), !p.isExcluded(from, to, class)
	}
	target := newPlan(demands, zones, Solve(zones, demands, ways, p.settings.Headroom))
	why := p.reasons(zones, demands, target)
	urgent := p.plan == nil || p.planUsesExcludedRoute(demands)
	for _, z := range zones { // more than all of it
		if load := p.plan.Load(demands)[z.Name]; load > z.Capacity*1.02 {
			urgent = true
		}
	}
	next := target
	if !urgent {
		apart := MaxDivergence(p.plan, target, demands)
		if apart < minShareChange || now-p.plannedAt < min(p.settings.DetectionTime, maxPlanPause) {
			return p.plan, false
		}
		if most := p.settings.MaxShiftPerSecond * min((now-p.plannedAt).Seconds(), 1); apart > most {
			next = Interpolate(p.plan, target, demands, most/apart)
		}
		// While some act on the last plan and others on this one no zone gets more than all of it.
		for far := 0.5; far > 0.05 && !p.mixedLoadFits(next, zones, demands); far /= 2 {
			next = Interpolate(p.plan, next, demands, far)
		}
	}
	next.Reasons = why
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

// mixedLoadFits tells whether the last plan and the next, mixed, keep within all zones.
func (p *Planner) mixedLoadFits(next *Plan, zones []Zone, demands []Demand) bool {
	most := MaxMixedLoad(p.plan, next, demands)
	for _, z := range zones {
		if most[z.Name] > max(z.Capacity, p.plan.Load(demands)[z.Name])+negligible {
			return false
		}
	}
	return true
}

// PredictShedding tells how much work a second is shed now, and how much would be with a zone at a share of its capacity.
func (p *Planner) PredictShedding(zone string, share float64, now Clock) (shed, then float64) {
	zones, demands := p.inputs(now)
	ways := func(from, to, class string) (float64, bool) {
		return p.settings.Distance(from, to), !p.isExcluded(from, to, class)
	}
	sum := func() (all float64) {
		for _, x := range Solve(zones, demands, ways, p.settings.Headroom).Shed {
			all += x
		}
		return all
	}
	shed = sum()
	for i := range zones {
		if zones[i].Name == zone {
			zones[i].Capacity *= share
		}
	}
	return shed, sum()
}

// inputs is the zones and what is asked for.
func (p *Planner) inputs(now Clock) (zones []Zone, demands []Demand) {
	capacity := map[string][]float64{}
	for _, h := range p.reports {
		for zone, c := range h.Capacity {
			capacity[zone] = append(capacity[zone], c)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.regions)) {
		c := median(capacity[name]) // one list that is wrong moves nothing
		if f, ok := p.capacityFactors[name]; ok {
			c *= f
		}
		if share, ok := p.zoneLimits[name]; ok {
			c *= share
		}
		zones = append(zones, Zone{name, p.regions[name], c * p.recoveryShare(name, now)})
	}
	for _, key := range slices.SortedFunc(maps.Keys(p.arrivals), func(a, b [2]string) int { return strings.Compare(a[0]+"\x00"+a[1], b[0]+"\x00"+b[1]) }) {
		a := p.arrivals[key]
		demands = append(demands, Demand{key[0], key[1], a.Work, a.Weight})
	}
	return zones, demands
}

// recoveryShare is how much of its capacity a zone gets that was lost. One that some could not reach was there all the time.
func (p *Planner) recoveryShare(zone string, now Clock) float64 {
	l := p.zoneLosses[zone]
	if l == nil || l.lost || p.settings.RecoveryRamp <= 0 {
		return 1
	}
	return min(max((now-l.recoveredAt).Seconds()/p.settings.RecoveryRamp.Seconds(), 0.05), 1)
}

// zoneLoss is that of a whole zone, now or before.
type zoneLoss struct {
	lost        bool
	recoveredAt Clock
}

// updateArrivals sums up what dispatchers say that clients updateArrivals for.
func (p *Planner) updateArrivals() {
	sum := map[[2]string]Arrivals{}
	for _, h := range p.reports {
		for _, a := range h.Arrivals {
			if !(a.Work >= 0) || math.IsInf(a.Work, 0) || !(a.Weight >= 0) || math.IsInf(a.Weight, 0) {
				continue
			}
			key := [2]string{h.Zone, a.Class}
			s := sum[key]
			s.Work += a.Work
			s.Weight = max(s.Weight, a.Weight)
			sum[key] = s
		}
	}
	for key, was := range p.arrivals {
		if _, ok := sum[key]; !ok {
			sum[key] = Arrivals{Weight: was.Weight}
		}
	}
	for key, s := range sum {
		if was, ok := p.arrivals[key]; ok {
			s.Work = was.Work + arrivalsSmoothing*(s.Work-was.Work)
		}
		if s.Work > negligible {
			p.arrivals[key] = s
		} else {
			delete(p.arrivals, key)
		}
	}
}

// updateVerdicts goes through ways and zones.
func (p *Planner) updateVerdicts(now Clock, seconds float64) {
	type tally struct{ bad, fine int }
	seen := map[route]tally{}
	inTime := map[[2]string][2]float64{} // by zone and class: in time, of those reached and not turned away
	for _, h := range p.reports {
		for _, s := range h.Observations {
			if isValid(s) && s.Class != "" {
				k := [2]string{s.To, s.Class}
				inTime[k] = [2]float64{inTime[k][0] + min(s.InTime, s.Ended), inTime[k][1] + max(s.Ended-s.Full, 0)}
			}
		}
		for _, x := range h.LastResponses {
			bad, any := x.verdict()
			if !any {
				continue
			}
			y := seen[route{h.Zone, x.To, ""}]
			if bad {
				y.bad++
			} else {
				y.fine++
			}
			seen[route{h.Zone, x.To, ""}] = y
		}
	}
	for w, y := range seen {
		p.updateRoute(w, y.bad > y.fine, now) // a way is out by the word of most of those who use it
	}
	for zone := range p.regions {
		switch l := p.zoneLosses[zone]; {
		case p.isLost(zone):
			p.zoneLosses[zone] = &zoneLoss{lost: true}
		case l != nil && l.lost:
			l.lost, l.recoveredAt = false, now
		case l != nil && now-l.recoveredAt > 2*p.settings.RecoveryRamp:
			delete(p.zoneLosses, zone)
		}
		good, all := 0.0, 0.0
		for k, x := range inTime {
			if k[0] == zone {
				good, all = good+x[0], all+x[1]
			}
		}
		for k, x := range inTime {
			if k[0] != zone {
				continue
			}
			others, rest := good-x[0], all-x[1]
			lost := x[1] >= minEndedCalls && x[0]/x[1] < lostClassInTime && rest >= minEndedCalls && others/rest > otherClassesInTime
			for from := range p.regions {
				if w := (route{from, zone, k[1]}); lost || p.routes[w] != nil {
					p.updateRoute(w, lost, now)
				}
			}
		}
		f, ok := p.capacityFactors[zone]
		if !ok {
			f = 1
		}
		switch {
		case all >= minEndedCalls && good/all < minInTimeShare:
			f *= math.Pow(capacityDecay, seconds)
		case all >= minEndedCalls || all == 0:
			f += capacityRecovery * seconds
		}
		p.capacityFactors[zone] = min(max(f, minCapacityFactor), 1)
	}
}

// updateRoute notes whether a way is bad now, and lets it out or in behind the time that is due.
func (p *Planner) updateRoute(w route, bad bool, now Clock) {
	s := p.routes[w]
	if s == nil {
		if !bad {
			return
		}
		s = &routeState{since: now}
		p.routes[w] = s
		s.failing = true
	}
	if s.failing != bad {
		s.failing, s.since = bad, now
	}
	switch patience := p.settings.DetectionTime << min(s.relapses, maxRelapseDoublings); {
	case bad && !s.excluded && now-s.since >= p.settings.DetectionTime:
		s.excluded = true
		s.relapses++
	case !bad && s.excluded && now-s.since >= patience:
		s.excluded, s.restoredAt = false, now
	case !bad && !s.excluded && s.relapses > 0 && now-s.restoredAt > 4*p.settings.RecoveryRamp && now-s.restoredAt > time.Minute:
		delete(p.routes, w) // it has been fine for long: what was is forgotten
	}
}

// isExcluded tells whether jobs of a class may not go a way now.
func (p *Planner) isExcluded(from, to, class string) bool {
	for _, w := range []route{{from, to, ""}, {from, to, class}} {
		if s := p.routes[w]; s != nil && s.excluded {
			return true
		}
	}
	return false
}

// isLost tells whether a zone is out for most zones that say anything of it.
func (p *Planner) isLost(zone string) bool {
	out, in := 0, 0
	for from := range p.regions {
		if s := p.routes[route{from, zone, ""}]; s != nil && s.excluded {
			out++
		} else {
			in++
		}
	}
	return out > in
}

// planUsesExcludedRoute tells whether the plan sends anything where nothing may go.
func (p *Planner) planUsesExcludedRoute(demands []Demand) bool {
	for _, d := range demands {
		for _, part := range p.plan.shares(d.Zone, d.Class) {
			if part.Share > minShareChange/4 && p.isExcluded(d.Zone, part.Zone, d.Class) {
				return true
			}
		}
	}
	return false
}

func median(xs []float64) float64 {
	xs = slices.DeleteFunc(slices.Clone(xs), func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) })
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[len(xs)/2]
}
