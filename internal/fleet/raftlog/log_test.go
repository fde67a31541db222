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
