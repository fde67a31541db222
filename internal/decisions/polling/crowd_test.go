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
	perCall, perNews time.Duration // to serve a call, to tell a watch
	expires, limit   time.Duration
	downUntil        time.Time // until then all calls fail behind a wait
	free             time.Time // when all that waits is done
	revision         int
}

const refusalTakes = 27 * time.Millisecond

// crowdCall is a call that is open at the service.
type crowdCall struct {
	caller *crowdCaller
	number int
	kind   Kind
	begun  time.Time
	endsAt time.Time
	fails  bool
	news   bool // it ends by the service's telling its list
}

// crowdCaller is a dispatcher.
type crowdCaller struct {
	schedule *Schedule
	made     int
	revision int       // that it knows; below 0 for none
	watched  time.Time // when its last answer came
	newsAt   time.Time // when the news that waits for its watch is told
	heard    time.Time // when it first had the revision of interest; zero while it has not
}

// crowd plays many dispatchers at one service in virtual time.
type crowd struct {
	rules    Rules
	random   *rand.Rand
	service  crowdedService
	callers  []*crowdCaller
	open     []*crowdCall
	now      time.Time
	news     []time.Time // when the list changes
	interest int         // the revision that all are to hear of

	calls, refused, expired int
}

func (c *crowd) chance() float64 { return c.random.Float64() }

// turn gives when a piece of work is done that begins to wait now.
func (c *crowd) turn(work time.Duration) time.Time {
	if c.service.free.Before(c.now) {
		c.service.free = c.now
	}
	c.service.free = c.service.free.Add(work)
	return c.service.free
}

func (c *crowd) call(d *crowdCaller) {
	d.made++
	c.calls++
	s := &c.service
	o := &crowdCall{caller: d, number: d.made, kind: d.schedule.CallStarted(c.now, d.made, d.revision >= 0, c.rules, c.chance()), begun: c.now}
	c.open = append(c.open, o)
	switch {
	case c.now.Before(s.downUntil):
		o.endsAt, o.fails = c.now.Add(s.expires), true
	case o.kind == Watch && c.now.Sub(d.watched) < WatchGap:
		o.endsAt = c.now.Add(LongPollWait)
		c.tell(o)
	case s.free.Sub(c.now) > s.limit:
		o.endsAt, o.fails = c.now.Add(refusalTakes), true
		c.refused++
	default:
		o.endsAt, o.news = c.turn(s.perCall), true
		if o.endsAt.Sub(c.now) > s.expires {
			o.endsAt, o.fails, o.news = c.now.Add(s.expires), true, false
			c.expired++
		}
	}
}

// tell has a watch that is open told of what is new, in its turn.
func (c *crowd) tell(o *crowdCall) {
	d := o.caller
	if d.revision >= c.service.revision {
		return
	}
	if d.newsAt.Before(c.now) {
		d.newsAt = c.turn(c.service.perNews)
	}
	if d.newsAt.Before(o.endsAt) {
		o.endsAt, o.news = d.newsAt, true
	}
}

// publish changes the list.
func (c *crowd) publish() {
	c.service.revision++
	for _, o := range c.open {
		if o.kind == Watch && !o.fails && !o.news {
			c.tell(o)
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
				at, step = o.endsAt, func() { c.end(i) }
			}
		}
		if len(c.news) > 0 && c.news[0].Before(at) {
			at, step = c.news[0], func() { c.news = c.news[1:]; c.publish() }
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

func (c *crowd) end(i int) {
	o := c.open[i]
	c.open = slices.Delete(c.open, i, i+1)
	d := o.caller
	if o.fails {
		d.schedule.CallFailed(c.now, o.number, ClassifyFailure(true, c.now.Sub(o.begun)), c.rules, c.chance())
		return
	}
	d.watched = c.now
	if o.news {
		d.revision = c.service.revision
	}
	if d.heard.IsZero() && c.interest > 0 && d.revision >= c.interest {
		d.heard = c.now
	}
	early := o.kind == Watch && o.news
	d.schedule.CallAnswered(c.now, o.number, c.now.Sub(o.begun), o.news, early, c.rules, c.chance())
}

// herd is a fleet that loses discovery for a while. Right behind its return most dispatchers are killed at once, and begin anew a
// second later; the list changes all the time.
type herd struct {
	dispatchers, killed int
	service             crowdedService
	down                time.Duration // of the service
	backBeforeKill      time.Duration
	restartAfter        time.Duration
	newsEvery           time.Duration
}

// play gives how long behind a change at the kill each dispatcher heard of it.
func (h herd) play(seed uint64, until time.Duration) (*crowd, []time.Duration) {
	start := time.Unix(1e9, 0)
	c := &crowd{rules: Rules{Dispatchers: h.dispatchers}, random: rand.New(rand.NewPCG(seed, 1)), service: h.service, now: start}
	c.service.downUntil = start.Add(h.down)
	for range h.dispatchers {
		d := &crowdCaller{schedule: NewSchedule(start)}
		d.schedule.Start(start.Add(scale(time.Second, c.chance())))
		c.callers = append(c.callers, d)
	}
	kill := c.service.downUntil.Add(h.backBeforeKill)
	for at := c.service.downUntil.Add(h.newsEvery); at.Before(kill.Add(until)); at = at.Add(h.newsEvery) {
		c.news = append(c.news, at)
	}
	c.run(kill)
	again := kill.Add(h.restartAfter)
	for i := range h.killed {
		c.kill(c.callers[i], again)
	}
	c.publish()
	c.interest = c.service.revision
	c.run(kill.Add(until))
	return c, c.heardBehind(kill, until)
}

// heardBehind gives how long behind a change each dispatcher heard of it; the end of the play for one that did not.
func (c *crowd) heardBehind(changed time.Time, until time.Duration) (heard []time.Duration) {
	for _, d := range c.callers {
		took := until
		if !d.heard.IsZero() {
			took = d.heard.Sub(changed)
		}
		heard = append(heard, took)
	}
	return heard
}

// kill ends a dispatcher, and has another begin in its place.
func (c *crowd) kill(d *crowdCaller, again time.Time) {
	c.open = slices.DeleteFunc(c.open, func(o *crowdCall) bool { return o.caller == d })
	d.schedule = NewSchedule(again)
	d.schedule.Start(again.Add(scheduler.FirstAsk(c.rules.Dispatchers, c.chance())))
	d.watched, d.newsAt = time.Time{}, time.Time{}
}

// serviceOf is a service that serves one call of each of so many dispatchers in a time that leaves some room in the 6 s. A few
// callers are served one after the other by chance, many by their mean.
func serviceOf(dispatchers int) crowdedService {
	pass := 3600 * time.Millisecond
	if dispatchers < 10 {
		pass = 2500 * time.Millisecond
	}
	each := pass / time.Duration(dispatchers)
	return crowdedService{perCall: each, perNews: each / 15, expires: 2 * time.Second, limit: 3800 * time.Millisecond}
}

// mostUnheard is how long a change may stay unheard: it counts as told after Told, and the grace of a drain begins then.
const mostUnheard = NotificationDeadline + 300*time.Millisecond

// The service of the list came back after eight seconds, and 28 of 40 dispatchers were killed and began again. All of them called
// within two seconds, more often the longer they had heard nothing, and beside calls that still waited. The service's queue grew
// beyond the 2 s for which it lets a call wait: from then on it spent its time on calls that had expired, and served none. Between
// 15.5 and 19.4 s it wrote no list, refused 138 calls in a second, and 27 of the 40 dispatchers logged "the list is overdue".
//
// The service could have served all 40 in under six seconds. So calls may be repeated no faster than a service serves them that
// needs some seconds for all dispatchers.
func TestHerdAtACrowdedService(t *testing.T) {
	for _, dispatchers := range []int{6, 16, 40, 100, 300} {
		for seed := range uint64(40) {
			h := herd{dispatchers: dispatchers, killed: dispatchers * 7 / 10, service: serviceOf(dispatchers), down: 8 * time.Second,
				backBeforeKill: 1800 * time.Millisecond, restartAfter: time.Second, newsEvery: 600 * time.Millisecond}
			c, heard := h.play(seed, 10*time.Second)
			if worst := slices.Max(heard); worst > mostUnheard {
				late := slices.DeleteFunc(heard, func(d time.Duration) bool { return d <= mostUnheard })
				t.Errorf("seed %d: %d of %d dispatchers heard of the drain after over %v, the last after %v; %d calls, %d refused, %d expired",
					seed, len(late), dispatchers, mostUnheard, worst, c.calls, c.refused, c.expired)
			}
		}
	}
}

// silence has all watches fall silent at once, after which the list changes.
func silence(seed uint64, dispatchers int, service crowdedService, until time.Duration) (*crowd, []time.Duration) {
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
	c.service.free = c.now
	c.publish()
	c.interest = c.service.revision
	c.run(silent.Add(until))
	return c, c.heardBehind(silent, until)
}

// All watches fall silent at once, and all dispatchers notice it at about the same time.
func TestSilenceAtACrowdedService(t *testing.T) {
	for _, dispatchers := range []int{6, 16, 40, 100, 300} {
		for seed := range uint64(40) {
			_, heard := silence(seed, dispatchers, serviceOf(dispatchers), 10*time.Second)
			if worst := slices.Max(heard); worst > mostUnheard {
				t.Errorf("seed %d: %d dispatchers, the last heard of the drain after %v", seed, dispatchers, worst)
			}
		}
	}
}
