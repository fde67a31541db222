package scale

import (
	"context"
	"fmt"
	"maps"
	"regexp"
	"sync"
	"time"

	"brassdale/internal/labsupport"
	"brassdale/internal/traffic"
)

// controlCounts is a dispatcher's counts of control traffic, by the name of the kind.
type controlCounts = map[string]traffic.Count

// snapshot is all counters of a run at one moment.
type snapshot struct {
	at              time.Time
	control         map[string]controlCounts        // by dispatcher
	pids            map[string]int                  // of the dispatcher's process, by dispatcher
	processSizes    map[int]int                     // number of dispatchers, by process
	voters          map[string]bool                 // dispatchers that are voters
	leader          string                          // of the raft group; empty if there is none
	usage           map[int]labsupport.ProcessUsage // by process
	machine         machineCounters
	lateTicks       []lateTick    // of this process and the hollow processes, since their start
	pollTraffic     traffic.Count // of the run itself
	proposalTraffic traffic.Count // of the run itself
	linkTraffic     traffic.Count // if CountLinks is set
}

// snapshotBuilder collects a snapshot from several goroutines.
type snapshotBuilder struct {
	mu          sync.Mutex
	snapshot    snapshot
	leaderSince time.Time
}

// takeSnapshot reads all counters. The error names the dispatchers and processes that did not respond; the snapshot leaves these out.
func (r *run) takeSnapshot(ctx context.Context) (snapshot, error) {
	builder := &snapshotBuilder{snapshot: snapshot{
		control: map[string]controlCounts{}, pids: map[string]int{}, processSizes: map[int]int{}, voters: map[string]bool{},
		usage: map[int]labsupport.ProcessUsage{}, lateTicks: r.stalls.lateTicks(),
	}}
	started := &builder.snapshot
	var err error
	if started.machine, err = readMachineCounters(); err != nil {
		return *started, err
	}
	started.pollTraffic, started.proposalTraffic = r.polls.total(), r.proposals.total()
	started.linkTraffic = traffic.Total(r.links.meter.Counts())
	started.at = time.Now()
	var polls []func() error
	for _, each := range r.running() {
		if !each.hollow {
			polls = append(polls, func() error { return r.pollReal(ctx, builder, each) })
		}
	}
	for _, process := range r.runningHollowProcesses() {
		polls = append(polls, func() error { return r.pollHollow(ctx, builder, process) })
	}
	err = inParallel(polls)
	return builder.snapshot, err
}

// pollReal adds a real dispatcher. It is polled at its admin API, whose traffic is not part of control.
func (r *run) pollReal(ctx context.Context, builder *snapshotBuilder, polled dispatcher) error {
	vars, err := r.polls.get(ctx, "http://"+polled.process.Admin+"/_vars")
	if err != nil {
		return fmt.Errorf("%s: %w", polled.name, err)
	}
	states := map[string]raftState{polled.name: raftStateFromLog(polled.process.Log())}
	return builder.addProcess(polled.process.Pid(), map[string]controlCounts{polled.name: parseVars(string(vars))}, states, nil)
}

// pollHollow adds a hollow process.
func (r *run) pollHollow(ctx context.Context, builder *snapshotBuilder, process *hollowProcess) error {
	var counts hollowCounts
	if err := r.polls.getJSON(ctx, process.url(countsPath), &counts); err != nil {
		return fmt.Errorf("hollow process: %w", err)
	}
	return builder.addProcess(process.command.Process.Pid, counts.Control, counts.RaftStates, counts.LateTicks)
}

// addProcess adds the counts and raft states of a process's dispatchers, and the process's resource usage.
func (b *snapshotBuilder) addProcess(pid int, control map[string]controlCounts, states map[string]raftState, late []lateTick) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.snapshot.lateTicks = append(b.snapshot.lateTicks, late...)
	for name, state := range states {
		if state.Voter {
			b.snapshot.voters[name] = true
		}
		if state.LeaderSince.After(b.leaderSince) {
			b.snapshot.leader, b.leaderSince = name, state.LeaderSince
		}
	}
	usage, err := labsupport.ReadProcessUsage(pid)
	if err != nil {
		return err
	}
	b.snapshot.usage[pid], b.snapshot.processSizes[pid] = usage, len(control)
	maps.Copy(b.snapshot.control, control)
	for name := range control {
		b.snapshot.pids[name] = pid
	}
	return nil
}

// takeSnapshots takes a snapshot every second until the end of the span. It skips a snapshot that would be more than a second late.
func (r *run) takeSnapshots(ctx context.Context, end time.Time) {
	for due := r.beganAt; due.Before(end); due = due.Add(snapshotInterval) {
		if !labsupport.WaitUntil(ctx, due) {
			return
		}
		if time.Since(due) > snapshotInterval {
			continue
		}
		taken, err := r.takeSnapshot(ctx)
		if err != nil && len(taken.usage) == 0 { // a fault may have killed some dispatchers, but not all
			continue
		}
		r.mu.Lock()
		r.snapshots = append(r.snapshots, taken)
		r.mu.Unlock()
	}
}

// controlVar matches the counters of control in /_vars.
var controlVar = regexp.MustCompile(`(?m)^control_(\w+)_(sent|received|messages)=(\d+)$`)

// parseVars returns the counts of control in the text of /_vars.
func parseVars(text string) controlCounts {
	counts := controlCounts{}
	for _, match := range controlVar.FindAllStringSubmatch(text, -1) {
		kind, number := match[1], uint64(labsupport.ParseNumber(match[3]))
		count := counts[kind]
		switch match[2] {
		case "sent":
			count.Sent = number
		case "received":
			count.Received = number
		default:
			count.Messages = number
		}
		counts[kind] = count
	}
	return counts
}

// subtractCounts returns the differences of the counts in two snapshots of the same process.
func subtractCounts(after, before controlCounts) controlCounts {
	counts := controlCounts{}
	for kind, a := range after {
		b := before[kind]
		counts[kind] = traffic.Count{Sent: a.Sent - b.Sent, Received: a.Received - b.Received, Messages: a.Messages - b.Messages}
	}
	return counts
}

// controlBetween returns a dispatcher's counts between two snapshots, and false unless the same process ran the dispatcher at both.
func controlBetween(before, after snapshot, name string) (controlCounts, bool) {
	pid, runs := after.pids[name]
	if earlier, ran := before.pids[name]; !runs || !ran || earlier != pid {
		return nil, false
	}
	return subtractCounts(after.control[name], before.control[name]), true
}

// cpuBetween returns a dispatcher's share of the milliseconds of processor time that its process used between two snapshots. It returns 0
// unless the same process ran the dispatcher at both.
func cpuBetween(before, after snapshot, name string) float64 {
	pid := after.pids[name]
	earlier, ran := before.usage[pid]
	usage, runs := after.usage[pid]
	if !ran || !runs || before.pids[name] != pid {
		return 0
	}
	return (usage.CPUMS - earlier.CPUMS) / float64(max(after.processSizes[pid], 1))
}

// controlBytesSince returns the bytes that a dispatcher counted between two snapshots. If the dispatcher was started between them, it
// returns the bytes counted since then.
func controlBytesSince(before, after snapshot, name string) uint64 {
	if counts, same := controlBetween(before, after, name); same {
		return traffic.Total(counts).Bytes()
	}
	return traffic.Total(after.control[name]).Bytes()
}

// cpuSince returns the milliseconds of processor time that a dispatcher used between two snapshots. If the dispatcher was started between
// them, it returns the time used since then.
func cpuSince(before, after snapshot, name string) float64 {
	pid := after.pids[name]
	if before.pids[name] == pid {
		return cpuBetween(before, after, name)
	}
	return after.usage[pid].CPUMS / float64(max(after.processSizes[pid], 1))
}
