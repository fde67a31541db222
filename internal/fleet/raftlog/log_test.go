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

// council is voters in one process, with a network between them that loses what it is told to.
type council struct {
	t     *testing.T
	n     int // of the first voters
	dirs  []string
	mu    sync.Mutex
	seats []*Log // nil while down
	stops []context.CancelFunc
	ends  []chan error
	lose  func(from, to int) bool
	snaps int // snapshots that are lost yet
}

const mostSeats = 8

func founders(n int) (all []voters.Voter) {
	for i := range n {
		all = append(all, voters.Voter{ID: uint64(i + 1), Address: fmt.Sprint("a", i+1)})
	}
	return all
}

func newCouncil(t *testing.T, n int) *council {
	c := &council{t: t, n: n, seats: make([]*Log, mostSeats), stops: make([]context.CancelFunc, mostSeats), ends: make([]chan error, mostSeats),
		dirs: make([]string, mostSeats), lose: func(int, int) bool { return false }}
	for seat := 1; seat < mostSeats; seat++ {
		if c.dirs[seat] = t.TempDir(); seat <= n {
			c.start(seat)
		}
	}
	t.Cleanup(func() {
		for seat := 1; seat < mostSeats; seat++ {
			c.stop(seat)
		}
	})
	return c
}

func (c *council) start(seat int) {
	c.t.Helper()
	var first []voters.Voter
	if seat <= c.n {
		first = founders(c.n)
	}
	l, err := Open(Options{VoterID: uint64(seat), Founders: first, Directory: c.dirs[seat], RecordChanged: func(configversions.Record) {}, LeadershipChanged: func(bool) {},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), SnapshotEvery: 30, Send: func(id uint64, m []byte) {
			to := int(id)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.snaps > 0 {
				var sent raftpb.Message
				if proto.Unmarshal(m, &sent) == nil && sent.GetType() == raftpb.MsgSnap {
					c.snaps--
					return
				}
			}
			if to < len(c.seats) && c.seats[to] != nil && c.seats[seat] != nil && !c.lose(seat, to) {
				c.seats[to].Step(m)
			}
		}})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error, 1)
	c.mu.Lock()
	c.seats[seat], c.stops[seat], c.ends[seat] = l, stop, end
	c.mu.Unlock()
	go func() { end <- l.Run(ctx) }()
}

// stop ends a voter where it stands.
func (c *council) stop(seat int) {
	c.mu.Lock()
	l, stop, end := c.seats[seat], c.stops[seat], c.ends[seat]
	c.seats[seat] = nil
	c.mu.Unlock()
	if l == nil {
		return
	}
	stop()
	if err := <-end; err != nil {
		c.t.Errorf("seat %d: %v", seat, err)
	}
}

func (c *council) set(lose func(from, to int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = lose
}

func (c *council) at(seat int) *Log {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seats[seat]
}

// leader waits for a voter that a majority confirms.
func (c *council) leader() (int, *Log) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for seat := range c.seats {
			if l := c.at(seat); l != nil {
				ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(300*time.Millisecond))
				err := l.Confirm(ctx)
				stop()
				if err == nil {
					return seat, l
				}
			}
		}
	}
	c.t.Fatal("nobody leads")
	return 0, nil
}

// change has an entry applied, whoever leads when.
func (c *council) change(e configversions.Entry) {
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
			return // it was, though the answer was lost
		}
	}
	c.t.Fatal("no change goes through")
}

func (c *council) agree(revision uint64, seats ...int) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		all := true
		for _, seat := range seats {
			all = all && c.at(seat).Record().Revision >= revision
		}
		if all {
			for _, seat := range seats {
				if a, b := text(c.at(seat).Record()), text(c.at(seats[0]).Record()); a != b && c.at(seat).Record().Revision == c.at(seats[0]).Record().Revision {
					c.t.Errorf("seat %d has %s, seat %d %s", seat, a, seats[0], b)
				}
			}
			return
		}
	}
	c.t.Fatalf("revision %d never came to %v", revision, seats)
}

func text(r configversions.Record) string {
	text, _ := json.Marshal(r)
	return string(text)
}

func announce(base uint64) configversions.Entry {
	return configversions.Entry{ID: fmt.Sprint("a", base), Announce: &configversions.Version{Number: base, Rules: configversions.Rules{RetryRatio: 0.1, RetriesAllowed: true}}}
}

// The leader ends between the two steps, and comes back: the change goes on with another, and all have the same. Then all
// are started anew, one with its disk lost.
func TestLeaderEndsBetweenTheSteps(t *testing.T) {
	c := newCouncil(t, 3)
	c.change(announce(0))
	old, _ := c.leader()
	c.stop(old)
	c.change(configversions.Entry{ID: "f1", PutInForce: 1})
	c.start(old)
	c.agree(3, 1, 2, 3)
	for seat := 1; seat <= 3; seat++ {
		c.stop(seat)
	}
	os.Remove(Path(c.dirs[old], uint64(old)))
	for seat := 1; seat <= 3; seat++ {
		c.start(seat)
	}
	c.change(announce(1))
	c.agree(4, 1, 2, 3)
}

// Of five, two are cut off, the leader among them: it confirms nothing, and neither side of two does. Healed, all agree.
func TestSplit(t *testing.T) {
	c := newCouncil(t, 5)
	c.change(announce(0))
	old, l := c.leader()
	other := old%5 + 1
	apart := func(seat int) bool { return seat == old || seat == other }
	c.set(func(from, to int) bool { return apart(from) != apart(to) })
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(700*time.Millisecond))
	if err := l.Confirm(ctx); err == nil {
		t.Error("a leader without a majority confirms")
	}
	stop()
	c.change(configversions.Entry{ID: "f1", PutInForce: 1})
	c.set(func(int, int) bool { return false })
	c.agree(3, 1, 2, 3, 4, 5)
}

// Many ask at once who leads: all are answered, by few questions to the other voters. 300 dispatchers that renew four times a
// second asked 1,200 times.
func TestConfirmTogether(t *testing.T) {
	c := newCouncil(t, 3)
	const many = 300
	for end := time.Now().Add(20 * time.Second); ; { // on a busy machine another may lead meanwhile: again, then
		seat, l := c.leader()
		var mu sync.Mutex
		sent := 0
		c.set(func(from, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			if from == seat {
				sent++
			}
			return false
		})
		answers := make(chan error, many)
		for range many {
			go func() {
				ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(5*time.Second))
				defer stop()
				answers <- l.Confirm(ctx)
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
			t.Fatalf("%d messages of the leader for %d questions, %v", sent, many, failed)
		}
	}
}

// A tenth of all messages is lost, and the log is long enough for snapshots: a voter that was down for them catches up.
func TestLossAndSnapshots(t *testing.T) {
	c := newCouncil(t, 3)
	leader, _ := c.leader()
	behind := leader%3 + 1
	c.stop(behind)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(5, 5))
	c.set(func(int, int) bool { mu.Lock(); defer mu.Unlock(); return rng.Float64() < 0.1 })
	for n := range uint64(keepBehind) {
		c.change(announce(n))
		c.change(configversions.Entry{ID: fmt.Sprint("f", n+1), PutInForce: n + 1})
	}
	c.start(behind)
	c.agree(2*keepBehind+1, 1, 2, 3)
	if got := c.at(behind).Record(); got.InForce.Number != keepBehind || len(got.History) == 0 {
		t.Errorf("caught up to %d", got.InForce.Number)
	}
}

// The first snapshots to a voter that was down are lost: it catches up all the same. It did not while the same voter led.
func TestLostSnapshots(t *testing.T) {
	c := newCouncil(t, 3)
	leader, _ := c.leader()
	behind := leader%3 + 1
	c.stop(behind)
	for n := range uint64(keepBehind) {
		c.change(announce(n))
		c.change(configversions.Entry{ID: fmt.Sprint("f", n+1), PutInForce: n + 1})
	}
	c.mu.Lock()
	c.snaps = 2
	c.mu.Unlock()
	c.start(behind)
	c.agree(2*keepBehind+1, 1, 2, 3)
}

// A voter is gone for good: another learns the log, takes its place, and the council stands the loss of a further one. The one
// that comes back has no say. Then all but one are gone, and a council is made of what that one has on file.
func TestSeatsMove(t *testing.T) {
	c := newCouncil(t, 3)
	c.change(announce(0))
	lead, _ := c.leader()
	gone := lead%3 + 1
	c.stop(gone)
	const fresh = 4
	move := func(m voters.Change, come func(configversions.Record) bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			_, l := c.leader()
			if come(l.Record()) {
				return
			}
			ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
			err := l.ChangeVoters(ctx, m)
			stop()
			if time.Now().After(end) {
				t.Fatalf("%+v: %v, %+v", m, err, l.Record().Voters)
			}
		}
	}
	has := func(id uint64, learner bool) func(configversions.Record) bool {
		return func(r configversions.Record) bool {
			return slices.ContainsFunc(r.Voters, func(s voters.Voter) bool { return s.ID == id && s.Learner == learner })
		}
	}
	move(voters.Change{AddLearner: &voters.Voter{ID: fresh, Name: "n4", Address: "a4", Learner: true}}, has(fresh, true))
	c.start(fresh)
	c.change(configversions.Entry{ID: "f1", PutInForce: 1})
	c.agree(c.at(lead).Record().Revision, lead, fresh)
	_, l := c.leader()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		places := l.VoterStatuses()
		i := slices.IndexFunc(places, func(p voters.Status) bool { return p.ID == fresh })
		g := slices.IndexFunc(places, func(p voters.Status) bool { return p.ID == uint64(gone) })
		if i >= 0 && g >= 0 && places[i].Learner && places[i].Name == "n4" && places[i].EntriesBehind == 0 && places[i].SilentFor < time.Second && places[g].SilentFor > time.Second {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%+v", places)
		}
	}
	move(voters.Change{Promote: fresh, Remove: uint64(gone)}, func(r configversions.Record) bool { return has(fresh, false)(r) && len(r.Voters) == 3 })
	other := 6 - lead - gone
	c.stop(other)
	c.start(gone) // with its votes of before
	c.change(announce(1))
	c.agree(c.at(lead).Record().Revision, lead, fresh)

	// What a follower missed is given as entries, or whole.
	now := c.at(lead).Record()
	entries, whole, _, _ := c.at(lead).EntriesSince(0, now.Revision-1)
	before := now
	before.Revision, before.Announced = now.Revision-1, nil
	if after, err := before.Apply(entries[0]); len(entries) != 1 || whole != nil || err != nil || text(after) != text(now) {
		t.Errorf("%+v, %v", entries, whole)
	}
	if _, whole, _, _ := c.at(lead).EntriesSince(9, now.Revision-1); whole == nil {
		t.Error("entries of another era were given")
	}

	for _, seat := range []int{gone, lead, fresh} {
		c.stop(seat)
	}
	r, err := Recover(c.dirs[fresh], fresh, "n4", "a4")
	if err != nil || r.Epoch != 1 || r.InForce.Number != 3 || r.Announced != nil || len(r.Withdrawn) != 1 || len(r.Voters) != 1 || r.NextVoterID != 5 {
		t.Fatalf("%v, %+v", err, r)
	}
	c.start(fresh)
	c.change(announce(3))
	if r := c.at(fresh).Record(); r.Epoch != 1 || r.Announced == nil {
		t.Errorf("%+v", r)
	}
}

// A voter whose disk fails ends rather than give its word; the others go on, and with its file again it catches up. A file
// whose end was torn off is not opened: what it promised is not known.
func TestDiskFault(t *testing.T) {
	c := newCouncil(t, 3)
	c.change(announce(0))
	lead, _ := c.leader()
	c.mu.Lock()
	l, end := c.seats[lead], c.ends[lead]
	c.mu.Unlock()
	l.store.db.Close() // as a disk that takes nothing more
	ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(10*time.Second))
	defer stop()
	if err := l.Propose(ctx, configversions.Entry{ID: "f1", PutInForce: 1}); err == nil {
		t.Error("it gave its word without a disk")
	}
	if err := <-end; err == nil {
		t.Error("it ended without a fault")
	}
	c.mu.Lock()
	c.seats[lead] = nil
	c.mu.Unlock()
	c.change(configversions.Entry{ID: "f1 again", PutInForce: 1})
	c.start(lead)
	c.change(announce(1))
	c.agree(4, 1, 2, 3)

	c.stop(lead)
	path := Path(c.dirs[lead], uint64(lead))
	for _, left := range []int64{1, 4096, 9000} {
		if err := os.Truncate(path, left); err != nil {
			t.Fatal(err)
		}
		torn, err := Open(Options{VoterID: uint64(lead), Founders: founders(3), Directory: c.dirs[lead], Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err == nil {
			torn.store.db.Close()
			t.Errorf("a file of %d bytes was opened", left)
		}
		if err := os.Truncate(path, 32768); err != nil {
			t.Fatal(err)
		}
	}
}

// A founder's file says with whom the council was founded, from then on.
func TestFounder(t *testing.T) {
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

// A file of a council of another size is refused, as is a seat that there is not.
func TestOtherCouncil(t *testing.T) {
	dir := t.TempDir()
	open := func(seat, voters int) error {
		l, err := Open(Options{VoterID: uint64(seat), Founders: founders(voters), Directory: dir, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err == nil {
			l.store.db.Close()
		}
		return err
	}
	if err := open(1, 3); err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][2]int{{1, 5}, {0, 3}, {4, 3}} {
		if open(bad[0], bad[1]) == nil {
			t.Errorf("seat %d of %d was taken", bad[0], bad[1])
		}
	}
}

// FuzzStep feeds voters what no voter sends.
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
