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

// view is how one address of discovery shows the list: late, and answers after a while.
type view struct {
	mu    sync.Mutex
	lag   time.Duration // the list is as it was so long ago
	flaps bool          // at every other call only
	delay time.Duration // an answer is held back for up to this
	until time.Time     // of all that
	calls int
}

// trouble has the address show the list late, or answer late, for a while.
func (v *view) trouble(lag, delay time.Duration, flaps bool, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag, v.delay, v.flaps, v.until = lag, delay, flaps, until
}

// call gives how late the list is that a call is shown, and for how long its answer is held back.
func (v *view) call(now time.Time) (lag, delay time.Duration) {
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

// keep notes the list as it is now; d.mu is held.
func (d *discovery) keep() {
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

// word words a list for a dispatcher.
func (s snapshot) word(dispatcher int) string {
	var lines []string
	for _, m := range s.members {
		lines = append(lines, fmt.Sprintf(`{"id":"w%d","host_port":%q,"locality":"here","flavor":"new","cell":%d,"phase":%q,"size":1.0,"up_since_ms":%d}`,
			m.worker.number, m.worker.address(dispatcher), m.worker.cell(), m.phase, m.since))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, s.revision, strings.Join(lines, ","))
}

// capacity is the one queue of a service that all dispatchers share. A call that has waited too long is given up, and its work is
// done all the same.
type capacity struct {
	perCall, expires, limit time.Duration

	mu   sync.Mutex
	free time.Time
}

// turn gives how long a call waits, and whether it is served then.
func (c *capacity) turn(now time.Time) (wait time.Duration, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.free.Before(now) {
		c.free = now
	}
	if c.free.Sub(now) > c.limit {
		return 0, false
	}
	c.free = c.free.Add(c.perCall)
	wait = c.free.Sub(now)
	if wait > c.expires {
		return c.expires, false
	}
	return wait, true
}
