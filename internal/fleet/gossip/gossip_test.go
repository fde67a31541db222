package gossip

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// testMember is a member in this process.
type testMember struct {
	*Membership
	server *http.Server
	stop   context.CancelFunc
	ended  chan struct{}
	dead   bool
}

func (m *testMember) leave() {
	if m.dead {
		return
	}
	m.stop()
	<-m.ended
	_ = m.server.Close() // the member has ended
}

// kill ends the member without a leave notice.
func (m *testMember) kill() {
	m.dead = true
	_ = m.server.Close() // the member has ended
	_ = m.transport.Shutdown()
	_ = m.list.Shutdown()
}

// join starts a member that gossips with the whole fleet.
func join(t *testing.T, name, zone string, seeds ...string) *testMember {
	t.Helper()
	return begin(t, Options{Self: Self{Name: name, Zone: zone}, WholeFleet: true, Seeds: seeds})
}

func begin(t *testing.T, o Options) *testMember {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.Self.Address, o.Self.Region, o.Self.MessageFormat, o.Log = l.Addr().String(), "r", 2, slog.New(slog.NewTextHandler(io.Discard, nil))
	list, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &testMember{list, &http.Server{Handler: list}, stop, make(chan struct{}), false}
	go func() { _ = m.server.Serve(l) }() // ends with Close
	go func() { list.Run(ctx); close(m.ended) }()
	t.Cleanup(m.leave)
	return m
}

// awaitStates waits until a member sees so many members in each state.
func (m *testMember) awaitStates(t *testing.T, what string, want map[State]int) {
	t.Helper()
	var got map[State]int
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		got = map[State]int{}
		for _, member := range m.Members() {
			got[member.State]++
		}
		if fmt.Sprint(got) == fmt.Sprint(want) {
			return
		}
	}
	t.Fatalf("%s: %s sees %v, not %v", what, m.self.Name, got, want)
}

// TestRun_wholeFleet has nine members find each other by one seed, with what each says of itself; one leaves, one is killed and
// comes back under its name at another address; a change of what one says of itself reaches all.
func TestRun_wholeFleet(t *testing.T) {
	t.Parallel()
	seed := join(t, "m0", "a")
	all := []*testMember{seed}
	for i := 1; i < 9; i++ {
		all = append(all, join(t, fmt.Sprint("m", i), string("abc"[i%3]), seed.self.Address))
	}
	for _, m := range all {
		m.awaitStates(t, "joined", map[State]int{Alive: 9})
	}
	all[7].leave()
	all[8].kill()
	for _, m := range all[:7] {
		m.awaitStates(t, "one left, one died", map[State]int{Alive: 7, Left: 1, Gone: 1})
	}
	back := join(t, "m8", "b", seed.self.Address)
	back.awaitStates(t, "back", map[State]int{Alive: 8})
	for _, m := range all[:7] {
		m.awaitStates(t, "back", map[State]int{Alive: 8, Left: 1})
	}
	changed := all[3].self
	changed.Epoch, changed.VoterID = 12, 4
	all[3].UpdateSelf(changed)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		informed := 0
		for _, m := range all[:7] {
			for _, o := range m.Members() {
				if o.Self == changed {
					informed++
				}
			}
		}
		if informed == 7 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of 7 members have the change", informed)
		}
	}
}

// TestRun_zones has members of two zones and one that gossips with the whole fleet: a member that exchanged with a peer knows all
// peers of its zone and nobody else, one that exchanged with nobody knows nobody, two parts of a zone become one by one
// exchange, and one that is killed is gone for its peers alone.
func TestRun_zones(t *testing.T) {
	t.Parallel()
	near := func(name, zone string) *testMember {
		return begin(t, Options{Self: Self{Name: name, Zone: zone}})
	}
	var zoneA, zoneB []*testMember
	for i := range 4 {
		zoneA, zoneB = append(zoneA, near(fmt.Sprint("a", i), "a")), append(zoneB, near(fmt.Sprint("b", i), "b"))
	}
	zoneA[0].ExchangeWith(zoneA[1].self.Address)
	zoneA[2].ExchangeWith(zoneA[3].self.Address)
	for _, m := range zoneA {
		m.awaitStates(t, "two parts", map[State]int{Alive: 2})
	}
	zoneA[3].ExchangeWith(zoneA[0].self.Address)
	for _, m := range zoneA {
		m.awaitStates(t, "one part", map[State]int{Alive: 4})
	}
	for i, m := range zoneB[1:] {
		m.ExchangeWith(zoneB[i].self.Address)
	}
	for _, m := range zoneB {
		m.awaitStates(t, "the other zone", map[State]int{Alive: 4})
	}
	zoneB[0].ExchangeWith(zoneA[0].self.Address) // of another zone: changes nothing
	older := join(t, "old", "a", zoneA[0].self.Address, zoneB[0].self.Address)
	older.awaitStates(t, "of an older build", map[State]int{Alive: 9})
	for _, m := range zoneA {
		m.awaitStates(t, "with an older neighbour", map[State]int{Alive: 5})
	}
	zoneA[3].kill()
	for _, m := range zoneA[:3] {
		m.awaitStates(t, "one died", map[State]int{Alive: 4, Gone: 1})
	}
	for _, m := range zoneB {
		m.awaitStates(t, "the other zone", map[State]int{Alive: 4})
	}
	if got, want := zoneA[0].Digest(), zoneA[1].Digest(); got != want || got.Count != 4 {
		t.Errorf("peers have the digests %+v and %+v", got, want)
	}
}

// TestRun_many measures many members: BRASSDALE_MEMBERS=300 go test -run TestRun_many -v ./internal/fleet/gossip
func TestRun_many(t *testing.T) {
	count, _ := strconv.Atoi(os.Getenv("BRASSDALE_MEMBERS"))
	if count == 0 {
		t.Skip("BRASSDALE_MEMBERS sets the number of members")
	}
	begin := time.Now()
	seed := join(t, "m0", "a")
	all := []*testMember{seed}
	for i := 1; i < count; i++ {
		all = append(all, join(t, fmt.Sprint("m", i), string("abc"[i%3]), seed.self.Address))
	}
	for _, m := range all {
		m.awaitStates(t, "joined", map[State]int{Alive: count})
	}
	joined := time.Since(begin)
	begin = time.Now()
	for _, m := range all[count-count/10:] {
		m.kill()
	}
	for _, m := range all[:count-count/10] {
		m.awaitStates(t, "died", map[State]int{Alive: count - count/10, Gone: count / 10})
	}
	died, cpu := time.Since(begin), used()
	time.Sleep(10 * time.Second)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	for _, m := range all[:count-count/10] {
		m.kill()
	}
	t.Logf("%d members: all see all after %v, and that a tenth is gone after %v; at rest %.1f ms of CPU a second and member, %.0f KiB of heap a member",
		count, joined.Round(time.Millisecond), died.Round(time.Millisecond), float64((used()-cpu).Microseconds())/10/float64(count)/1000, float64(memory.HeapAlloc)/1024/float64(count))
}

func used() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestServeHTTP_notAMember checks that a caller that is no member is told to upgrade, and that packets that are none of
// memberlist's change nothing.
func TestServeHTTP_notAMember(t *testing.T) {
	member := join(t, "m0", "a")
	resp, err := http.Get("http://" + member.self.Address)
	if err != nil || resp.StatusCode != http.StatusUpgradeRequired {
		t.Errorf("%v, %v", resp, err)
	}
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() {
			if c, err := net.Dial("udp", member.self.Address); err == nil {
				fmt.Fprint(c, "no packet of memberlist's")
				_ = c.Close() // the packet is sent
			}
		})
	}
	wait.Wait()
	member.awaitStates(t, "still there", map[State]int{Alive: 1})
}
