// Package zonerouting has a dispatcher act on the fleet's plan of zones: it says to which zone a job may go, counts what becomes
// of calls, and reports it. What is planned decisions/failover decides at the council's leader.
package zonerouting

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// Router is the dispatcher's part. It is routing's Router.
type Router struct {
	settings *protocol.LiveSettings

	mu          sync.Mutex
	recorder    *failover.Recorder
	zone        string // of the dispatcher
	workers     map[scheduler.WorkerID]scheduler.WorkerInfo
	plan        *failover.Plan
	planExpired bool
	now         scheduler.Clock
	keyZones    map[uint64]keyZone // zones of keys whose window is not over
	sweptAt     scheduler.Clock
	shedCount   int
}

type keyZone struct {
	zone  string
	until scheduler.Clock
}

var _ routing.ZoneRouter = (*Router)(nil)

// New makes it for a dispatcher.
func New(name string, p *protocol.LiveSettings) *Router {
	g := &Router{settings: p, workers: map[scheduler.WorkerID]scheduler.WorkerInfo{}, keyZones: map[uint64]keyZone{}}
	s := p.Current()
	g.zone = zoneName(s, s.Locality)
	g.recorder = failover.NewRecorder(name, g.zone, 0)
	return g
}

func zoneName(p *protocol.Settings, zone int) string {
	if zone >= 0 && zone < len(p.Zones) {
		return p.Zones[zone]
	}
	return ""
}

// ApplyPlan has a plan acted on from now on; alone tells that this dispatcher has been cut off from the council for too long to
// trust it: it serves near only.
func (g *Router) ApplyPlan(p *failover.Plan, alone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plan, g.planExpired = p, alone
}

// ShedCount counts the jobs that the plan had refused where they arrived.
func (g *Router) ShedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shedCount
}

// Listed takes news of the boxes.
func (g *Router) EndpointsUpdated(now scheduler.Clock, l scheduler.EndpointsUpdated) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
	if l.ListKind == scheduler.ListFull || l.ListKind == scheduler.ListCached {
		clear(g.workers)
	}
	for _, w := range l.Workers {
		g.workers[w.ID] = w
	}
}

const (
	minRetryAfter = 500 * time.Millisecond // for which a client that is shed is told to stay away
	sweepInterval = time.Second
)

// Arrived says to which zones a job may be sent, a bit for each number; not ok where it is shed here, and for how long its
// client should stay away. Jobs of an idempotency key keep their zone for the window in which a repeat is dropped.
func (g *Router) Route(now scheduler.Clock, class, key string) (within uint64, away time.Duration, ok bool) {
	p := g.settings.Current()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
	worth, window := 1.0, time.Duration(0)
	if i, known := p.Class(class); known {
		worth, window = p.Classes[i].Credit, p.Classes[i].Window.Duration()
	}
	g.recorder.JobArrived(class, worth)
	zone, ok := g.zone, true
	if g.plan != nil && !g.planExpired {
		own, hash := rand.Float64(), uint64(0)
		if key != "" {
			h := fnv.New64a()
			h.Write([]byte(key))
			hash = h.Sum64() * 0x9e3779b97f4a7c15
			own = float64(hash>>11) / (1 << 53)
		}
		was, had := g.keyZones[hash]
		if had = had && hash != 0 && now < was.until; had {
			zone = was.zone
		} else if zone, ok = g.plan.Choose(g.zone, class, own); !ok {
			g.shedCount++
			return 0, minRetryAfter + time.Duration(rand.Float64()*float64(3*minRetryAfter)), false
		}
		if hash != 0 && window > 0 && !had {
			g.keyZones[hash] = keyZone{zone, now + window}
		}
		if now-g.sweptAt > sweepInterval {
			g.sweptAt = now
			for k, x := range g.keyZones {
				if now >= x.until {
					delete(g.keyZones, k)
				}
			}
		}
	}
	for i, z := range p.Zones {
		if z == zone {
			return 1 << uint(i&63), 0, true
		}
	}
	return 0, 0, true
}

// zoneOf gives the zone of a box.
func (g *Router) zoneOf(id scheduler.WorkerID) string {
	return zoneName(g.settings.Current(), g.workers[id].Zone)
}

// Began notes that a box has begun a job.
func (g *Router) AttemptStarted(now scheduler.Clock, id scheduler.WorkerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
	g.recorder.ResponseReceived(g.zoneOf(id), now)
}

// Ended counts a call: how long its job waited at the box and ran; silent where nobody answered.
func (g *Router) AttemptEnded(now scheduler.Clock, id scheduler.WorkerID, class string, o scheduler.Outcome, took, ran time.Duration) {
	p := g.settings.Current()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
	switch o {
	case scheduler.NeverSent:
	case scheduler.Cancelled:
		if ran == 0 && took >= failover.NoResponseAfter/4 {
			g.recorder.CallUnanswered(g.zoneOf(id), now)
		}
	case scheduler.TimedOut, scheduler.NoConnect, scheduler.Reset:
		g.recorder.CallUnanswered(g.zoneOf(id), now)
	default:
		inTime := o == scheduler.Served
		if i, known := p.Class(class); known {
			inTime = inTime && took <= p.Classes[i].Aim.Duration()+time.Duration(p.Classes[i].AimStretch*float64(ran))
		}
		g.recorder.CallEnded(g.zoneOf(id), class, o == scheduler.Full, inTime, ran, now)
	}
}

// Silent counts a call of which there was no sign for a while.
func (g *Router) AttemptUnanswered(now scheduler.Clock, id scheduler.WorkerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recorder.CallUnanswered(g.zoneOf(id), now)
}

// Probed counts a probe.
func (g *Router) ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch o {
	case scheduler.Served:
		g.recorder.ResponseReceived(g.zoneOf(id), g.now)
	case scheduler.NeverSent:
	default:
		g.recorder.CallUnanswered(g.zoneOf(id), g.now)
	}
}

// HasUrgentChange tells whether the council is to hear at once of a way that has turned bad, or fine again.
func (g *Router) HasUrgentChange() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recorder.HasUrgentChange(g.now)
}

// Report gives what was seen since the last one. Sizes in the list are taken for slots.
func (g *Router) Report() *failover.Report {
	p := g.settings.Current()
	cold, start := p.Rules.Cold.Duration(), p.Rules.StartCapacity
	g.mu.Lock()
	defer g.mu.Unlock()
	capacity := map[string]float64{}
	for _, b := range g.workers {
		if b.State == scheduler.Ready {
			age := cold
			if b.StartedAt > 0 {
				age = g.now - b.StartedAt
			}
			capacity[zoneName(p, b.Zone)] += failover.Capacity(b.Weight, start, age, cold)
		}
	}
	r := g.recorder.Report(g.now, capacity)
	return &r
}
