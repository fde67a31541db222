package soak

import (
	"fmt"
	"time"
)

// Values that all runs share. The dispatchers get them as settings.
const (
	drainGrace        = 500 * time.Millisecond
	slowStartDuration = 6 * time.Second
	overloadWindow    = 1500 * time.Millisecond
	slowStartCapacity = 0.14
	overloadMultiple  = 3.0
	workerSlots       = 5                     // jobs that a worker runs at a time
	jobTime           = 60 * time.Millisecond // mean time that a worker needs for a job
	shortestJob       = jobTime / 2
	latencyObjective  = 200 * time.Millisecond
	className         = "quote"
	defaultSockets    = 1024 // descriptors of a dispatcher
	minSockets        = 256  // the fewest that the platform gives
	phaseActive       = "active"
	phaseLeaving      = "leaving"
	phaseLeft         = "left" // not listed
)

// settings returns the settings of a dispatcher as the platform's JSON.
func (p Plan) settings(dispatcher int) string {
	micros := func(d time.Duration) int64 { return d.Microseconds() }
	mode := "ask"
	if p.ListsPushed {
		mode = "push"
	}
	return fmt.Sprintf(`{"classes":[{"aim":%d,"credit":1,"deadline":%d,"dedupScope":"cell","effect":%q,"lateWorth":%g,"name":%q,"window":%d}],
"discovery":%q,"familyInfo":{"classKind":[-1],"classStretch":[2.5],"progress":1000000,"tellsStart":true},"flavors":["new"],
"limits":{"cancel":true,"connIdle":5000000,"connectTimeout":200000,"maxAttempts":4,"maxRetryAfter":2000000,"mayDuplicate":%t,"probing":true,"retryAfter":true},
"loadReport":{"columns":["cpu_share","pending","x0","x1"],"via":"pull"},"ordinal":%d,"replicasOfMe":%d,
"rules":{"answerSlack":8000,"askWithin":10000000,"cold":%d,"drainGrace":%d,"fall":%d,"startCapacity":%g,"tipMultiple":%g},"zones":["here"]}`,
		micros(latencyObjective), micros(p.Deadline), p.Idempotency, p.LateWeight, className, micros(p.DeduplicationWindow), mode, p.MayHedge, dispatcher, p.Dispatchers,
		micros(slowStartDuration), micros(drainGrace), micros(overloadWindow), slowStartCapacity, overloadMultiple)
}

// memoryLimit is the memory that a dispatcher may use, in bytes.
const memoryLimit = 192 << 20

// config returns the configuration file of a dispatcher, with its listen address, the address of discovery and an initial list.
func (p Plan) config(dispatcher int, listen, discovery, known string) string {
	return fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		dispatcher, listen, discovery, p.Seed*1000+uint64(dispatcher), memoryLimit>>20, p.Sockets, known, p.settings(dispatcher))
}
