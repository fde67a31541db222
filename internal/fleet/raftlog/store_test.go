package raftlog

import (
	"context"
	"io"
	"log/slog"
	"os"
	"testing"
	"time"

	"brassdale/internal/decisions/configversions"
)

// TestRun_diskFault checks that a voter whose disk fails acknowledges nothing and stops with an error. The others apply further entries,
// and the voter catches up after a restart with its file. A truncated file is rejected, because the votes in it are unknown.
func TestRun_diskFault(t *testing.T) {
	group := newCluster(t, 3)
	group.propose(announce(0))
	leaderID, _ := group.leader()
	group.mu.Lock()
	leader, result := group.logs[leaderID], group.results[leaderID]
	group.mu.Unlock()
	if err := leader.store.close(); err != nil { // like a disk that fails all writes
		t.Fatal(err)
	}
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(10*time.Second))
	defer stop()
	if err := leader.Propose(ctx, configversions.Entry{ID: "f1", PutInForce: 1}); err == nil {
		t.Error("Propose returned no error though the disk had failed")
	}
	if err := <-result; err == nil {
		t.Error("Run returned no error though the disk had failed")
	}
	group.mu.Lock()
	group.logs[leaderID] = nil
	group.mu.Unlock()
	group.propose(configversions.Entry{ID: "f1 again", PutInForce: 1})
	group.start(leaderID)
	group.propose(announce(1))
	group.awaitRevision(4, 1, 2, 3)

	group.stop(leaderID)
	path := Path(group.dirs[leaderID], uint64(leaderID))
	for _, size := range []int64{1, 4096, 9000} {
		if err := os.Truncate(path, size); err != nil {
			t.Fatal(err)
		}
		truncated, err := Open(Options{VoterID: uint64(leaderID), Founders: founders(3), Directory: group.dirs[leaderID], Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err == nil {
			_ = truncated.store.close() // the test has failed already
			t.Errorf("opened a file that was truncated to %d bytes, want an error", size)
		}
		if err := os.Truncate(path, 32768); err != nil {
			t.Fatal(err)
		}
	}
}

// TestEnsureFounder_reopened checks that a founder's file retains its incarnation and the founding voters when it is opened again.
func TestEnsureFounder_reopened(t *testing.T) {
	dir := t.TempDir()
	created, err := EnsureFounder(dir, 1, nil)
	if err != nil || created.Incarnation == "" || created.FoundingVoters != nil {
		t.Fatalf("created %+v, error %v", created, err)
	}
	foundingVoters := map[uint64]string{1: created.Incarnation, 2: "x", 3: "y"}
	if _, err := EnsureFounder(dir, 1, foundingVoters); err != nil {
		t.Fatal(err)
	}
	if opened, err := EnsureFounder(dir, 1, nil); err != nil || opened.Incarnation != created.Incarnation || len(opened.FoundingVoters) != 3 {
		t.Errorf("reopened %+v, error %v; want the incarnation of %+v and 3 founding voters", opened, err, created)
	}
}

// TestOpen_otherFounders checks that Open rejects the file of a group with another number of founders, and an ID that does not belong to
// a founder.
func TestOpen_otherFounders(t *testing.T) {
	dir := t.TempDir()
	open := func(id, voters int) error {
		log, err := Open(Options{VoterID: uint64(id), Founders: founders(voters), Directory: dir, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err == nil {
			_ = log.store.close() // only the result of Open matters here
		}
		return err
	}
	if err := open(1, 3); err != nil {
		t.Fatal(err)
	}
	for _, invalid := range []struct{ id, founders int }{{1, 5}, {0, 3}, {4, 3}} {
		if open(invalid.id, invalid.founders) == nil {
			t.Errorf("opened voter %d of %d founders, want an error", invalid.id, invalid.founders)
		}
	}
}
