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
	params *protocol.LiveSettings

	mu      sync.Mutex
	watcher *failover.Recorder
	zone    string // of the dispatcher
	boxes   map[scheduler.WorkerID]scheduler.WorkerInfo
	plan    *failover.Plan
	alone   bool
	now     scheduler.Clock
	keys    map[uint64]kept // zones of keys whose window is not over
	swept   scheduler.Clock
	shed    int
}

type kept struct {
	zone  string
	until scheduler.Clock
}

var _ routing.ZoneRouter = (*Router)(nil)

// New makes it for a dispatcher.
func New(name string, p *protocol.LiveSettings) *Router {
	g := &Router{params: p, boxes: map[scheduler.WorkerID]scheduler.WorkerInfo{}, keys: map[uint64]kept{}}
	s := p.Current()
	g.zone = zoneName(s, s.Locality)
	g.watcher = failover.NewRecorder(name, g.zone, 0)
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
	g.plan, g.alone = p, alone
}

// ShedCount counts the jobs that the plan had refused where they arrived.
func (g *Router) ShedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shed
}

// Listed takes news of the boxes.
func (g *Router) EndpointsUpdated(now scheduler.Clock, l scheduler.EndpointsUpdated) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
	if l.ListKind == scheduler.ListFull || l.ListKind == scheduler.ListCached {
		clear(g.boxes)
	}
	for _, w := range l.Workers {
		g.boxes[w.ID] = w
	}
}

const (
	leastAway = 500 * time.Millisecond // for which a client that is shed is told to stay away
	sweepEach = time.Second
)

// Arrived says to which zones a job may be sent, a bit for each number; not ok where it is shed here, and for how long its
// client should stay away. Jobs of an idempotency key keep their zone for the window in which a repeat is dropped.
func (g *Router) Route(now scheduler.Clock, class, key string) (within uint64, away time.Duration, ok bool) {
	p := g.params.Current()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
	worth, window := 1.0, time.Duration(0)
	if i, known := p.Class(class); known {
		worth, window = p.Classes[i].Credit, p.Classes[i].Window.Duration()
	}
	g.watcher.JobArrived(class, worth)
	zone, ok := g.zone, true
	if g.plan != nil && !g.alone {
		own, hash := rand.Float64(), uint64(0)
		if key != "" {
			h := fnv.New64a()
			h.Write([]byte(key))
			hash = h.Sum64() * 0x9e3779b97f4a7c15
			own = float64(hash>>11) / (1 << 53)
		}
		was, had := g.keys[hash]
		if had = had && hash != 0 && now < was.until; had {
			zone = was.zone
		} else if zone, ok = g.plan.Choose(g.zone, class, own); !ok {
			g.shed++
			return 0, leastAway + time.Duration(rand.Float64()*float64(3*leastAway)), false
		}
		if hash != 0 && window > 0 && !had {
			g.keys[hash] = kept{zone, now + window}
		}
		if now-g.swept > sweepEach {
			g.swept = now
			for k, x := range g.keys {
				if now >= x.until {
					delete(g.keys, k)
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

// at gives the zone of a box.
func (g *Router) at(id scheduler.WorkerID) string {
	return zoneName(g.params.Current(), g.boxes[id].Zone)
}

// Began notes that a box has begun a job.
func (g *Router) AttemptStarted(now scheduler.Clock, id scheduler.WorkerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
	g.watcher.ResponseReceived(g.at(id), now)
}

// Ended counts a call: how long its job waited at the box and ran; silent where nobody answered.
func (g *Router) AttemptEnded(now scheduler.Clock, id scheduler.WorkerID, class string, o scheduler.Outcome, took, ran time.Duration) {
	p := g.params.Current()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
	switch o {
	case scheduler.NeverSent:
	case scheduler.Cancelled:
		if ran == 0 && took >= failover.NoResponseAfter/4 {
			g.watcher.CallUnanswered(g.at(id), now)
		}
	case scheduler.TimedOut, scheduler.NoConnect, scheduler.Reset:
		g.watcher.CallUnanswered(g.at(id), now)
	default:
		inTime := o == scheduler.Served
		if i, known := p.Class(class); known {
			inTime = inTime && took <= p.Classes[i].Aim.Duration()+time.Duration(p.Classes[i].AimStretch*float64(ran))
		}
		g.watcher.CallEnded(g.at(id), class, o == scheduler.Full, inTime, ran, now)
	}
}

// Silent counts a call of which there was no sign for a while.
func (g *Router) AttemptUnanswered(now scheduler.Clock, id scheduler.WorkerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watcher.CallUnanswered(g.at(id), now)
}

// Probed counts a probe.
func (g *Router) ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch o {
	case scheduler.Served:
		g.watcher.ResponseReceived(g.at(id), g.now)
	case scheduler.NeverSent:
	default:
		g.watcher.CallUnanswered(g.at(id), g.now)
	}
}

// HasUrgentChange tells whether the council is to hear at once of a way that has turned bad, or fine again.
func (g *Router) HasUrgentChange() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watcher.HasUrgentChange(g.now)
}

// Report gives what was seen since the last one. Sizes in the list are taken for slots.
func (g *Router) Report() *failover.Report {
	p := g.params.Current()
	cold, start := p.Rules.Cold.Duration(), p.Rules.StartCapacity
	g.mu.Lock()
	defer g.mu.Unlock()
	capacity := map[string]float64{}
	for _, b := range g.boxes {
		if b.State == scheduler.Ready {
			age := cold
			if b.StartedAt > 0 {
				age = g.now - b.StartedAt
			}
			capacity[zoneName(p, b.Zone)] += failover.Capacity(b.Weight, start, age, cold)
		}
	}
	r := g.watcher.Report(g.now, capacity)
	return &r
}
