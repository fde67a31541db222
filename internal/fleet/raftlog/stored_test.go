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

// storedFounders are the voters of the log in testdata/stored: the one that wrote it.
var storedFounders = []voters.Voter{{ID: 1, Address: "127.0.0.1:9001"}}

// storedIncarnation was drawn when the file in testdata/stored was made.
const storedIncarnation = "HPSB64GR6P3ZLFVK5MYBPGJJAT"

// storedEntries were proposed to the log in testdata/stored, in this order. The snapshot was taken behind the first ones;
// the last ones are entries of their own.
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

// storedRecord is what the log in testdata/stored leads to.
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

// openStored opens the log of a directory and runs it until the test ends.
func openStored(t *testing.T, dir string) *Log {
	t.Helper()
	l, err := Open(Options{VoterID: 1, Founders: storedFounders, Directory: dir, SnapshotEvery: 5, Send: func(uint64, []byte) {},
		RecordChanged: func(configversions.Record) {}, LeadershipChanged: func(bool) {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- l.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-end; err != nil {
			t.Error(err)
		}
	})
	return l
}

// await waits until a log that leads has applied all that was committed.
func await(t *testing.T, l *Log) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	for l.Confirm(ctx) != nil {
		if ctx.Err() != nil {
			t.Fatal("the log never led")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// copyStored gives a directory with a copy of the file that the program of commit c2c1317 wrote: a snapshot, entries
// behind it, the hard state, the number of voters and the roll of founders.
func copyStored(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestStoredLog opens the stored file, reads snapshot, entries and hard state, and lets the log go on from there: it leads,
// has the record field by field, and takes another entry.
func TestStoredLog(t *testing.T) {
	dir := copyStored(t)
	s, err := openStore(Path(dir, 1), storedFounders)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	hard, conf, err := s.InitialState()
	if err != nil {
		t.Fatal(err)
	}
	last, err := s.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	entries, err := s.Entries(snapshot.GetMetadata().GetIndex()+1, last+1, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.db.Close(); err != nil {
		t.Fatal(err)
	}
	got := [...]uint64{snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetTerm(), last, hard.GetTerm(), hard.GetVote(), hard.GetCommit()}
	if want := [...]uint64{6, 2, 9, 2, 1, 9}; got != want {
		t.Errorf("snapshot's index and term, last index, term, vote, commit: %d, want %d", got, want)
	}
	if voters := conf.GetVoters(); !reflect.DeepEqual(voters, []uint64{1}) {
		t.Errorf("voters %d, want 1", voters)
	}
	proposed := storedEntries()[4:]
	if len(entries) != len(proposed) {
		t.Fatalf("%d entries behind the snapshot, want %d", len(entries), len(proposed))
	}
	for i, e := range entries {
		testsupport.CheckJSON(t, fmt.Sprintf("entry %d", e.GetIndex()), e.GetData(), proposed[i])
	}

	l := openStored(t, dir)
	await(t, l)
	if record := l.Record(); !reflect.DeepEqual(record, storedRecord()) {
		t.Errorf("record %+v, want %+v", record, storedRecord())
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	if err := l.Propose(ctx, configversions.Entry{ID: "entry-8", PutInForce: 4}); err != nil {
		t.Error(err)
	}
	if number := l.Record().InForce.Number; number != 4 {
		t.Errorf("version %d is in force, want 4", number)
	}
}

// TestStoredRoll reads the roll of founders from the stored file. It names a second one: a file without a roll is taken for
// one that its own seat founded alone.
func TestStoredRoll(t *testing.T) {
	f, err := OpenFounder(copyStored(t), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	if want := (voters.Founder{Incarnation: storedIncarnation, FoundingVoters: map[uint64]string{1: storedIncarnation, 2: "incarnation-2"}}); !reflect.DeepEqual(f, want) {
		t.Errorf("read %+v, want %+v", f, want)
	}
}

// TestStoredLogOfAnotherSize checks that the stored number of voters is read: a council of another size is refused.
func TestStoredLogOfAnotherSize(t *testing.T) {
	two := append(storedFounders[:1:1], voters.Voter{ID: 2, Address: "127.0.0.1:9002"})
	s, err := openStore(Path(copyStored(t), 1), two)
	if err == nil {
		t.Error("a council of two was accepted, where one voter is stored")
		_ = s.db.Close() // the test has failed already
	}
}

// TestStoredLogRecovers makes a council of one out of the stored file: what was announced is withdrawn, all else stays.
func TestStoredLogRecovers(t *testing.T) {
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
