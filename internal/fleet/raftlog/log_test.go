package raftlog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"brassdale/internal/decisions/configversions"
)

// TestPropose_leaderStopsBeforePuttingInForce stops the leader after it has announced a version and before it puts the version in force,
// and restarts it later: the next leader puts the version in force, and all voters have the same record. Then all voters restart, one
// without its file, and apply another entry.
func TestPropose_leaderStopsBeforePuttingInForce(t *testing.T) {
	group := newCluster(t, 3)
	group.propose(announce(0))
	oldLeaderID, _ := group.leader()
	group.stop(oldLeaderID)
	group.propose(configversions.Entry{ID: "f1", PutInForce: 1})
	group.start(oldLeaderID)
	group.awaitRevision(3, 1, 2, 3)
	for id := 1; id <= 3; id++ {
		group.stop(id)
	}
	if err := os.Remove(Path(group.dirs[oldLeaderID], uint64(oldLeaderID))); err != nil {
		t.Fatal(err)
	}
	for id := 1; id <= 3; id++ {
		group.start(id)
	}
	group.propose(announce(1))
	group.awaitRevision(4, 1, 2, 3)
}

// TestConfirm_partition separates the leader and one other voter from the other three of five: Confirm fails at the old leader, and the
// other three elect a leader and apply an entry. After the partition all voters have the same record.
func TestConfirm_partition(t *testing.T) {
	group := newCluster(t, 5)
	group.propose(announce(0))
	oldLeaderID, oldLeader := group.leader()
	otherID := oldLeaderID%5 + 1
	separated := func(id int) bool { return id == oldLeaderID || id == otherID }
	group.dropMessages(func(from, to int) bool { return separated(from) != separated(to) })
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(700*time.Millisecond))
	if err := oldLeader.Confirm(ctx); err == nil {
		t.Error("a leader without a majority was confirmed")
	}
	stop()
	group.propose(configversions.Entry{ID: "f1", PutInForce: 1})
	group.dropMessages(func(int, int) bool { return false })
	group.awaitRevision(3, 1, 2, 3, 4, 5)
}

// TestConfirm_manyCallersShareMessages makes 300 concurrent calls of Confirm at the leader: all succeed, and the leader sends no more
// than 300 messages to the two other voters.
func TestConfirm_manyCallersShareMessages(t *testing.T) {
	group := newCluster(t, 3)
	const callers = 300
	for end := time.Now().Add(20 * time.Second); ; { // on a busy machine the leader may change during an attempt: retry for 20 s
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
		results := make(chan error, callers)
		for range callers {
			go func() {
				ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(5*time.Second))
				defer stop()
				results <- leader.Confirm(ctx)
			}()
		}
		var failed error
		for range callers {
			if err := <-results; err != nil {
				failed = err
			}
		}
		mu.Lock()
		shared := sent <= callers
		mu.Unlock()
		if failed == nil && shared {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the leader sent %d messages for %d callers, want no more messages than callers; error %v", sent, callers, failed)
		}
	}
}

// TestLog_messageLoss drops a tenth of all messages while more entries are applied than the log retains. A voter that was down meanwhile
// catches up from a snapshot, up to the last version and with a history.
func TestLog_messageLoss(t *testing.T) {
	group := newCluster(t, 3)
	leaderID, _ := group.leader()
	lagging := leaderID%3 + 1
	group.stop(lagging)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(5, 5))
	group.dropMessages(func(int, int) bool { mu.Lock(); defer mu.Unlock(); return rng.Float64() < 0.1 })
	for n := range uint64(retainedEntries) {
		group.propose(announce(n))
		group.propose(configversions.Entry{ID: fmt.Sprint("f", n+1), PutInForce: n + 1})
	}
	group.start(lagging)
	group.awaitRevision(2*retainedEntries+1, 1, 2, 3)
	if got := group.log(lagging).Record(); got.InForce.Number != retainedEntries || len(got.History) == 0 {
		t.Errorf("caught up to version %d in force with %d versions in its history, want the last version and a history", got.InForce.Number, len(got.History))
	}
}

// TestLog_snapshotsLost drops the first two snapshots to a voter that was down: the voter catches up from a later snapshot.
func TestLog_snapshotsLost(t *testing.T) {
	group := newCluster(t, 3)
	leaderID, _ := group.leader()
	lagging := leaderID%3 + 1
	group.stop(lagging)
	for n := range uint64(retainedEntries) {
		group.propose(announce(n))
		group.propose(configversions.Entry{ID: fmt.Sprint("f", n+1), PutInForce: n + 1})
	}
	group.mu.Lock()
	group.dropSnapshots = 2
	group.mu.Unlock()
	group.start(lagging)
	group.awaitRevision(2*retainedEntries+1, 1, 2, 3)
}

// FuzzStep passes arbitrary bytes to a voter as a message: Run continues, and returns no error when it is stopped.
func FuzzStep(f *testing.F) {
	f.Add([]byte{8, 3, 16, 1, 24, 2, 32, 9})
	f.Add([]byte("no message"))
	f.Fuzz(func(t *testing.T, text []byte) {
		log, err := Open(Options{VoterID: 1, Founders: founders(3), Directory: t.TempDir(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Send: func(uint64, []byte) {}, RecordChanged: func(configversions.Record) {}, LeadershipChanged: func(bool) {}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		result := make(chan error, 1)
		go func() { result <- log.Run(ctx) }()
		log.Step(text)
		proposal, cancelProposal := context.WithDeadline(ctx, time.Now().Add(time.Second))
		_ = log.Propose(proposal, announce(0)) // fails: one voter of three cannot become the leader
		cancelProposal()
		stop()
		if err := <-result; err != nil {
			t.Fatal(err)
		}
	})
}
