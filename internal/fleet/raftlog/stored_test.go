package raftlog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"reflect"
	"testing"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/testsupport"
)

// storedFounders are the voters of the log in testdata/stored: only the voter that wrote it.
var storedFounders = []voters.Voter{{ID: 1, Address: "127.0.0.1:9001"}}

// storedIncarnation is the random incarnation in the file in testdata/stored.
const storedIncarnation = "HPSB64GR6P3ZLFVK5MYBPGJJAT"

// storedEntries returns the entries that were proposed to the log in testdata/stored, in this order. The snapshot includes the first
// four; the log contains the others.
func storedEntries() []configversions.Entry {
	announce := func(id string, follows uint64) configversions.Entry {
		return configversions.Entry{ID: id, Announce: &configversions.Version{Number: follows, By: "by-" + id, Reason: "why-" + id,
			At:    time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC),
			Rules: configversions.Rules{RetryRatio: 0.25, RetriesAllowed: true, DetachedWorkers: []string{"worker-" + id}, QuotaCaps: map[string]float64{"account-1": 0.5}}}}
	}
	return []configversions.Entry{
		announce("entry-1", 0),
		{ID: "entry-2", PutInForce: 1},
		announce("entry-3", 1),
		{ID: "entry-4", Withdraw: 2, Reason: "why-4"},
		{ID: "entry-5", Plan: &failover.Plan{Number: 7, Reasons: map[string]string{"zone-1": "why-5"},
			Shares: map[string]map[string][]failover.ZoneShare{"zone-1": {"class-1": {{Zone: "zone-2", Share: 0.75}}}}}},
		{ID: "entry-6", ZoneLimit: &configversions.ZoneLimit{Zone: "zone-3", Share: 0.125, By: "by-6", Reason: "why-6", Force: true}},
		announce("entry-7", 3),
	}
}

// storedRecord returns the record after all entries of the log in testdata/stored.
func storedRecord() configversions.Record {
	version := func(id string, number uint64) configversions.Version {
		return configversions.Version{Number: number, By: "by-" + id, Reason: "why-" + id, At: time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC),
			Rules: configversions.Rules{RetryRatio: 0.25, RetriesAllowed: true, DetachedWorkers: []string{"worker-" + id}, QuotaCaps: map[string]float64{"account-1": 0.5}}}
	}
	inForce, announced := version("entry-1", 3), version("entry-7", 4)
	return configversions.Record{
		Revision: 8, InForce: inForce, Announced: &announced, History: []configversions.Version{{}},
		Withdrawn: []configversions.Withdrawal{{Version: version("entry-3", 2), Reason: "why-4"}}, Voters: storedFounders, NextVoterID: 2,
		Plan: &failover.Plan{Number: 7, Reasons: map[string]string{"zone-1": "why-5"},
			Shares: map[string]map[string][]failover.ZoneShare{"zone-1": {"class-1": {{Zone: "zone-2", Share: 0.75}}}}},
		ZoneLimits: []configversions.ZoneLimit{{Zone: "zone-3", Share: 0.125, By: "by-6", Reason: "why-6", Force: true}},
	}
}

// openStored opens the log in a directory and runs it until the test ends.
func openStored(t *testing.T, dir string) *Log {
	t.Helper()
	log, err := Open(Options{VoterID: 1, Founders: storedFounders, Directory: dir, SnapshotEvery: 5, Send: func(uint64, []byte) {},
		RecordChanged: func(configversions.Record) {}, LeadershipChanged: func(bool) {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- log.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
	return log
}

// awaitApplied waits until the voter leads and has applied all committed entries, 10 s at most.
func awaitApplied(t *testing.T, log *Log) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	for log.Confirm(ctx) != nil {
		if ctx.Err() != nil {
			t.Fatal("the voter did not become the leader within 10 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// copyStored returns a directory with a copy of the file that the program at commit c2c1317 wrote: a snapshot, the entries after it, the
// hard state, the number of voters and the founders.
func copyStored(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestStoredLog checks the snapshot, the entries and the hard state of the stored file. A voter with this file must become the leader,
// have the same record field by field, and apply another entry.
func TestStoredLog(t *testing.T) {
	dir := copyStored(t)
	store, err := openStore(Path(dir, 1), storedFounders)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	hardState, confState, err := store.InitialState()
	if err != nil {
		t.Fatal(err)
	}
	last, err := store.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	entries, err := store.Entries(snapshot.GetMetadata().GetIndex()+1, last+1, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.db.Close(); err != nil {
		t.Fatal(err)
	}
	got := [...]uint64{snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetTerm(), last, hardState.GetTerm(), hardState.GetVote(), hardState.GetCommit()}
	if want := [...]uint64{6, 2, 9, 2, 1, 9}; got != want {
		t.Errorf("snapshot's index and term, last index, term, vote, commit: %d, want %d", got, want)
	}
	if voters := confState.GetVoters(); !reflect.DeepEqual(voters, []uint64{1}) {
		t.Errorf("voters %d, want 1", voters)
	}
	proposed := storedEntries()[4:]
	if len(entries) != len(proposed) {
		t.Fatalf("%d entries after the snapshot, want %d", len(entries), len(proposed))
	}
	for i, entry := range entries {
		testsupport.CheckJSON(t, fmt.Sprintf("entry %d", entry.GetIndex()), entry.GetData(), proposed[i])
	}

	log := openStored(t, dir)
	awaitApplied(t, log)
	if record := log.Record(); !reflect.DeepEqual(record, storedRecord()) {
		t.Errorf("record %+v, want %+v", record, storedRecord())
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	if err := log.Propose(ctx, configversions.Entry{ID: "entry-8", PutInForce: 4}); err != nil {
		t.Error(err)
	}
	if number := log.Record().InForce.Number; number != 4 {
		t.Errorf("version %d is in force, want 4", number)
	}
}

// TestStoredFounder checks the founding voters in the stored file. The file names two, because a file without founding voters reads like
// the file of a voter that founded its group by itself.
func TestStoredFounder(t *testing.T) {
	got, err := EnsureFounder(copyStored(t), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	if want := (voters.Founder{Incarnation: storedIncarnation, FoundingVoters: map[uint64]string{1: storedIncarnation, 2: "incarnation-2"}}); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}

// TestStoredLog_otherGroupSize checks that the stored number of voters is read: a different number of founders is rejected.
func TestStoredLog_otherGroupSize(t *testing.T) {
	two := append(storedFounders[:1:1], voters.Voter{ID: 2, Address: "127.0.0.1:9002"})
	store, err := openStore(Path(copyStored(t), 1), two)
	if err == nil {
		t.Error("opened the file of a group of one voter with two founders, want an error")
		_ = store.db.Close() // the test has failed already
	}
}

// TestStoredLog_recovered recovers a group of one voter from the stored file: the announced version is withdrawn, the epoch is
// incremented, the voter has its new name and address, and the rest of the record is unchanged.
func TestStoredLog_recovered(t *testing.T) {
	got, err := Recover(copyStored(t), 1, "dispatcher-1", "127.0.0.1:9002")
	if err != nil {
		t.Fatal(err)
	}
	want := storedRecord()
	want.Withdrawn = append(want.Withdrawn, configversions.Withdrawal{Version: *want.Announced, Reason: "the council was recovered"})
	want.Announced, want.InForce.Number = nil, 5
	want.Epoch, want.Revision = 1, 10
	want.Voters = []voters.Voter{{ID: 1, Name: "dispatcher-1", Address: "127.0.0.1:9002"}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("recovered %+v, want %+v", got, want)
	}
}
