package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"brassdale/internal/decisions/canary"
	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/fleet/gossip"
	"brassdale/internal/listen"
	"brassdale/internal/traffic"
)

const (
	renewals = 4 // in a lease; what changes meanwhile comes by the subscription
	// Reports are of a second or so: with shorter leases not every question has one, but where a way's state has changed.
	reportEvery = 900 * time.Millisecond
	openEvery   = 200 * time.Millisecond
	leadEvery   = 20 * time.Millisecond
)

// Options make a dispatcher's part.
type Options struct {
	Settings       *Settings
	Name           string                         // of the dispatcher
	Zone           string                         // where its settings say none
	ApplyEffective func(configversions.Effective) // is told of each change of what may be acted on; must not block
	JobCounts      func() (ended, bad uint64)     // since the start; bad are those refused or failed

	Overload       *Overload     // nil where nothing is dealt out
	MaxDispatchers func() int    // dispatchers that there are at the most
	FirstAttempts  func() uint64 // first calls since the start

	Failover        *Failover                  // nil where nobody plans
	Report          func() *failover.Report    // what this dispatcher saw of zones since the last one
	HasUrgentChange func() bool                // whether it is to be told at once; nil for never
	PlanChanged     func(*failover.Plan, bool) // is told of each plan, and whether this dispatcher is cut off from it for too long; must not block
	Log             *slog.Logger
	Meter           *traffic.Meter // of what control costs this process; nil for one of its own
}

// Agent is a dispatcher's part in the fleet, and a seat's in the council where it has one.
type Agent struct {
	Options
	s        *Settings
	instance string
	lease    time.Duration
	patience time.Duration
	trusted  time.Duration // for which a plan is, without a lease
	start    time.Time     // what its clock counts from
	pace     float64       // of its clock, in tests
	form     int
	log      *slog.Logger
	client   *http.Client
	listener net.Listener
	members  *gossip.Membership
	visitor  gossippeers.Exchanger // the renewals'
	reported configversions.Clock  // the same: when a question last had a report
	changed  chan struct{}         // what may be acted on may have changed
	renewNow chan struct{}
	purse    *purse
	slow     chan struct{} // has a place for each whole record that is being sent

	mu       sync.Mutex
	holder   *configversions.Lessee
	seat     *seat                      // nil for a follower
	founder  *voters.Founder            // what this dispatcher's file says, while it founds or has founded
	leads    *configversions.LeaseTable // nil while it does not lead
	trying   *canary.Evaluation         // nil while it leads no trial
	planner  *failover.Planner          // nil while it does not lead
	treasury *treasury                  // the same, and where nothing is dealt out
	register *gossippeers.Directory     // nil while it does not lead
	planned  string                     // what was said of plans
	planAt   configversions.Clock       // when the leader looks for another one
	turn     int                        // seats that were asked in vain, one after the other
	heard    bool                       // the record is one that entries may follow: on file, or the last answer\'s
	last     string                     // what was applied
	turned   string                     // what was said of a seat that it has not
	news     chan struct{}              // closed when the council's record changes
	counts   Counts
}

// Counts are what the fleet costs this dispatcher.
type Counts struct {
	Calls    uint64 `json:"Calls"`   // to others
	Served   uint64 `json:"Served"`  // of others
	Renewed  uint64 `json:"Renewed"` // leases that it got
	Rejected uint64 `json:"Refused"` // leases that it did not get
}

// New reads what the dispatcher knew at its last end.
func New(o Options) (*Agent, error) {
	s := o.Settings
	lease, err := s.Lease()
	if err != nil {
		return nil, err
	}
	patience, err := s.ReplaceAfterDuration()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(s.Directory, 0o700); err != nil {
		return nil, err
	}
	if s.Zone != "" {
		o.Zone = s.Zone
	}
	if o.Meter == nil {
		o.Meter = &traffic.Meter{}
	}
	a := &Agent{Options: o, s: s, instance: rand.Text(), lease: lease, patience: patience, start: time.Now(), pace: testPace(), form: testForm(), log: o.Log,
		client: newClient(o.Meter), changed: make(chan struct{}, 1), renewNow: make(chan struct{}, 1), slow: make(chan struct{}, 8), news: make(chan struct{})}
	if o.Failover != nil {
		a.trusted, _ = time.ParseDuration(o.Failover.MaxPlanAge) // the operator's file was checked
	}
	a.holder = configversions.NewLessee(o.Name, a.kept())
	a.heard = a.holder.Record().Revision > 0
	a.purse = newPurse(o.Overload, a.among(), a.now())
	return a, nil
}

// testPace has tests give a process a clock that runs faster or slower, within what Drift allows.
func testPace() float64 {
	if pace, err := strconv.ParseFloat(os.Getenv("BRASSDALE_TEST_PACE"), 64); err == nil && pace > 0 {
		return pace
	}
	return 1
}

// testForm has tests make an older build of this one.
func testForm() int {
	if n, err := strconv.Atoi(os.Getenv("BRASSDALE_TEST_FORM")); err == nil && n > 0 && n < form {
		return n
	}
	return form
}

// open takes the dispatcher's address, which a process that this one replaces may still have.
func (a *Agent) open() (err error) {
	if a.listener, err = net.Listen("tcp", a.s.Listen); err != nil {
		return err
	}
	o := gossip.Options{Self: a.self(), ResolveAddress: a.s.reach, Log: a.log, Meter: a.Meter}
	if o.WholeFleet = a.form < formNeighbours; o.WholeFleet {
		o.Seeds = a.s.Voters
	}
	a.members, err = gossip.New(o)
	if err != nil {
		a.listener.Close()
	}
	return err
}

// wait opens, as soon as that can be. Until then the dispatcher holds no lease.
func (a *Agent) wait(ctx context.Context) bool {
	a.settle()
	for said := false; ctx.Err() == nil; {
		err := a.open()
		if err == nil {
			a.log.Info("listening", "front", "council", "address", a.listener.Addr().String(), "seat", a.s.VoterID)
			return true
		}
		if !said {
			a.log.Warn("the fleet is not joined yet", "err", err)
			said = true
		}
		pause(ctx, openEvery)
	}
	return false
}

// pause waits for a span, or for the context's end.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// now is monotonic: a clock that is set back or on moves nothing.
func (a *Agent) now() configversions.Clock {
	return time.Duration(float64(time.Since(a.start)) * a.pace)
}

// address is where the others reach this dispatcher.
func (a *Agent) address() string {
	if a.listener != nil {
		return a.listener.Addr().String()
	}
	return a.s.Listen
}

// self is what it says of itself to the members.
func (a *Agent) self() gossip.Self {
	a.mu.Lock()
	defer a.mu.Unlock()
	return gossip.Self{Name: a.Name, Address: a.address(), Region: a.s.Region, Zone: a.Zone,
		Epoch: a.holder.Record().Epoch, VoterID: a.seat.id(), MessageFormat: a.form}
}

// Effective is what may be acted on now. Who was frozen finds its lease run out.
func (a *Agent) Effective() configversions.Effective {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Effective(a.now())
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run is the agent's life.
func (a *Agent) Run(ctx context.Context) {
	if !a.wait(ctx) {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	server := &http.Server{Handler: a.Meter.Handler(a.handler(), kindOf), ConnContext: traffic.Note, ReadHeaderTimeout: callWithin, ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug)}
	var wait sync.WaitGroup
	wait.Go(func() { _ = server.Serve(a.Meter.Listen(listen.Durable(a.listener, a.log))) })
	wait.Go(func() { a.members.Run(ctx) })
	wait.Go(func() { a.sit(ctx) })
	wait.Go(func() { a.lead(ctx) })
	wait.Go(func() { a.watch(ctx) })
	wait.Go(func() { a.subscribe(ctx) })
	a.renew(ctx)
	a.leave()
	_ = server.Close()
	wait.Wait()
}

// leave drops the lease and says so, so that a successor of the same name need not wait for its end.
func (a *Agent) leave() {
	a.mu.Lock()
	a.holder.DropLease(a.now())
	a.mu.Unlock()
	a.settle()
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(callWithin))
	defer stop()
	q, _ := a.question()
	for _, s := range a.order() {
		if _, status, err := a.post(ctx, s.Address, "leave", q); err == nil && status == http.StatusOK {
			return
		}
	}
}

// watch applies what changes without an answer: a lease that runs out.
func (a *Agent) watch(ctx context.Context) {
	for {
		a.settle()
		a.members.UpdateSelf(a.self())
		a.mu.Lock()
		left := a.holder.LeaseExpiry() - a.now()
		a.mu.Unlock()
		if left <= 0 {
			left = a.lease
		}
		select {
		case <-ctx.Done():
			return
		case <-a.changed:
		case <-time.After(left):
		}
	}
}

// settle has what may be acted on applied, where that has changed.
func (a *Agent) settle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settled()
}

// settled does it; a.mu is held. Whoever takes a record in does this before it lets go of a.mu: what is said to be kept with
// the next question has to be applied by then.
func (a *Agent) settled() {
	s := a.holder.Effective(a.now())
	if text := fmt.Sprint(a.holder.Record().Epoch, s.Versions, s.LeaseExpired); text != a.last { // rules follow from these
		a.last = text
		a.log.Info("acting on", "versions", fmt.Sprint(s.Versions), "lapsed", s.LeaseExpired, "at_ms", time.Now().UnixMilli())
		a.ApplyEffective(s)
	}
	a.settlePlan(s.LeaseExpired)
}

// cutOff tells whether the lease has been gone for longer than the last plan is to be trusted; a.mu is held.
func (a *Agent) cutOff(lapsed bool) bool {
	return lapsed && a.now() >= a.holder.LeaseExpiry()+a.trusted
}

// settlePlan has a plan acted on, where it is another, or where the lease has been gone for too long; a.mu is held.
func (a *Agent) settlePlan(lapsed bool) {
	if a.Failover == nil {
		return
	}
	alone := a.cutOff(lapsed)
	plan, number := a.holder.Record().Plan, uint64(0)
	if plan != nil {
		number = plan.Number
	}
	if text := fmt.Sprint(number, alone); text != a.planned {
		a.planned = text
		a.log.Info("plan", "number", number, "alone", alone, "at_ms", time.Now().UnixMilli())
		a.PlanChanged(plan, alone)
	}
}

// learned takes a record in that came without a lease.
func (a *Agent) learned(r configversions.Record) {
	a.mu.Lock()
	fresh := a.holder.ApplyRecord(r)
	a.settled()
	a.mu.Unlock()
	if fresh {
		a.keep(r)
		wake(a.changed)
		wake(a.renewNow) // it is acknowledged at once
	}
}

func (a *Agent) knownFile() string { return filepath.Join(a.s.Directory, "known.json") }

// kept reads what was known at the last end. What cannot be read is as nothing: the lease is what counts.
func (a *Agent) kept() (r configversions.Record) {
	text, err := os.ReadFile(a.knownFile())
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		a.log.Warn("what the fleet agreed on is not known", "err", err)
		return configversions.Record{}
	}
	return r
}

func (a *Agent) keep(r configversions.Record) {
	text, err := json.Marshal(r.WithoutHistory())
	if err == nil {
		err = renameio.WriteFile(a.knownFile(), text, 0o600)
	}
	if err != nil {
		a.log.Warn("what the fleet agreed on is not kept", "err", err)
	}
}
