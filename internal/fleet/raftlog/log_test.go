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

// TestPropose_leaderStopsBeforePuttingInForce stops the leader between announcing a version and putting it in force, and starts it
// again: the next leader continues, and all voters have the same record. Then all restart, one with an empty disk.
func TestPropose_leaderStopsBeforePuttingInForce(t *testing.T) {
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

// TestConfirm_partition separates two of five voters, the leader among them: Confirm fails there, and the other three elect a leader
// that applies an entry. Once the partition heals all voters have the same record.
func TestConfirm_partition(t *testing.T) {
	group := newCluster(t, 5)
	group.propose(announce(0))
	old, oldLeader := group.leader()
	other := old%5 + 1
	separated := func(id int) bool { return id == old || id == other }
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

// TestConfirm_manyCallersShareMessages has 300 callers confirm the leader at once: all succeed, and the leader sends no more than 300
// messages to the two other voters.
func TestConfirm_manyCallersShareMessages(t *testing.T) {
	group := newCluster(t, 3)
	const callers = 300
	for end := time.Now().Add(20 * time.Second); ; { // the leader may change meanwhile on a busy machine: 20 s of attempts
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
			t.Fatalf("%d messages of the leader for %d callers, error %v", sent, callers, failed)
		}
	}
}

// TestLog_messageLoss drops a tenth of all messages while more entries are applied than the log retains: a voter that was down catches up
// from a snapshot, with all versions.
func TestLog_messageLoss(t *testing.T) {
	group := newCluster(t, 3)
	leader, _ := group.leader()
	lagging := leader%3 + 1
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
		t.Errorf("caught up to version %d with %d versions in its history", got.InForce.Number, len(got.History))
	}
}

// TestLog_snapshotsLost drops the first two snapshots to a voter that was down: it catches up by a later one.
func TestLog_snapshotsLost(t *testing.T) {
	group := newCluster(t, 3)
	leader, _ := group.leader()
	lagging := leader%3 + 1
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

// FuzzStep passes arbitrary bytes to a voter as a message: Run goes on, and ends without an error.
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
		_ = log.Propose(proposal, announce(0)) // alone of three, it cannot lead
		cancelProposal()
		stop()
		if err := <-result; err != nil {
			t.Fatal(err)
		}
	})
}
