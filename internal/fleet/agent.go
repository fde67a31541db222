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
	maxRecordTransfers  = 8 // whole records sent to other dispatchers at the same time
)

// Agent makes a dispatcher a member of the fleet: it holds the dispatcher's lease and applies the versions in force. If the
// dispatcher is a voter, the agent also runs the voter. If the voter leads, the agent also runs the leader's tasks.
//
// Run owns the agent's goroutines. The fields above mu do not change once Run listens, except where a comment names an owner; mu
// guards the fields below it. mu is never held during I/O except log lines. listen sets listener and members. Until Run listens,
// other goroutines must not read listener, and may read members only under mu. AllowUse, Effective, ProposeFile and Status may be
// called from any goroutine once New has returned; only ProposeFile does I/O.
//
// Lock order: mu comes before the locks of budgets, members, the voter's log and the callbacks; none of these is held when mu
// is taken. stopVoter waits for Log.Run, whose callbacks take mu, so it must not be called with mu held.
type Agent struct {
	options               Options
	settings              *Settings
	instance              string // random: distinguishes this process from others of the same name
	leaseDuration         time.Duration
	replaceAfter          time.Duration // silence after which a voter is replaced
	planTrustWithoutLease time.Duration // how long a plan is trusted after the lease has expired
	startedAt             time.Time     // zero of the agent's clock
	clockRate             float64       // of the agent's clock; 1 except in tests
	messageFormat         int           // of this build; lower in tests that run it as an older build
	log                   *slog.Logger
	client                *http.Client
	listener              net.Listener
	members               *gossip.Membership
	budgets               *budgetLessees

	stateChanged    chan struct{} // wakes watchLease
	renewNow        chan struct{} // wakes renewLeases
	recordTransfers chan struct{} // semaphore of capacity maxRecordTransfers

	exchanger  gossippeers.Exchanger  // owned by the goroutine of Run
	reportedAt configversions.Instant // of the last report to the leader; owned by the goroutine of Run

	mu             sync.Mutex
	lessee         *configversions.Lessee
	voter          *ownVoter              // nil for a follower
	founder        *voters.Founder        // read from this dispatcher's voter file; nil if it is not a founder
	leadership     *leadership            // nil while this dispatcher does not lead
	nextPlanAt     configversions.Instant // when the leader next calls Planner.Next
	voterCursor    int                    // failed lease requests since the start; selects the next voter in contactOrder
	recordComplete bool                   // entries may be applied to the record: it came from the disk or from a response
	appliedState   string                 // identifies the arguments of the last call of ApplyEffective
	appliedPlan    string                 // identifies the arguments of the last call of PlanChanged
	lastWarning    string                 // last message that warnOnce logged
	recordChanged  chan struct{}          // closed and replaced by logApplied; wakes awaitRevision and serveWatch (not raftlog's callback RecordChanged)
	counts         Counts
}

// Counts are this dispatcher's calls to and from other dispatchers since the start.
type Counts struct {
	Calls    uint64 `json:"Calls"`   // to other dispatchers
	Served   uint64 `json:"Served"`  // from other dispatchers
	Renewed  uint64 `json:"Renewed"` // leases granted to this dispatcher
	Rejected uint64 `json:"Refused"` // lease requests of this dispatcher that failed
}

// New creates the agent of a dispatcher and loads the record that the previous process stored. The agent is idle until Run.
// New fails if a duration in the settings is invalid or their directory cannot be created.
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

// Run takes part in the fleet until the context ends. Then it drops the lease and notifies the leader, so that a successor of the
// same name need not wait for the lease to run out. It returns when all of the agent's goroutines have ended.
func (a *Agent) Run(ctx context.Context) {
	if !a.awaitListener(ctx) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Handler:           a.options.Meter.Handler(a.handler(), trafficKind),
		ConnContext:       traffic.ConnContext,
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
	_ = server.Close() // the process ends, so an error has no consequence
	running.Wait()
}

// awaitListener retries listen until it succeeds, because a predecessor process may still use the address. It returns false if
// the context ends first. Until it returns, the dispatcher holds no lease.
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

// listen opens the dispatcher's address, with TCP and (for gossip) with UDP.
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

// self returns the description of this dispatcher that gossip sends to the others.
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

// address returns the address at which other dispatchers reach this one.
func (a *Agent) address() string {
	if a.listener != nil {
		return a.listener.Addr().String()
	}
	return a.settings.Listen
}

// now returns the time since the agent's start. It is monotonic: setting the machine's clock does not change it.
func (a *Agent) now() configversions.Instant {
	return time.Duration(float64(time.Since(a.startedAt)) * a.clockRate)
}

// maxDispatchers returns the largest number of dispatchers that the fleet may have, at least 1.
func (a *Agent) maxDispatchers() int {
	if a.options.MaxDispatchers == nil {
		return 1
	}
	return max(a.options.MaxDispatchers(), 1)
}

// planningEnabled reports whether the fleet plans the failover between zones.
func (a *Agent) planningEnabled() bool { return a.options.Failover != nil }

// currentPlan returns the plan of a record and its number; nil and 0 if it has none.
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

// wake puts a token into a channel of capacity 1, unless it already contains one.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
