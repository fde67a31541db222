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

const (
	// minRetryAfter is the minimum Retry-After of a request that is shed. A random time up to maxRetryAfterSpread is added, so that
	// clients do not retry at the same time.
	minRetryAfter       = 500 * time.Millisecond
	maxRetryAfterSpread = 3 * minRetryAfter

	// keyHashMultiplier is 2^64 divided by the golden ratio. Multiplication by it spreads the hashes of similar keys.
	keyHashMultiplier = 0x9e3779b97f4a7c15
)

// Router routes requests by the zone plan. It implements routing.ZoneRouter and is safe for concurrent use; no method blocks.
type Router struct {
	settings *protocol.LiveSettings
	zone     string // of the dispatcher; empty if it has none

	mu          sync.Mutex // guards the fields below
	recorder    *failover.Recorder
	workers     map[scheduler.WorkerID]scheduler.WorkerInfo
	plan        *failover.Plan    // nil before the first one
	planExpired bool              // the plan is no longer trusted
	now         scheduler.Instant // of the last event of the core except AttemptUnanswered, for methods without a time argument
	keyZones    keyZones
	shedCount   int
}

var _ routing.ZoneRouter = (*Router)(nil)

// New returns the router of the dispatcher with the given name. It serves all requests in the dispatcher's own zone until
// ApplyPlan is called.
func New(name string, live *protocol.LiveSettings) *Router {
	settings := live.Current()
	zone := zoneName(settings, settings.Locality)
	return &Router{
		settings: live,
		zone:     zone,
		recorder: failover.NewRecorder(name, zone, 0),
		workers:  map[scheduler.WorkerID]scheduler.WorkerInfo{},
		keyZones: keyZones{zones: map[uint64]keyZone{}},
	}
}

// zoneName returns the name of the zone with the given index; empty if there is none.
func zoneName(settings *protocol.Settings, index int) string {
	if index >= 0 && index < len(settings.Zones) {
		return settings.Zones[index]
	}
	return ""
}

// ApplyPlan replaces the plan. If expired is true, the dispatcher has been without a lease for too long to trust the plan, and
// serves all requests in its own zone.
func (r *Router) ApplyPlan(plan *failover.Plan, expired bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plan, r.planExpired = plan, expired
}

// ShedCount returns the number of requests that were rejected because the plan sheds them.
func (r *Router) ShedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shedCount
}

// EndpointsUpdated applies an update of the endpoint list.
func (r *Router) EndpointsUpdated(now scheduler.Instant, update scheduler.EndpointsUpdated) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = now
	if update.ListKind == scheduler.ListFull || update.ListKind == scheduler.ListCached {
		clear(r.workers)
	}
	for _, worker := range update.Workers {
		r.workers[worker.ID] = worker
	}
}

// Route returns the zones to which a request may be sent, as a bit for each zone index; 0 for any zone. If ok is false, the request
// is shed, and its client should retry after retryAfter. Requests with the same idempotency key go to the same zone within the
// class's deduplication window.
func (r *Router) Route(now scheduler.Instant, class, key string) (zones uint64, retryAfter time.Duration, ok bool) {
	settings := r.settings.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = now
	weight, window := 1.0, time.Duration(0)
	if i, known := settings.Class(class); known {
		weight, window = settings.Classes[i].Credit, settings.Classes[i].Window.Duration()
	}
	r.recorder.JobArrived(class, weight)
	zone := r.zone
	if r.plan != nil && !r.planExpired {
		if zone, ok = r.chooseZone(now, class, key, window); !ok {
			r.shedCount++
			return 0, minRetryAfter + time.Duration(rand.Float64()*float64(maxRetryAfterSpread)), false
		}
	}
	return zoneBit(settings, zone), 0, true
}

// chooseZone returns the zone for a request according to the plan; ok is false if the request is shed.
func (r *Router) chooseZone(now scheduler.Instant, class, key string, window time.Duration) (zone string, ok bool) {
	number, hash := rand.Float64(), uint64(0)
	if key != "" {
		hash = keyHash(key)
		number = float64(hash>>11) / (1 << 53) // the 53 bits that fit a float64 exactly, as a number from 0 to 1
	}
	zone, known := r.keyZones.get(hash, now)
	if !known {
		if zone, ok = r.plan.Choose(r.zone, class, number); !ok {
			return "", false
		}
		if window > 0 {
			r.keyZones.add(hash, zone, now+window)
		}
	}
	r.keyZones.sweep(now)
	return zone, true
}

// keyHash returns the hash of an idempotency key.
func keyHash(key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key)) // a hash accepts any bytes
	return hash.Sum64() * keyHashMultiplier
}

// zoneBit returns the bit of the zone with the given name; 0, which permits any zone, if the settings do not name it. Zones whose
// indices differ by 64 share a bit.
func zoneBit(settings *protocol.Settings, name string) uint64 {
	for i, zone := range settings.Zones {
		if zone == name {
			return 1 << uint(i&63)
		}
	}
	return 0
}
