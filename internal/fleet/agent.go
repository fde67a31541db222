package fleet

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/fleet/gossip"
	"brassdale/internal/listen"
	"brassdale/internal/traffic"
)

const (
	listenRetryInterval = 200 * time.Millisecond
	maxRecordTransfers  = 8 // whole records that are sent to others at a time
)

// Agent is a dispatcher's part in the fleet: it holds the dispatcher's lease, applies what is in force and, where the
// dispatcher is a voter, runs the voter and, where that leads, does the leader's work.
//
// Run owns the agent's goroutines. The fields above mu do not change once Run listens, except where a comment names an owner;
// mu guards those below it. mu is never held during I/O, but for log lines. listener and members are set by listen; until Run
// listens, only its goroutine may read them, but for members under mu. AllowUse, Effective, ProposeFile and Status may be
// called from any goroutine once New has returned; only ProposeFile does I/O.
//
// Lock order: mu comes before the locks of budgets, members, the voter's log and what the callbacks lock; none of them is held when
// mu is taken. stopVoter waits for Log.Run, whose callbacks take mu, so it must not be called with mu held.
type Agent struct {
	options               Options
	settings              *Settings
	instance              string // drawn at the start: distinguishes this process from others of its name
	leaseDuration         time.Duration
	replaceAfter          time.Duration // after which a silent voter is replaced
	planTrustWithoutLease time.Duration // for which a plan is trusted without a lease
	startedAt             time.Time     // where the agent's clock begins
	clockRate             float64       // of the agent's clock; 1 but in tests
	messageFormat         int           // of this build; lower in tests that stand for an older one
	log                   *slog.Logger
	client                *http.Client
	listener              net.Listener
	members               *gossip.Membership
	budgets               *budgetLessees

	stateChanged    chan struct{} // wakes watchLease
	renewNow        chan struct{} // wakes renewLeases
	recordTransfers chan struct{} // a semaphore of maxRecordTransfers

	exchanger  gossippeers.Exchanger  // owned by the goroutine of Run
	reportedAt configversions.Instant // of the last report to the leader; owned by the goroutine of Run

	mu             sync.Mutex
	lessee         *configversions.Lessee
	voter          *ownVoter              // nil for a follower
	founder        *voters.Founder        // what this dispatcher's file says; nil where it is no founder
	leadership     *leadership            // nil while this dispatcher does not lead
	nextPlanAt     configversions.Instant // when the leader next calls Planner.Next
	voterCursor    int                    // voters that were asked in vain since the start: whose turn it is in contactOrder
	recordComplete bool                   // entries may follow the record: it is of the disk or of a response, not the empty one
	appliedState   string                 // identifies what ApplyEffective was last called with
	appliedPlan    string                 // the same of PlanChanged
	lastWarning    string                 // that warnOnce logged
	recordChanged  chan struct{}          // closed and replaced by logApplied; wakes awaitRevision and serveWatch (not raftlog's callback of that name)
	counts         Counts
}

// Counts are this dispatcher's calls to and from others, since the start.
type Counts struct {
	Calls    uint64 `json:"Calls"`   // to others
	Served   uint64 `json:"Served"`  // of others
	Renewed  uint64 `json:"Renewed"` // leases that it was granted
	Rejected uint64 `json:"Refused"` // requests for a lease that were not granted
}

// New creates the agent of a dispatcher, with the record that it knew when its last process ended. It does nothing before Run.
func New(options Options) (*Agent, error) {
	settings := options.Settings
	leaseDuration, err := settings.Lease()
	if err != nil {
		return nil, err
	}
	replaceAfter, err := settings.ReplaceAfterDuration()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(settings.Directory, 0o700); err != nil {
		return nil, err
	}
	if settings.Zone != "" {
		options.Zone = settings.Zone
	}
	if options.Meter == nil {
		options.Meter = &traffic.Meter{}
	}
	agent := &Agent{
		options:         options,
		settings:        settings,
		instance:        rand.Text(),
		leaseDuration:   leaseDuration,
		replaceAfter:    replaceAfter,
		startedAt:       time.Now(),
		clockRate:       testClockRate(),
		messageFormat:   testMessageFormat(),
		log:             options.Log,
		client:          newClient(options.Meter),
		stateChanged:    make(chan struct{}, 1),
		renewNow:        make(chan struct{}, 1),
		recordTransfers: make(chan struct{}, maxRecordTransfers),
		recordChanged:   make(chan struct{}),
	}
	if options.Failover != nil {
		agent.planTrustWithoutLease = checkedDuration(options.Failover.MaxTimeWithoutLease)
	}
	agent.lessee = configversions.NewLessee(options.Name, agent.loadRecord())
	agent.recordComplete = agent.lessee.Record().Revision > 0
	agent.budgets = newBudgetLessees(options.Overload, agent.maxDispatchers(), agent.now)
	return agent, nil
}

// testClockRate lets tests give a process a clock that runs faster or slower, within configversions.MaxClockDrift.
func testClockRate() float64 {
	rate, err := strconv.ParseFloat(os.Getenv("BRASSDALE_TEST_PACE"), 64)
	if err != nil || rate <= 0 {
		return 1
	}
	return rate
}

// testMessageFormat lets tests run this build as an older one.
func testMessageFormat() int {
	format, err := strconv.Atoi(os.Getenv("BRASSDALE_TEST_FORM"))
	if err != nil || format <= 0 || format >= messageFormat {
		return messageFormat
	}
	return format
}

// Run takes part in the fleet until the context ends; then it drops the lease and notifies the leader, so that a successor of the
// same name need not wait for the lease to run out. It returns when all of the agent's goroutines have ended.
func (a *Agent) Run(ctx context.Context) {
	if !a.awaitListener(ctx) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Handler:           a.options.Meter.Handler(a.handler(), trafficKind),
		ConnContext:       traffic.Note,
		ReadHeaderTimeout: callTimeout,
		ErrorLog:          slog.NewLogLogger(a.log.Handler(), slog.LevelDebug),
	}
	listener := a.options.Meter.Listen(listen.Durable(a.listener, a.log))
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) }) // ends with http.ErrServerClosed
	running.Go(func() { a.members.Run(ctx) })
	running.Go(func() { a.manageVoter(ctx) })
	running.Go(func() { a.runLeaderTasks(ctx) })
	running.Go(func() { a.watchLease(ctx) })
	running.Go(func() { a.followRecord(ctx) })
	a.renewLeases(ctx)
	a.releaseLease(context.WithoutCancel(ctx))
	_ = server.Close() // the process ends; nothing is left to do about its connections
	running.Wait()
}

// awaitListener listens as soon as that is possible, which a predecessor process may prevent for a while. It returns false
// when the context ends first. Until then the dispatcher holds no lease.
func (a *Agent) awaitListener(ctx context.Context) bool {
	a.applyState()
	logged := false
	for ctx.Err() == nil {
		err := a.listen()
		if err == nil {
			a.log.Info("listening", "front", "council", "address", a.listener.Addr().String(), "voter_id", a.settings.VoterID)
			return true
		}
		if !logged {
			a.log.Warn("fleet not joined yet", "err", err)
			logged = true
		}
		sleep(ctx, listenRetryInterval)
	}
	return false
}

// listen takes the dispatcher's TCP and UDP address.
func (a *Agent) listen() (err error) {
	if a.listener, err = net.Listen("tcp", a.settings.Listen); err != nil {
		return err
	}
	options := gossip.Options{
		Self:           a.self(),
		ResolveAddress: a.settings.resolve,
		Log:            a.log,
		Meter:          a.options.Meter,
		WholeFleet:     a.messageFormat < zoneGossipFormat,
	}
	if options.WholeFleet {
		options.Seeds = a.settings.Voters
	}
	members, err := gossip.New(options)
	if err != nil {
		_ = a.listener.Close() // the error of gossip.New is the one to report
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members = members
	return nil
}

// self is what this dispatcher says of itself in gossip.
func (a *Agent) self() gossip.Metadata {
	a.mu.Lock()
	defer a.mu.Unlock()
	return gossip.Metadata{
		Name:          a.options.Name,
		Address:       a.address(),
		Region:        a.settings.Region,
		Zone:          a.options.Zone,
		Epoch:         a.lessee.Record().Epoch,
		VoterID:       a.voter.id(),
		MessageFormat: a.messageFormat,
	}
}

// address is where the others reach this dispatcher.
func (a *Agent) address() string {
	if a.listener != nil {
		return a.listener.Addr().String()
	}
	return a.settings.Listen
}

// now is the time since the agent's start. It is monotonic: setting the machine's clock does not change it.
func (a *Agent) now() configversions.Instant {
	return time.Duration(float64(time.Since(a.startedAt)) * a.clockRate)
}

// maxDispatchers is the largest number of dispatchers that the fleet may have, at least 1.
func (a *Agent) maxDispatchers() int {
	if a.options.MaxDispatchers == nil {
		return 1
	}
	return max(a.options.MaxDispatchers(), 1)
}

// planningEnabled reports whether the fleet plans the failover between zones.
func (a *Agent) planningEnabled() bool { return a.options.Failover != nil }

// currentPlan returns the plan of a record and its number; nil and 0 where there is none.
func currentPlan(record configversions.Record) (plan *failover.Plan, number uint64) {
	if record.Plan == nil {
		return nil, 0
	}
	return record.Plan, record.Plan.Number
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// wake puts a token into a channel of capacity 1, where it has none.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
