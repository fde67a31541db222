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
type state struct {
	bad      bool
	since    Clock // that it has been so
	out      bool
	back     Clock // when it was let back in
	relapses int
}

type way struct{ from, to, class string } // class is empty for the whole way

// Planner makes plans out of reports. The council's leader runs one; a new leader begins anew, with the plan in force.
type Planner struct {
	s       Settings
	zones   map[string]string // regions by zone
	reports map[string]heard
	ways    map[way]*state
	asked   map[[2]string]Arrivals // by zone of arrival and class, smoothed
	losses  map[string]*loss       // by zone
	factor  map[string]float64     // of a zone's capacity that its times bear out
	held    map[string]float64     // zones that people have put out, wholly or to a share of their capacity
	plan    *Plan
	at      Clock // when the plan was made
	looked  Clock
}

type heard struct {
	Report
	at Clock
}

// says gives a dispatcher's word on a way: bad where nothing was answered for a while though it was asked for, fine where
// something was. A zone that is too full to begin jobs answers probes, and that it is full: that is no way that is out.
func (h LastResponse) says() (bad, any bool) {
	switch {
	case h.Unanswered >= unanswered && h.Since >= NoResponseAfter:
		return true, true
	case h.Since < fineFor:
		return false, true
	}
	return false, false
}

const (
	reportsLast = 3 * time.Second // an older report says nothing of now
	unanswered  = 2               // calls or probes
	fineFor     = 2 * time.Second // an older answer says nothing
	lateLess    = 0.5             // of a zone's answers in time, and it has less capacity than it seems
	lateFactor  = 0.9             // a second
	fineFactor  = 0.05            // a second, back
	leastFactor = 0.1
	classJobs   = 20  // of a class, and nearly none in time while others are: it is lost there
	classLess   = 0.1 // in time
	classFine   = 0.6 // of the others
	smooth      = 0.4 // weight of the newest second in what is asked for
	leastMove   = 0.02
	mostRelapse = 3 // doublings of patience
	calmFor     = 5 * time.Second
)

// NewPlanner begins with the plan in force; nil for none.
func NewPlanner(s Settings, regions map[string]string, plan *Plan, now Clock) *Planner {
	return &Planner{s: s, zones: regions, reports: map[string]heard{}, ways: map[way]*state{}, asked: map[[2]string]Arrivals{},
		losses: map[string]*loss{}, factor: map[string]float64{}, held: map[string]float64{}, plan: plan, at: now, looked: now}
}

// AddReport takes a report in.
func (p *Planner) AddReport(r Report, now Clock) { p.reports[r.Dispatcher] = heard{r, now} }

func sane(s Observation) bool {
	return s.Ended >= 0 && s.InTime >= 0 && s.Full >= 0 && !math.IsInf(s.Ended+s.InTime+s.Full, 0)
}

// LimitZone has a zone get no more than a share of its capacity, by people's word; 1 ends that.
func (p *Planner) LimitZone(zone string, share float64) {
	if p.held[zone] = share; share >= 1 {
		delete(p.held, zone)
	}
}

// Regions are the zones' regions by zone.
func (p *Planner) Regions() map[string]string { return p.zones }

// Plan is the one that was made last.
func (p *Planner) Plan() *Plan { return p.plan }

// Next looks at what was heard and gives a plan, where another than the last is called for. It is asked every second or so,
// once all that may act on older ones know the last.
func (p *Planner) Next(now Clock) (*Plan, bool) {
	seconds := min((now - p.looked).Seconds(), 5)
	p.looked = now
	maps.DeleteFunc(p.reports, func(_ string, h heard) bool { return now-h.at > reportsLast })
	if len(p.reports) == 0 {
		return p.plan, false
	}
	p.judge(now, seconds)
	p.ask()
	zones, demands := p.world(now)
	if len(demands) == 0 {
		return p.plan, false
	}
	ways := func(from, to, class string) (float64, bool) { return p.s.Distance(from, to), !p.out(from, to, class) }
	target := planOf(demands, zones, Solve(zones, demands, ways, p.s.Headroom))
	why := p.why(zones, demands, target)
	urgent := p.plan == nil || p.barred(demands)
	for _, z := range zones { // more than all of it
		if load := p.plan.Load(demands)[z.Name]; load > z.Capacity*1.02 {
			urgent = true
		}
	}
	next := target
	if !urgent {
		apart := MaxDivergence(p.plan, target, demands)
		if apart < leastMove || now-p.at < min(p.s.DetectionTime, calmFor) {
			return p.plan, false
		}
		if most := p.s.MaxShiftPerSecond * min((now-p.at).Seconds(), 1); apart > most {
			next = Interpolate(p.plan, target, demands, most/apart)
		}
		// While some act on the last plan and others on this one no zone gets more than all of it.
		for far := 0.5; far > 0.05 && !p.mixes(next, zones, demands); far /= 2 {
			next = Interpolate(p.plan, next, demands, far)
		}
	}
	next.Reasons = why
	if p.plan != nil {
		if MaxDivergence(p.plan, next, demands) < leastMove/4 && maps.Equal(p.plan.Reasons, next.Reasons) {
			return p.plan, false
		}
		next.Number = p.plan.Number
	}
	next.Number++
	p.plan, p.at = next, now
	return next, true
}

// mixes tells whether the last plan and the next, mixed, keep within all zones.
func (p *Planner) mixes(next *Plan, zones []Zone, demands []Demand) bool {
	most := MaxMixedLoad(p.plan, next, demands)
	for _, z := range zones {
		if most[z.Name] > max(z.Capacity, p.plan.Load(demands)[z.Name])+tiny {
			return false
		}
	}
	return true
}

// PredictShedding tells how much work a second is shed now, and how much would be with a zone at a share of its capacity.
func (p *Planner) PredictShedding(zone string, share float64, now Clock) (shed, then float64) {
	zones, demands := p.world(now)
	ways := func(from, to, class string) (float64, bool) { return p.s.Distance(from, to), !p.out(from, to, class) }
	sum := func() (all float64) {
		for _, x := range Solve(zones, demands, ways, p.s.Headroom).Shed {
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

// world is the zones and what is asked for.
func (p *Planner) world(now Clock) (zones []Zone, demands []Demand) {
	capacity := map[string][]float64{}
	for _, h := range p.reports {
		for zone, c := range h.Capacity {
			capacity[zone] = append(capacity[zone], c)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.zones)) {
		c := median(capacity[name]) // one list that is wrong moves nothing
		if f, ok := p.factor[name]; ok {
			c *= f
		}
		if share, ok := p.held[name]; ok {
			c *= share
		}
		zones = append(zones, Zone{name, p.zones[name], c * p.returned(name, now)})
	}
	for _, key := range slices.SortedFunc(maps.Keys(p.asked), func(a, b [2]string) int { return strings.Compare(a[0]+"\x00"+a[1], b[0]+"\x00"+b[1]) }) {
		a := p.asked[key]
		demands = append(demands, Demand{key[0], key[1], a.Work, a.Weight})
	}
	return zones, demands
}

// returned is how much of its capacity a zone gets that was lost. One that some could not reach was there all the time.
func (p *Planner) returned(zone string, now Clock) float64 {
	l := p.losses[zone]
	if l == nil || l.now || p.s.RecoveryRamp <= 0 {
		return 1
	}
	return min(max((now-l.back).Seconds()/p.s.RecoveryRamp.Seconds(), 0.05), 1)
}

// loss is that of a whole zone, now or before.
type loss struct {
	now  bool
	back Clock
}

// ask sums up what dispatchers say that clients ask for.
func (p *Planner) ask() {
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
	for key, was := range p.asked {
		if _, ok := sum[key]; !ok {
			sum[key] = Arrivals{Weight: was.Weight}
		}
	}
	for key, s := range sum {
		if was, ok := p.asked[key]; ok {
			s.Work = was.Work + smooth*(s.Work-was.Work)
		}
		if s.Work > tiny {
			p.asked[key] = s
		} else {
			delete(p.asked, key)
		}
	}
}

// judge goes through ways and zones.
func (p *Planner) judge(now Clock, seconds float64) {
	type tally struct{ bad, fine int }
	seen := map[way]tally{}
	inTime := map[[2]string][2]float64{} // by zone and class: in time, of those reached and not turned away
	for _, h := range p.reports {
		for _, s := range h.Observations {
			if sane(s) && s.Class != "" {
				k := [2]string{s.To, s.Class}
				inTime[k] = [2]float64{inTime[k][0] + min(s.InTime, s.Ended), inTime[k][1] + max(s.Ended-s.Full, 0)}
			}
		}
		for _, x := range h.LastResponses {
			bad, any := x.says()
			if !any {
				continue
			}
			y := seen[way{h.Zone, x.To, ""}]
			if bad {
				y.bad++
			} else {
				y.fine++
			}
			seen[way{h.Zone, x.To, ""}] = y
		}
	}
	for w, y := range seen {
		p.mark(w, y.bad > y.fine, now) // a way is out by the word of most of those who use it
	}
	for zone := range p.zones {
		switch l := p.losses[zone]; {
		case p.lost(zone):
			p.losses[zone] = &loss{now: true}
		case l != nil && l.now:
			l.now, l.back = false, now
		case l != nil && now-l.back > 2*p.s.RecoveryRamp:
			delete(p.losses, zone)
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
			lost := x[1] >= classJobs && x[0]/x[1] < classLess && rest >= classJobs && others/rest > classFine
			for from := range p.zones {
				if w := (way{from, zone, k[1]}); lost || p.ways[w] != nil {
					p.mark(w, lost, now)
				}
			}
		}
		f, ok := p.factor[zone]
		if !ok {
			f = 1
		}
		switch {
		case all >= classJobs && good/all < lateLess:
			f *= math.Pow(lateFactor, seconds)
		case all >= classJobs || all == 0:
			f += fineFactor * seconds
		}
		p.factor[zone] = min(max(f, leastFactor), 1)
	}
}

// mark notes whether a way is bad now, and lets it out or in behind the time that is due.
func (p *Planner) mark(w way, bad bool, now Clock) {
	s := p.ways[w]
	if s == nil {
		if !bad {
			return
		}
		s = &state{since: now}
		p.ways[w] = s
		s.bad = true
	}
	if s.bad != bad {
		s.bad, s.since = bad, now
	}
	switch patience := p.s.DetectionTime << min(s.relapses, mostRelapse); {
	case bad && !s.out && now-s.since >= p.s.DetectionTime:
		s.out = true
		s.relapses++
	case !bad && s.out && now-s.since >= patience:
		s.out, s.back = false, now
	case !bad && !s.out && s.relapses > 0 && now-s.back > 4*p.s.RecoveryRamp && now-s.back > time.Minute:
		delete(p.ways, w) // it has been fine for long: what was is forgotten
	}
}

// out tells whether jobs of a class may not go a way now.
func (p *Planner) out(from, to, class string) bool {
	for _, w := range []way{{from, to, ""}, {from, to, class}} {
		if s := p.ways[w]; s != nil && s.out {
			return true
		}
	}
	return false
}

// lost tells whether a zone is out for most zones that say anything of it.
func (p *Planner) lost(zone string) bool {
	out, in := 0, 0
	for from := range p.zones {
		if s := p.ways[way{from, zone, ""}]; s != nil && s.out {
			out++
		} else {
			in++
		}
	}
	return out > in
}

// barred tells whether the plan sends anything where nothing may go.
func (p *Planner) barred(demands []Demand) bool {
	for _, d := range demands {
		for _, part := range p.plan.parts(d.Zone, d.Class) {
			if part.Share > leastMove/4 && p.out(d.Zone, part.Zone, d.Class) {
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
