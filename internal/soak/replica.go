package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// snapshot is the list as it was from a moment on.
type snapshot struct {
	at       time.Time
	revision int
	members  []member
}

// replicaView is how one address of discovery shows the list: late, and answers after a while.
type replicaView struct {
	mu    sync.Mutex
	lag   time.Duration // the list is as it was so long ago
	flaps bool          // at every other call only
	delay time.Duration // an answer is held back for up to this
	until time.Time     // of all that
	calls int
}

// injectFault has the address show the list late, or answer late, for a while.
func (v *replicaView) injectFault(lag, delay time.Duration, flaps bool, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag, v.delay, v.flaps, v.until = lag, delay, flaps, until
}

// nextCall gives how late the list is that a nextCall is shown, and for how long its answer is held back.
func (v *replicaView) nextCall(now time.Time) (lag, delay time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	if !now.Before(v.until) {
		return 0, 0
	}
	if v.delay > 0 {
		delay = time.Duration(rand.Int64N(int64(v.delay)))
	}
	if v.flaps && v.calls%2 == 0 {
		return 0, delay
	}
	return v.lag, delay
}

// recordSnapshot notes the list as it is now; d.mu is held.
func (d *discovery) recordSnapshot() {
	s := snapshot{at: time.Now(), revision: d.revision}
	for _, m := range d.members {
		s.members = append(s.members, *m)
	}
	d.history = append(d.history, s)
}

// asOf gives the list as it was; d.mu is held.
func (d *discovery) asOf(at time.Time) snapshot {
	shown := d.history[0]
	for _, s := range d.history {
		if !s.at.After(at) {
			shown = s
		}
	}
	return shown
}

// encode words a list for a dispatcher.
func (s snapshot) encode(dispatcher int) string {
	var lines []string
	for _, m := range s.members {
		lines = append(lines, fmt.Sprintf(`{"id":"w%d","host_port":%q,"locality":"here","flavor":"new","cell":%d,"phase":%q,"size":1.0,"up_since_ms":%d}`,
			m.worker.number, m.worker.address(dispatcher), m.worker.cell(), m.phase, m.since))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, s.revision, strings.Join(lines, ","))
}

// serviceQueue is the one queue of a service that all dispatchers share. A call that has waited too long is given up, and its work is
// done all the same.
type serviceQueue struct {
	timePerCall, maxWait, maxBacklog time.Duration

	mu     sync.Mutex
	freeAt time.Time
}

// enqueue gives how long a call waits, and whether it is served then.
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
