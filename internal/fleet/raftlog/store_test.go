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
