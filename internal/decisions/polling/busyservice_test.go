package polling

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"brassdale/scheduler"
)

// queueingService is a discovery service of little capacity that serves calls one after the other. A call that has been queued for
// longer than queueTimeout is answered 503, but the service still does its work. A call is rejected at once if the queued work takes
// longer than queueLimit. A continued watch waits outside the queue for a change, whose delivery is queued. If the wait ends before
// the delivery, the watch is answered without a change, and the delivery keeps its place in the queue for the next call of the watch.
type queueingService struct {
	perCall, perUpdate       time.Duration // work for a call; work to deliver a change to a watch
	queueTimeout, queueLimit time.Duration
	downUntil                time.Time // before it, all calls fail after queueTimeout
	idleAt                   time.Time // when all queued work is done
	revision                 int
}

// rejectionLatency is how long the service takes to reject a call.
const rejectionLatency = 27 * time.Millisecond

// serviceCall is a call in flight to the service.
type serviceCall struct {
	dispatcher  *dispatcher
	number      int
	kind        Kind
	calledAt    time.Time
	endsAt      time.Time
	fails       bool
	returnsList bool // it ends with a list
}

// dispatcher is a caller of the service.
type dispatcher struct {
	schedule       *Schedule
	calls          int
	revision       int       // last received; below 0 before the first
	lastResponseAt time.Time // when its last response was received
	updateAt       time.Time // when the change that is queued for its watch is delivered
	receivedAt     time.Time // when it first had the awaited revision; zero before
}

// fleet runs many dispatchers against one service in virtual time.
type fleet struct {
	rules           Rules
	random          *rand.Rand
	service         queueingService
	dispatchers     []*dispatcher
	openCalls       []*serviceCall
	now             time.Time
	changesAt       []time.Time // when the list changes
	awaitedRevision int         // the revision that all are to receive

	calls, rejected, expired int
}

// chance returns a random number in [0,1).
func (c *fleet) chance() float64 { return c.random.Float64() }

// enqueue queues work now, and returns when it will be done.
func (c *fleet) enqueue(work time.Duration) time.Time {
	if c.service.idleAt.Before(c.now) {
		c.service.idleAt = c.now
	}
	c.service.idleAt = c.service.idleAt.Add(work)
	return c.service.idleAt
}

// call makes a dispatcher's next call.
func (c *fleet) call(caller *dispatcher) {
	caller.calls++
	c.calls++
	service := &c.service
	call := &serviceCall{dispatcher: caller, number: caller.calls, kind: caller.schedule.CallStarted(c.now, caller.calls, caller.revision >= 0, c.rules, c.chance()), calledAt: c.now}
	c.openCalls = append(c.openCalls, call)
	switch {
	case c.now.Before(service.downUntil):
		call.endsAt, call.fails = c.now.Add(service.queueTimeout), true
	case call.kind == Watch && c.now.Sub(caller.lastResponseAt) < WatchGap:
		call.endsAt = c.now.Add(LongPollWait)
		c.notify(call)
	case service.idleAt.Sub(c.now) > service.queueLimit:
		call.endsAt, call.fails = c.now.Add(rejectionLatency), true
		c.rejected++
	default:
		call.endsAt, call.returnsList = c.enqueue(service.perCall), true
		if call.endsAt.Sub(c.now) > service.queueTimeout {
			call.endsAt, call.fails, call.returnsList = c.now.Add(service.queueTimeout), true, false
			c.expired++
		}
	}
}

// notify queues the delivery of a change to a watch in flight.
func (c *fleet) notify(call *serviceCall) {
	caller := call.dispatcher
	if caller.revision >= c.service.revision {
		return
	}
	if caller.updateAt.Before(c.now) {
		caller.updateAt = c.enqueue(c.service.perUpdate)
	}
	if caller.updateAt.Before(call.endsAt) {
		call.endsAt, call.returnsList = caller.updateAt, true
	}
}

// publish changes the list.
func (c *fleet) publish() {
	c.service.revision++
	for _, call := range c.openCalls {
		if call.kind == Watch && !call.fails && !call.returnsList {
			c.notify(call)
		}
	}
}

// runUntil advances the model to a time.
func (c *fleet) runUntil(until time.Time) {
	for {
		at, step := until, func() {}
		for _, caller := range c.dispatchers {
			if next, ok := caller.schedule.Next(); ok && next.Before(at) {
				at, step = next, func() { c.call(caller) }
			}
		}
		for i, call := range c.openCalls {
			if call.endsAt.Before(at) {
				at, step = call.endsAt, func() { c.endCall(i) }
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

// endCall passes the end of a call to its dispatcher.
func (c *fleet) endCall(index int) {
	call := c.openCalls[index]
	c.openCalls = slices.Delete(c.openCalls, index, index+1)
	caller := call.dispatcher
	if call.fails {
		caller.schedule.CallFailed(c.now, call.number, ClassifyFailure(true, c.now.Sub(call.calledAt)), c.rules, c.chance())
		return
	}
	caller.lastResponseAt = c.now
	if call.returnsList {
		caller.revision = c.service.revision
	}
	if caller.receivedAt.IsZero() && c.awaitedRevision > 0 && caller.revision >= c.awaitedRevision {
		caller.receivedAt = c.now
	}
	early := call.kind == Watch && call.returnsList
	caller.schedule.CallAnswered(c.now, call.number, c.now.Sub(call.calledAt), call.returnsList, early, c.rules, c.chance())
}

// massRestart is an outage of discovery. Soon after its end most dispatchers are killed at once, and restart after restartDelay; the
// list changes every changeInterval.
type massRestart struct {
	dispatchers, restarted int
	service                queueingService
	outage                 time.Duration
	recoveryBeforeRestart  time.Duration
	restartDelay           time.Duration
	changeInterval         time.Duration
}

// run returns how long after a change at the time of the kill each dispatcher received it.
func (h massRestart) run(seed uint64, until time.Duration) (*fleet, []time.Duration) {
	start := time.Unix(1e9, 0)
	model := &fleet{rules: Rules{Dispatchers: h.dispatchers}, random: rand.New(rand.NewPCG(seed, 1)), service: h.service, now: start}
	model.service.downUntil = start.Add(h.outage)
	for range h.dispatchers {
		caller := &dispatcher{schedule: NewSchedule(start)}
		caller.schedule.Start(start.Add(scale(time.Second, model.chance())))
		model.dispatchers = append(model.dispatchers, caller)
	}
	restartsFrom := model.service.downUntil.Add(h.recoveryBeforeRestart)
	for at := model.service.downUntil.Add(h.changeInterval); at.Before(restartsFrom.Add(until)); at = at.Add(h.changeInterval) {
		model.changesAt = append(model.changesAt, at)
	}
	model.runUntil(restartsFrom)
	restartAt := restartsFrom.Add(h.restartDelay)
	for i := range h.restarted {
		model.restart(model.dispatchers[i], restartAt)
	}
	model.publish()
	model.awaitedRevision = model.service.revision
	model.runUntil(restartsFrom.Add(until))
	return model, model.delaysSince(restartsFrom, until)
}

// delaysSince returns how long after a change each dispatcher received it. The delay is the value of until for a
// dispatcher that did not receive it.
func (c *fleet) delaysSince(changed time.Time, until time.Duration) (delays []time.Duration) {
	for _, caller := range c.dispatchers {
		took := until
		if !caller.receivedAt.IsZero() {
			took = caller.receivedAt.Sub(changed)
		}
		delays = append(delays, took)
	}
	return delays
}

// restart kills a dispatcher, which starts again at a time.
func (c *fleet) restart(caller *dispatcher, at time.Time) {
	c.openCalls = slices.DeleteFunc(c.openCalls, func(o *serviceCall) bool { return o.dispatcher == caller })
	caller.schedule = NewSchedule(at)
	caller.schedule.Start(at.Add(scheduler.FirstPollDelay(c.rules.Dispatchers, c.chance())))
	caller.lastResponseAt, caller.updateAt = time.Time{}, time.Time{}
}

// newQueueingService returns a service that serves one call of each dispatcher in less than NotificationDeadline. The random
// order of calls matters more to fewer than ten dispatchers, so their service is faster.
func newQueueingService(dispatchers int) queueingService {
	pass := 3600 * time.Millisecond
	if dispatchers < 10 {
		pass = 2500 * time.Millisecond
	}
	perCall := pass / time.Duration(dispatchers)
	return queueingService{perCall: perCall, perUpdate: perCall / 15, queueTimeout: 2 * time.Second, queueLimit: 3800 * time.Millisecond}
}

// maxDelay is how late a dispatcher may receive a change: the grace period of a drain starts at NotificationDeadline.
const maxDelay = NotificationDeadline + 300*time.Millisecond

// TestSchedule_massRestartAtBusyService checks guarantee 9. Discovery returns after 8 s, and seven in ten dispatchers are killed and
// restart. If all called within 2 s, and again while their calls are queued, the queue would grow beyond the 2 s after which a call
// expires, and the service would spend its time on expired calls. A service that can serve each dispatcher in under 6 s must not be called
// faster than it serves: all dispatchers receive a change within maxDelay.
func TestSchedule_massRestartAtBusyService(t *testing.T) {
	for _, dispatchers := range []int{6, 16, 40, 100, 300} {
		for seed := range uint64(40) {
			restart := massRestart{dispatchers: dispatchers, restarted: dispatchers * 7 / 10, service: newQueueingService(dispatchers), outage: 8 * time.Second,
				recoveryBeforeRestart: 1800 * time.Millisecond, restartDelay: time.Second, changeInterval: 600 * time.Millisecond}
			model, delays := restart.run(seed, 10*time.Second)
			if worst := slices.Max(delays); worst > maxDelay {
				late := slices.DeleteFunc(delays, func(d time.Duration) bool { return d <= maxDelay })
				t.Errorf("seed %d: %d of %d dispatchers received the drain after more than %v, the last after %v; %d calls, %d rejected, %d expired",
					seed, len(late), dispatchers, maxDelay, worst, model.calls, model.rejected, model.expired)
			}
		}
	}
}

// allWatchesSilent runs a fleet whose watches become silent at once, after which the list changes. It returns how long after the change
// each dispatcher received it.
func allWatchesSilent(seed uint64, dispatchers int, service queueingService, until time.Duration) (*fleet, []time.Duration) {
	start := time.Unix(1e9, 0)
	model := &fleet{rules: Rules{Dispatchers: dispatchers}, random: rand.New(rand.NewPCG(seed, 1)), service: service, now: start}
	for range dispatchers {
		caller := &dispatcher{schedule: NewSchedule(start)}
		caller.schedule.Start(start.Add(scale(10*time.Second, model.chance())))
		model.dispatchers = append(model.dispatchers, caller)
	}
	silent := start.Add(30 * time.Second)
	model.runUntil(silent)
	for _, call := range model.openCalls {
		call.endsAt, call.fails = model.now.Add(time.Hour), true
	}
	model.service.idleAt = model.now
	model.publish()
	model.awaitedRevision = model.service.revision
	model.runUntil(silent.Add(until))
	return model, model.delaysSince(silent, until)
}

// TestSchedule_silentWatchesAtBusyService checks guarantee 9: all watches become silent at once, so that all dispatchers detect it at about
// the same time. All must receive a change within maxDelay.
func TestSchedule_silentWatchesAtBusyService(t *testing.T) {
	for _, dispatchers := range []int{6, 16, 40, 100, 300} {
		for seed := range uint64(40) {
			_, delays := allWatchesSilent(seed, dispatchers, newQueueingService(dispatchers), 10*time.Second)
			if worst := slices.Max(delays); worst > maxDelay {
				t.Errorf("seed %d: the last of %d dispatchers received the drain after %v", seed, dispatchers, worst)
			}
		}
	}
}
