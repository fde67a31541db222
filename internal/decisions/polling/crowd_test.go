package polling

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"brassdale/scheduler"
)

// crowdedService is a discovery service of little capacity. It serves calls one after the other. A call that has waited for its
// turn longer than expires is answered 503, and its work is done all the same when its turn comes. Where the work that waits
// takes longer than limit, a call is refused at once. A watch that goes on waits outside the queue until there is news, which is
// told in its turn; if the wait is over before, it is answered with nothing, and the next call of the watch keeps the place.
type crowdedService struct {
	perCall, perUpdate       time.Duration // to serve a call, to tell a watch
	queueTimeout, queueLimit time.Duration
	downUntil                time.Time // until then all calls fail behind a wait
	idleAt                   time.Time // when all that waits is done
	revision                 int
}

const rejectionLatency = 27 * time.Millisecond

// crowdCall is a call that is open at the service.
type crowdCall struct {
	caller   *crowdCaller
	number   int
	kind     Kind
	calledAt time.Time
	endsAt   time.Time
	fails    bool
	brings   bool // it ends by the service's telling its list
}

// crowdCaller is a dispatcher.
type crowdCaller struct {
	schedule       *Schedule
	calls          int
	revision       int       // that it knows; below 0 for none
	lastResponseAt time.Time // when its last answer came
	updateAt       time.Time // when the news that waits for its watch is told
	heardAt        time.Time // when it first had the revision of interest; zero while it has not
}

// crowd plays many dispatchers at one service in virtual time.
type crowd struct {
	rules           Rules
	random          *rand.Rand
	service         crowdedService
	callers         []*crowdCaller
	open            []*crowdCall
	now             time.Time
	changesAt       []time.Time // when the list changes
	awaitedRevision int         // the revision that all are to hear of

	calls, rejected, expired int
}

func (c *crowd) chance() float64 { return c.random.Float64() }

// enqueue gives when a piece of work is done that begins to wait now.
func (c *crowd) enqueue(work time.Duration) time.Time {
	if c.service.idleAt.Before(c.now) {
		c.service.idleAt = c.now
	}
	c.service.idleAt = c.service.idleAt.Add(work)
	return c.service.idleAt
}

func (c *crowd) call(d *crowdCaller) {
	d.calls++
	c.calls++
	s := &c.service
	o := &crowdCall{caller: d, number: d.calls, kind: d.schedule.CallStarted(c.now, d.calls, d.revision >= 0, c.rules, c.chance()), calledAt: c.now}
	c.open = append(c.open, o)
	switch {
	case c.now.Before(s.downUntil):
		o.endsAt, o.fails = c.now.Add(s.queueTimeout), true
	case o.kind == Watch && c.now.Sub(d.lastResponseAt) < WatchGap:
		o.endsAt = c.now.Add(LongPollWait)
		c.notify(o)
	case s.idleAt.Sub(c.now) > s.queueLimit:
		o.endsAt, o.fails = c.now.Add(rejectionLatency), true
		c.rejected++
	default:
		o.endsAt, o.brings = c.enqueue(s.perCall), true
		if o.endsAt.Sub(c.now) > s.queueTimeout {
			o.endsAt, o.fails, o.brings = c.now.Add(s.queueTimeout), true, false
			c.expired++
		}
	}
}

// notify has a watch that is open told of what is new, in its turn.
func (c *crowd) notify(o *crowdCall) {
	d := o.caller
	if d.revision >= c.service.revision {
		return
	}
	if d.updateAt.Before(c.now) {
		d.updateAt = c.enqueue(c.service.perUpdate)
	}
	if d.updateAt.Before(o.endsAt) {
		o.endsAt, o.brings = d.updateAt, true
	}
}

// publish changes the list.
func (c *crowd) publish() {
	c.service.revision++
	for _, o := range c.open {
		if o.kind == Watch && !o.fails && !o.brings {
			c.notify(o)
		}
	}
}

// run plays until a time.
func (c *crowd) run(until time.Time) {
	for {
		at, step := until, func() {}
		for _, d := range c.callers {
			if next, ok := d.schedule.Next(); ok && next.Before(at) {
				at, step = next, func() { c.call(d) }
			}
		}
		for i, o := range c.open {
			if o.endsAt.Before(at) {
				at, step = o.endsAt, func() { c.endCall(i) }
			}
		}
		if len(c.changesAt) > 0 && c.changesAt[0].Before(at) {
			at, step = c.changesAt[0], func() { c.changesAt = c.changesAt[1:]; c.publish() }
		}
		if c.now.Before(at) {
			c.now = at
		}
		if !at.Before(until) {
			return
		}
		step()
	}
}

func (c *crowd) endCall(i int) {
	o := c.open[i]
	c.open = slices.Delete(c.open, i, i+1)
	d := o.caller
	if o.fails {
		d.schedule.CallFailed(c.now, o.number, ClassifyFailure(true, c.now.Sub(o.calledAt)), c.rules, c.chance())
		return
	}
	d.lastResponseAt = c.now
	if o.brings {
		d.revision = c.service.revision
	}
	if d.heardAt.IsZero() && c.awaitedRevision > 0 && d.revision >= c.awaitedRevision {
		d.heardAt = c.now
	}
	early := o.kind == Watch && o.brings
	d.schedule.CallAnswered(c.now, o.number, c.now.Sub(o.calledAt), o.brings, early, c.rules, c.chance())
}

// massRestart is a fleet that loses discovery for a while. Right behind its return most dispatchers are killed at once, and begin anew a
// second later; the list changes all the time.
type massRestart struct {
	dispatchers, restarted int
	service                crowdedService
	outage                 time.Duration // of the service
	recoveryBeforeRestart  time.Duration
	restartDelay           time.Duration
	changeInterval         time.Duration
}

// play gives how long behind a change at the kill each dispatcher heard of it.
func (h massRestart) play(seed uint64, until time.Duration) (*crowd, []time.Duration) {
	start := time.Unix(1e9, 0)
	c := &crowd{rules: Rules{Dispatchers: h.dispatchers}, random: rand.New(rand.NewPCG(seed, 1)), service: h.service, now: start}
	c.service.downUntil = start.Add(h.outage)
	for range h.dispatchers {
		d := &crowdCaller{schedule: NewSchedule(start)}
		d.schedule.Start(start.Add(scale(time.Second, c.chance())))
		c.callers = append(c.callers, d)
	}
	kill := c.service.downUntil.Add(h.recoveryBeforeRestart)
	for at := c.service.downUntil.Add(h.changeInterval); at.Before(kill.Add(until)); at = at.Add(h.changeInterval) {
		c.changesAt = append(c.changesAt, at)
	}
	c.run(kill)
	again := kill.Add(h.restartDelay)
	for i := range h.restarted {
		c.restart(c.callers[i], again)
	}
	c.publish()
	c.awaitedRevision = c.service.revision
	c.run(kill.Add(until))
	return c, c.delaysSince(kill, until)
}

// delaysSince gives how long behind a change each dispatcher heard of it; the end of the play for one that did not.
func (c *crowd) delaysSince(changed time.Time, until time.Duration) (heard []time.Duration) {
	for _, d := range c.callers {
		took := until
		if !d.heardAt.IsZero() {
			took = d.heardAt.Sub(changed)
		}
		heard = append(heard, took)
	}
	return heard
}

// restart ends a dispatcher, and has another begin in its place.
func (c *crowd) restart(d *crowdCaller, again time.Time) {
	c.open = slices.DeleteFunc(c.open, func(o *crowdCall) bool { return o.caller == d })
	d.schedule = NewSchedule(again)
	d.schedule.Start(again.Add(scheduler.FirstAsk(c.rules.Dispatchers, c.chance())))
	d.lastResponseAt, d.updateAt = time.Time{}, time.Time{}
}

// serviceOf is a service that serves one call of each of so many dispatchers in a time that leaves some room in the 6 s. A few
// callers are served one after the other by chance, many by their mean.
func serviceOf(dispatchers int) crowdedService {
	pass := 3600 * time.Millisecond
	if dispatchers < 10 {
		pass = 2500 * time.Millisecond
	}
	each := pass / time.Duration(dispatchers)
	return crowdedService{perCall: each, perUpdate: each / 15, queueTimeout: 2 * time.Second, queueLimit: 3800 * time.Millisecond}
}

// maxDelay is how long a change may stay unheard: it counts as told after Told, and the grace of a drain begins then.
const maxDelay = NotificationDeadline + 300*time.Millisecond

// The service of the list came back after eight seconds, and 28 of 40 dispatchers were killed and began again. All of them called
// within two seconds, more often the longer they had heard nothing, and beside calls that still waited. The service's queue grew
// beyond the 2 s for which it lets a call wait: from then on it spent its time on calls that had expired, and served none. Between
// 15.5 and 19.4 s it wrote no list, refused 138 calls in a second, and 27 of the 40 dispatchers logged "the list is overdue".
//
// The service could have served all 40 in under six seconds. So calls may be repeated no faster than a service serves them that
// needs some seconds for all dispatchers.
func TestSchedule_massRestartAtBusyService(t *testing.T) {
	for _, dispatchers := range []int{6, 16, 40, 100, 300} {
		for seed := range uint64(40) {
			h := massRestart{dispatchers: dispatchers, restarted: dispatchers * 7 / 10, service: serviceOf(dispatchers), outage: 8 * time.Second,
				recoveryBeforeRestart: 1800 * time.Millisecond, restartDelay: time.Second, changeInterval: 600 * time.Millisecond}
			c, heard := h.play(seed, 10*time.Second)
			if worst := slices.Max(heard); worst > maxDelay {
				late := slices.DeleteFunc(heard, func(d time.Duration) bool { return d <= maxDelay })
				t.Errorf("seed %d: %d of %d dispatchers heard of the drain after over %v, the last after %v; %d calls, %d refused, %d expired",
					seed, len(late), dispatchers, maxDelay, worst, c.calls, c.rejected, c.expired)
			}
		}
	}
}

// allWatchesSilent has all watches fall silent at once, after which the list changes.
func allWatchesSilent(seed uint64, dispatchers int, service crowdedService, until time.Duration) (*crowd, []time.Duration) {
	start := time.Unix(1e9, 0)
	c := &crowd{rules: Rules{Dispatchers: dispatchers}, random: rand.New(rand.NewPCG(seed, 1)), service: service, now: start}
	for range dispatchers {
		d := &crowdCaller{schedule: NewSchedule(start)}
		d.schedule.Start(start.Add(scale(10*time.Second, c.chance())))
		c.callers = append(c.callers, d)
	}
	silent := start.Add(30 * time.Second)
	c.run(silent)
	for _, o := range c.open {
		o.endsAt, o.fails = c.now.Add(time.Hour), true
	}
	c.service.idleAt = c.now
	c.publish()
	c.awaitedRevision = c.service.revision
	c.run(silent.Add(until))
	return c, c.delaysSince(silent, until)
}

// All watches fall silent at once, and all dispatchers notice it at about the same time.
func TestSchedule_silentWatchesAtBusyService(t *testing.T) {
	for _, dispatchers := range []int{6, 16, 40, 100, 300} {
		for seed := range uint64(40) {
			_, heard := allWatchesSilent(seed, dispatchers, serviceOf(dispatchers), 10*time.Second)
			if worst := slices.Max(heard); worst > maxDelay {
				t.Errorf("seed %d: %d dispatchers, the last heard of the drain after %v", seed, dispatchers, worst)
			}
		}
	}
}
