package transport

import (
	"sync"
	"time"
)

const (
	// tickInterval is the time between two ticks of a pauseDetector; a tick that is later than maxTickInterval after the one before shows a pause.
	tickInterval    = 20 * time.Millisecond
	maxTickInterval = 50 * time.Millisecond

	// catchUpTime is how long after a pause goroutines may still be delayed by it.
	catchUpTime = 100 * time.Millisecond
)

// pauseDetector notices when this process was not run for some time, because it was stopped or the machine was busy. It ticks at an interval,
// and compares the times of the ticks. Its methods may be called from any goroutine and do not block. The zero value is not running.
type pauseDetector struct {
	mu       sync.Mutex
	running  bool
	lastTick time.Time
	recent   []processPause // in the order of their ends; pruned at each tick
}

// processPause is a period in which the process was not run, or only for a short part of it.
type processPause struct{ from, to time.Time }

// start makes the detector tick for as long as needed returns true. It does nothing if it is running. Its caller may not hold a lock that needed
// takes.
func (d *pauseDetector) start(needed func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running {
		return
	}
	d.running, d.lastTick = true, time.Now()
	time.AfterFunc(tickInterval, func() { d.tick(needed) })
}

// tick records a pause if the tick is late, and schedules the next one.
func (d *pauseDetector) tick(needed func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordTick(time.Now())
	if d.running = needed(); d.running {
		time.AfterFunc(tickInterval, func() { d.tick(needed) })
	}
}

// recordTick records a tick. mu is held.
func (d *pauseDetector) recordTick(now time.Time) {
	for len(d.recent) > 0 && now.Sub(d.recent[0].to) > catchUpTime {
		d.recent = d.recent[1:]
	}
	if now.Sub(d.lastTick) > maxTickInterval {
		d.recent = append(d.recent, processPause{d.lastTick, now})
	}
	d.lastTick = now
}

// delayedSince returns the beginning of the first pause by which a goroutine that runs now may have been delayed. It is now if there was none.
func (d *pauseDetector) delayedSince(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pause := range d.recent {
		if now.Sub(pause.to) <= catchUpTime {
			return pause.from
		}
	}
	if d.running && now.Sub(d.lastTick) > maxTickInterval { // the tick is delayed by the same pause
		return d.lastTick
	}
	return now
}
