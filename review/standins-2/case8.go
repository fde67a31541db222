package main

import (
	"sync"
	"time"
)

func init() { cases["8"] = case8 }

func case8(b *bench) []string {
	boxes := startBoxes(b, &runLog{}, 12, always(100*time.Millisecond))
	d := newDiscovery(b, 41, members(boxes))
	draining := boxes[3]
	var mu sync.Mutex
	var writtenAt time.Time
	d.onTold = func(at time.Time, _ bool, entries []member) {
		mu.Lock()
		defer mu.Unlock()
		for _, m := range entries {
			if m.ID == draining.id && m.Phase == "leaving" && writtenAt.IsZero() {
				writtenAt = at
			}
		}
	}
	listen, admin := address(), address()
	b.start(dispatcherSpec{name: "n0", listen: listen, admin: admin, tmp: b.dir, config: platformFile(listen, admin, d.address, d.whole())})
	load := b.steadyLoad("job", listen, 12*time.Millisecond)
	time.Sleep(3 * time.Second)
	if b.trouble {
		b.note("discovery is crowded: calls wait for 1 s and fail")
		d.set(func() { d.crowded = time.Second })
		time.Sleep(1200 * time.Millisecond)
	}
	d.update(draining.member("leaving"))
	draining.drains.Store(true)
	drainAt := time.Now()
	b.noteAt(drainAt, "box %s begins to drain", draining.id)
	time.Sleep(12 * time.Second)
	b.note("answers by status: %v", load.end())
	toldAt := drainAt.Add(6 * time.Second)
	mu.Lock()
	if !writtenAt.IsZero() && writtenAt.Before(toldAt) {
		toldAt = writtenAt
	}
	mu.Unlock()
	b.noteAt(toldAt, "the drain counts as told")
	return lateArrivals(draining, toldAt)
}
