package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// snapshot is the endpoint list from a time until the next snapshot.
type snapshot struct {
	at       time.Time
	revision int
	members  []member
}

// replicaView is the state of one address of discovery, which may show an old list or delay its answers.
type replicaView struct {
	mu    sync.Mutex
	lag   time.Duration // the list is this old
	flaps bool          // only every other call shows the old list
	delay time.Duration // longest delay of an answer
	until time.Time     // when the fault ends
	calls int

	// Set before the address is used.
	revisionOffset int // added to the list's revisions
	random         *rand.Rand
}

// injectFault makes the address show an old list, or delay its answers, until a time.
func (v *replicaView) injectFault(lag, delay time.Duration, flaps bool, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag, v.delay, v.flaps, v.until = lag, delay, flaps, until
}

// nextCall counts a call, and returns how old its list is and by how much its answer is delayed.
func (v *replicaView) nextCall(now time.Time) (lag, delay time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	if !now.Before(v.until) {
		return 0, 0
	}
	if v.delay > 0 {
		delay = time.Duration(v.random.Int64N(int64(v.delay)))
	}
	if v.flaps && v.calls%2 == 0 {
		return 0, delay
	}
	return v.lag, delay
}

// recordSnapshot adds the list as it is now to the history. d.mu must be locked.
func (d *discovery) recordSnapshot() {
	current := snapshot{at: time.Now(), revision: d.revision}
	for _, member := range d.members {
		current.members = append(current.members, *member)
	}
	d.history = append(d.history, current)
}

// asOf returns the list as it was at a time. d.mu must be locked.
func (d *discovery) asOf(at time.Time) snapshot {
	shown := d.history[0]
	for _, earlier := range d.history {
		if !earlier.at.After(at) {
			shown = earlier
		}
	}
	return shown
}

// encode returns the list as JSON, with the addresses at which a dispatcher reaches the workers.
func (s snapshot) encode(dispatcher, revisionOffset int) string {
	var lines []string
	for _, member := range s.members {
		if member.phase == phaseLeft {
			continue
		}
		lines = append(lines, fmt.Sprintf(`{"id":"w%d","host_port":%q,"locality":"here","flavor":"new","cell":%d,"phase":%q,"size":1.0,"up_since_ms":%d}`,
			member.worker.number, member.worker.address(dispatcher), member.worker.cell(), member.phase, member.since))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, s.revision+revisionOffset, strings.Join(lines, ","))
}

// serviceQueue is the queue of a service that serves one call at a time. A call that would wait for longer than maxWait
// is answered 503 after maxWait, and still takes the service's time.
type serviceQueue struct {
	timePerCall time.Duration // that the service needs for a call
	maxWait     time.Duration // of a call
	maxBacklog  time.Duration // of the queue; beyond it calls are rejected at once

	mu     sync.Mutex
	freeAt time.Time // when the service has served all calls
}

// enqueue adds a call, and returns how long the call waits and whether it is served then.
func (c *serviceQueue) enqueue(now time.Time) (wait time.Duration, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.freeAt.Before(now) {
		c.freeAt = now
	}
	if c.freeAt.Sub(now) > c.maxBacklog {
		return 0, false
	}
	c.freeAt = c.freeAt.Add(c.timePerCall)
	wait = c.freeAt.Sub(now)
	if wait > c.maxWait {
		return c.maxWait, false
	}
	return wait, true
}
