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

// TestRun_diskFault checks that a voter whose disk fails acknowledges nothing and stops with an error; the others apply further entries,
// and the voter catches up after a restart with its file. A truncated file is not opened, as the votes in it are unknown.
func TestRun_diskFault(t *testing.T) {
	group := newCluster(t, 3)
	group.propose(announce(0))
	lead, _ := group.leader()
	group.mu.Lock()
	leader, result := group.logs[lead], group.results[lead]
	group.mu.Unlock()
	if err := leader.store.close(); err != nil { // like a disk that fails all writes
		t.Fatal(err)
	}
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(10*time.Second))
	defer stop()
	if err := leader.Propose(ctx, configversions.Entry{ID: "f1", PutInForce: 1}); err == nil {
		t.Error("the entry was applied without a disk")
	}
	if err := <-result; err == nil {
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
	for _, size := range []int64{1, 4096, 9000} {
		if err := os.Truncate(path, size); err != nil {
			t.Fatal(err)
		}
		truncated, err := Open(Options{VoterID: uint64(lead), Founders: founders(3), Directory: group.dirs[lead], Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err == nil {
			_ = truncated.store.close() // the test has failed already
			t.Errorf("a file of %d bytes was opened", size)
		}
		if err := os.Truncate(path, 32768); err != nil {
			t.Fatal(err)
		}
	}
}

// TestOpenFounder_opensAgain checks that a founder's file retains its incarnation and the founding voters.
func TestOpenFounder_opensAgain(t *testing.T) {
	dir := t.TempDir()
	created, err := OpenFounder(dir, 1, nil)
	if err != nil || created.Incarnation == "" || created.FoundingVoters != nil {
		t.Fatalf("created %+v, error %v", created, err)
	}
	foundingVoters := map[uint64]string{1: created.Incarnation, 2: "x", 3: "y"}
	if _, err := OpenFounder(dir, 1, foundingVoters); err != nil {
		t.Fatal(err)
	}
	if opened, err := OpenFounder(dir, 1, nil); err != nil || opened.Incarnation != created.Incarnation || len(opened.FoundingVoters) != 3 {
		t.Errorf("opened %+v, error %v; created %+v", opened, err, created)
	}
}

// TestOpen_otherFounders checks that a file of a group with another number of founders is rejected, and so is a voter ID that
// is not a founder's.
func TestOpen_otherFounders(t *testing.T) {
	dir := t.TempDir()
	open := func(id, voters int) error {
		log, err := Open(Options{VoterID: uint64(id), Founders: founders(voters), Directory: dir, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err == nil {
			_ = log.store.close() // only whether it is opened matters here
		}
		return err
	}
	if err := open(1, 3); err != nil {
		t.Fatal(err)
	}
	for _, invalid := range []struct{ id, founders int }{{1, 5}, {0, 3}, {4, 3}} {
		if open(invalid.id, invalid.founders) == nil {
			t.Errorf("voter %d of %d founders was opened", invalid.id, invalid.founders)
		}
	}
}
