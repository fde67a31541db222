package raftlog

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// cluster is a raft group in one process, with a network between its voters that drops what a test says. mu guards all fields
// below it.
type cluster struct {
	t             *testing.T
	founders      int
	dirs          []string
	mu            sync.Mutex
	logs          []*Log // by voter ID; nil while the voter is down
	stops         []context.CancelFunc
	ends          []chan error
	drop          func(from, to int) bool
	dropSnapshots int // the next ones, to any voter
}

const voterIDLimit = 8 // all voter IDs are below it

func founders(n int) (all []voters.Voter) {
	for i := range n {
		all = append(all, voters.Voter{ID: uint64(i + 1), Address: fmt.Sprint("a", i+1)})
	}
	return all
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, founders: n, logs: make([]*Log, voterIDLimit), stops: make([]context.CancelFunc, voterIDLimit), ends: make([]chan error, voterIDLimit),
		dirs: make([]string, voterIDLimit), drop: func(int, int) bool { return false }}
	for id := 1; id < voterIDLimit; id++ {
		if c.dirs[id] = t.TempDir(); id <= n {
			c.start(id)
		}
	}
	t.Cleanup(func() {
		for id := 1; id < voterIDLimit; id++ {
			c.stop(id)
		}
	})
	return c
}

func (c *cluster) start(id int) {
	c.t.Helper()
	var first []voters.Voter
	if id <= c.founders {
		first = founders(c.founders)
	}
	log, err := Open(Options{VoterID: uint64(id), Founders: first, Directory: c.dirs[id], RecordChanged: func(configversions.Record) {}, LeadershipChanged: func(bool) {},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), SnapshotEvery: 30, Send: func(receiver uint64, m []byte) {
			to := int(receiver)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.dropSnapshots > 0 {
				var sent raftpb.Message
				if proto.Unmarshal(m, &sent) == nil && sent.GetType() == raftpb.MsgSnap {
					c.dropSnapshots--
					return
				}
			}
			if to < len(c.logs) && c.logs[to] != nil && c.logs[id] != nil && !c.drop(id, to) {
				c.logs[to].Step(m)
			}
		}})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error, 1)
	c.mu.Lock()
	c.logs[id], c.stops[id], c.ends[id] = log, stop, end
	c.mu.Unlock()
	go func() { end <- log.Run(ctx) }()
}

// stop ends a voter.
func (c *cluster) stop(id int) {
	c.mu.Lock()
	l, stop, end := c.logs[id], c.stops[id], c.ends[id]
	c.logs[id] = nil
	c.mu.Unlock()
	if l == nil {
		return
	}
	stop()
	if err := <-end; err != nil {
		c.t.Errorf("voter %d: %v", id, err)
	}
}

func (c *cluster) dropMessages(drop func(from, to int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop = drop
}

func (c *cluster) log(id int) *Log {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logs[id]
}

// leader waits until a majority confirms a leader, and returns it.
func (c *cluster) leader() (int, *Log) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for id := range c.logs {
			if l := c.log(id); l != nil {
				ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(300*time.Millisecond))
				err := l.Confirm(ctx)
				stop()
				if err == nil {
					return id, l
				}
			}
		}
	}
	c.t.Fatal("no leader was confirmed")
	return 0, nil
}

// propose has an entry applied, whichever voter leads.
func (c *cluster) propose(e configversions.Entry) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		_, l := c.leader()
		ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
		err := l.Propose(ctx, e)
		stop()
		if err == nil {
			return
		}
		if _, again := l.Record().Apply(e); again != nil && l.Record().Revision > 0 {
			return // it was applied, though the result was lost
		}
	}
	c.t.Fatal("the entry was never applied")
}

func (c *cluster) awaitRevision(revision uint64, ids ...int) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		all := true
		for _, id := range ids {
			all = all && c.log(id).Record().Revision >= revision
		}
		if all {
			for _, id := range ids {
				if a, b := text(c.log(id).Record()), text(c.log(ids[0]).Record()); a != b && c.log(id).Record().Revision == c.log(ids[0]).Record().Revision {
					c.t.Errorf("voter %d has %s, voter %d has %s", id, a, ids[0], b)
				}
			}
			return
		}
	}
	c.t.Fatalf("revision %d was never applied at all of the voters %v", revision, ids)
}

func text(r configversions.Record) string {
	text, _ := json.Marshal(r)
	return string(text)
}

func announce(base uint64) configversions.Entry {
	return configversions.Entry{ID: fmt.Sprint("a", base), Announce: &configversions.Version{Number: base, Rules: configversions.Rules{RetryRatio: 0.1, RetriesAllowed: true}}}
}

// TestPropose_leaderStopsBetweenTheSteps stops the leader between announcing a version and putting it in force, and starts it
// again: the next leader continues, and all voters have the same record. Then all restart, one with an empty disk.
func TestPropose_leaderStopsBetweenTheSteps(t *testing.T) {
	group := newCluster(t, 3)
	group.propose(announce(0))
	old, _ := group.leader()
	group.stop(old)
	group.propose(configversions.Entry{ID: "f1", PutInForce: 1})
	group.start(old)
	group.awaitRevision(3, 1, 2, 3)
	for id := 1; id <= 3; id++ {
		group.stop(id)
	}
	if err := os.Remove(Path(group.dirs[old], uint64(old))); err != nil {
		t.Fatal(err)
	}
	for id := 1; id <= 3; id++ {
		group.start(id)
	}
	group.propose(announce(1))
	group.awaitRevision(4, 1, 2, 3)
}

// TestConfirm_partition cuts two of five voters off, the leader among them: it confirms nothing, and the other three go on.
// Once the partition heals all voters have the same record.
func TestConfirm_partition(t *testing.T) {
	group := newCluster(t, 5)
	group.propose(announce(0))
	old, l := group.leader()
	other := old%5 + 1
	apart := func(id int) bool { return id == old || id == other }
	group.dropMessages(func(from, to int) bool { return apart(from) != apart(to) })
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(700*time.Millisecond))
	if err := l.Confirm(ctx); err == nil {
		t.Error("a leader without a majority was confirmed")
	}
	stop()
	group.propose(configversions.Entry{ID: "f1", PutInForce: 1})
	group.dropMessages(func(int, int) bool { return false })
	group.awaitRevision(3, 1, 2, 3, 4, 5)
}

// TestConfirm_manyCallersShareMessages has many callers confirm the leader at once: all are answered, by fewer messages to the
// other voters than there are callers.
func TestConfirm_manyCallersShareMessages(t *testing.T) {
	group := newCluster(t, 3)
	const many = 300
	for end := time.Now().Add(20 * time.Second); ; { // on a busy machine the leadership may move meanwhile: try again then
		id, leader := group.leader()
		var mu sync.Mutex
		sent := 0
		group.dropMessages(func(from, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			if from == id {
				sent++
			}
			return false
		})
		answers := make(chan error, many)
		for range many {
			go func() {
				ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(5*time.Second))
				defer stop()
				answers <- leader.Confirm(ctx)
			}()
		}
		var failed error
		for range many {
			if err := <-answers; err != nil {
				failed = err
			}
		}
		mu.Lock()
		few := sent <= many
		mu.Unlock()
		if failed == nil && few {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d messages of the leader for %d callers, error %v", sent, many, failed)
		}
	}
}

// TestLog_messageLoss drops a tenth of all messages, over a log long enough for snapshots: a voter that was down catches up.
func TestLog_messageLoss(t *testing.T) {
	group := newCluster(t, 3)
	leader, _ := group.leader()
	behind := leader%3 + 1
	group.stop(behind)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(5, 5))
	group.dropMessages(func(int, int) bool { mu.Lock(); defer mu.Unlock(); return rng.Float64() < 0.1 })
	for n := range uint64(retainedEntries) {
		group.propose(announce(n))
		group.propose(configversions.Entry{ID: fmt.Sprint("f", n+1), PutInForce: n + 1})
	}
	group.start(behind)
	group.awaitRevision(2*retainedEntries+1, 1, 2, 3)
	if got := group.log(behind).Record(); got.InForce.Number != retainedEntries || len(got.History) == 0 {
		t.Errorf("caught up to version %d with %d in its history", got.InForce.Number, len(got.History))
	}
}

// TestLog_snapshotsLost drops the first snapshots to a voter that was down: it catches up under the same leader.
func TestLog_snapshotsLost(t *testing.T) {
	group := newCluster(t, 3)
	leader, _ := group.leader()
	behind := leader%3 + 1
	group.stop(behind)
	for n := range uint64(retainedEntries) {
		group.propose(announce(n))
		group.propose(configversions.Entry{ID: fmt.Sprint("f", n+1), PutInForce: n + 1})
	}
	group.mu.Lock()
	group.dropSnapshots = 2
	group.mu.Unlock()
	group.start(behind)
	group.awaitRevision(2*retainedEntries+1, 1, 2, 3)
}

// changeVoters has a change of the voters proposed until the record shows it, whichever voter leads.
func (c *cluster) changeVoters(change voters.Change, done func(configversions.Record) bool) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		_, leader := c.leader()
		if done(leader.Record()) {
			return
		}
		ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
		err := leader.ChangeVoters(ctx, change)
		stop()
		if time.Now().After(end) {
			c.t.Fatalf("%+v: %v, %+v", change, err, leader.Record().Voters)
		}
	}
}

// has returns a condition: the record has a voter, or a learner, of that ID.
func has(id uint64, learner bool) func(configversions.Record) bool {
	return func(record configversions.Record) bool {
		return slices.ContainsFunc(record.Voters, func(voter voters.Voter) bool { return voter.ID == id && voter.Learner == learner })
	}
}

// awaitCaughtUp waits until the leader sees that the learner n4 has all entries, and that another voter is silent.
func (c *cluster) awaitCaughtUp(learner, silent int) {
	c.t.Helper()
	_, leader := c.leader()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		statuses := leader.VoterStatuses()
		l := slices.IndexFunc(statuses, func(status voters.Status) bool { return status.ID == uint64(learner) })
		s := slices.IndexFunc(statuses, func(status voters.Status) bool { return status.ID == uint64(silent) })
		if l >= 0 && s >= 0 && statuses[l].Learner && statuses[l].Name == "n4" && statuses[l].EntriesBehind == 0 &&
			statuses[l].SilentFor < time.Second && statuses[s].SilentFor > time.Second {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("%+v", statuses)
		}
	}
}

// checkUpdateSince checks that a follower that lacks the last entry, an announcement, gets that entry, and one of another epoch
// the whole record.
func checkUpdateSince(t *testing.T, log *Log) {
	t.Helper()
	now := log.Record()
	update := log.UpdateSince(0, now.Revision-1)
	before := now
	before.Revision, before.Announced = now.Revision-1, nil
	if after, err := before.Apply(update.Entries[0]); len(update.Entries) != 1 || update.Record != nil || err != nil || text(after) != text(now) {
		t.Errorf("%+v", update)
	}
	if log.UpdateSince(9, now.Revision-1).Record == nil {
		t.Error("entries of another epoch were returned")
	}
}

// TestChangeVoters_replaceAndRecover replaces a voter that is gone for good by a learner, after which the group survives the
// loss of another one; the replaced voter comes back and changes nothing. Then all but one are gone, and a group is recovered
// from the file of that one.
func TestChangeVoters_replaceAndRecover(t *testing.T) {
	group := newCluster(t, 3)
	group.propose(announce(0))
	lead, _ := group.leader()
	gone := lead%3 + 1
	group.stop(gone)
	const fresh = 4
	learner := &voters.Voter{ID: fresh, Name: "n4", Address: "a4", Learner: true}
	group.changeVoters(voters.Change{AddLearner: learner}, has(fresh, true))
	group.start(fresh)
	group.propose(configversions.Entry{ID: "f1", PutInForce: 1})
	group.awaitRevision(group.log(lead).Record().Revision, lead, fresh)
	group.awaitCaughtUp(fresh, gone)
	group.changeVoters(voters.Change{Promote: fresh, Remove: uint64(gone)}, func(r configversions.Record) bool { return has(fresh, false)(r) && len(r.Voters) == 3 })
	other := 6 - lead - gone
	group.stop(other)
	group.start(gone) // with the votes on its file
	group.propose(announce(1))
	group.awaitRevision(group.log(lead).Record().Revision, lead, fresh)
	checkUpdateSince(t, group.log(lead))
	for _, id := range []int{gone, lead, fresh} {
		group.stop(id)
	}
	r, err := Recover(group.dirs[fresh], fresh, "n4", "a4")
	if err != nil || r.Epoch != 1 || r.InForce.Number != 3 || r.Announced != nil || len(r.Withdrawn) != 1 || len(r.Voters) != 1 || r.NextVoterID != 5 {
		t.Fatalf("%v, %+v", err, r)
	}
	group.start(fresh)
	group.propose(announce(3))
	if r := group.log(fresh).Record(); r.Epoch != 1 || r.Announced == nil {
		t.Errorf("%+v", r)
	}
}

// TestRun_diskFault checks that a voter whose disk fails stops rather than acknowledge anything; the others go on, and with its
// file back it catches up. A truncated file is not opened, as the votes in it are unknown.
func TestRun_diskFault(t *testing.T) {
	group := newCluster(t, 3)
	group.propose(announce(0))
	lead, _ := group.leader()
	group.mu.Lock()
	l, end := group.logs[lead], group.ends[lead]
	group.mu.Unlock()
	if err := l.store.close(); err != nil { // like a disk that fails all writes
		t.Fatal(err)
	}
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(10*time.Second))
	defer stop()
	if err := l.Propose(ctx, configversions.Entry{ID: "f1", PutInForce: 1}); err == nil {
		t.Error("the entry was applied without a disk")
	}
	if err := <-end; err == nil {
		t.Error("Run ended without an error")
	}
	group.mu.Lock()
	group.logs[lead] = nil
	group.mu.Unlock()
	group.propose(configversions.Entry{ID: "f1 again", PutInForce: 1})
	group.start(lead)
	group.propose(announce(1))
	group.awaitRevision(4, 1, 2, 3)

	group.stop(lead)
	path := Path(group.dirs[lead], uint64(lead))
	for _, left := range []int64{1, 4096, 9000} {
		if err := os.Truncate(path, left); err != nil {
			t.Fatal(err)
		}
		torn, err := Open(Options{VoterID: uint64(lead), Founders: founders(3), Directory: group.dirs[lead], Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err == nil {
			_ = torn.store.close() // the test has failed already
			t.Errorf("a file of %d bytes was opened", left)
		}
		if err := os.Truncate(path, 32768); err != nil {
			t.Fatal(err)
		}
	}
}

// TestOpenFounder checks that a founder's file retains its incarnation and the founding voters.
func TestOpenFounder(t *testing.T) {
	dir := t.TempDir()
	a, err := OpenFounder(dir, 1, nil)
	if err != nil || a.Incarnation == "" || a.FoundingVoters != nil {
		t.Fatalf("%+v, %v", a, err)
	}
	roll := map[uint64]string{1: a.Incarnation, 2: "x", 3: "y"}
	if _, err := OpenFounder(dir, 1, roll); err != nil {
		t.Fatal(err)
	}
	if b, err := OpenFounder(dir, 1, nil); err != nil || b.Incarnation != a.Incarnation || len(b.FoundingVoters) != 3 {
		t.Errorf("%+v, %v", b, err)
	}
}

// TestOpen_otherFounders checks that a file of a group with another number of founders is rejected, and so is a voter ID that
// is not a founder's.
func TestOpen_otherFounders(t *testing.T) {
	dir := t.TempDir()
	open := func(id, voters int) error {
		l, err := Open(Options{VoterID: uint64(id), Founders: founders(voters), Directory: dir, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err == nil {
			_ = l.store.close() // it was opened, and that is all that counts here
		}
		return err
	}
	if err := open(1, 3); err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][2]int{{1, 5}, {0, 3}, {4, 3}} {
		if open(bad[0], bad[1]) == nil {
			t.Errorf("voter %d of %d founders was opened", bad[0], bad[1])
		}
	}
}

// FuzzStep passes a voter bytes that no voter sends.
func FuzzStep(f *testing.F) {
	f.Add([]byte{8, 3, 16, 1, 24, 2, 32, 9})
	f.Add([]byte("no message"))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Open(Options{VoterID: 1, Founders: founders(3), Directory: t.TempDir(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Send: func(uint64, []byte) {}, RecordChanged: func(configversions.Record) {}, LeadershipChanged: func(bool) {}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		end := make(chan error, 1)
		go func() { end <- l.Run(ctx) }()
		l.Step(text)
		asking, enough := context.WithDeadline(ctx, time.Now().Add(time.Second))
		_ = l.Propose(asking, announce(0))
		enough()
		stop()
		if err := <-end; err != nil {
			t.Fatal(err)
		}
	})
}
