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

	"github.com/hashicorp/memberlist"
)

// testMember is a gossip member in the test process, with its own HTTP server.
type testMember struct {
	*Membership
	server *http.Server
	stop   context.CancelFunc
	ended  chan struct{} // closed when Run has returned
	killed bool
}

// leave ends the member with a leave notice, unless it was killed.
func (m *testMember) leave() {
	if m.killed {
		return
	}
	m.stop()
	<-m.ended
	_ = m.server.Close() // the member has ended
}

// kill ends the member without a leave notice.
func (m *testMember) kill() {
	m.killed = true
	_ = m.server.Close() // the member has ended
	_ = m.transport.Shutdown()
	_ = m.list.Shutdown()
}

// startInFleet starts a member that gossips with the whole fleet.
func startInFleet(t *testing.T, name, zone string, seeds ...string) *testMember {
	t.Helper()
	return startMember(t, Options{Self: Metadata{Name: name, Zone: zone}, WholeFleet: true, Seeds: seeds})
}

// startMember starts a member. It leaves at the end of the test, unless it was killed.
func startMember(t *testing.T, options Options) *testMember {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options.Self.Address, options.Self.Region, options.Self.MessageFormat = listener.Addr().String(), "r", 2
	options.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	membership, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	member := &testMember{Membership: membership, server: &http.Server{Handler: membership}, stop: stop, ended: make(chan struct{})}
	go func() { _ = member.server.Serve(listener) }() // returns after Close
	go func() { membership.Run(ctx); close(member.ended) }()
	t.Cleanup(member.leave)
	return member
}

// awaitStates waits until a member lists the wanted number of members in each state, 60 s at most.
func (m *testMember) awaitStates(t *testing.T, step string, want map[State]int) {
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
	t.Fatalf("%s: after 60 s %s lists %v, want %v", step, m.self.Name, got, want)
}

// TestRun_wholeFleet checks that nine members find each other through one seed. All list a member that leaves as Left and a killed one as
// Gone. After a restart with the same name at another address they list the killed member as Alive. A change of one member's Metadata
// reaches all within 30 s.
func TestRun_wholeFleet(t *testing.T) {
	t.Parallel()
	seed := startInFleet(t, "m0", "a")
	all := []*testMember{seed}
	for i := 1; i < 9; i++ {
		all = append(all, startInFleet(t, fmt.Sprint("m", i), string("abc"[i%3]), seed.self.Address))
	}
	for _, m := range all {
		m.awaitStates(t, "joined", map[State]int{Alive: 9})
	}
	all[7].leave()
	all[8].kill()
	for _, m := range all[:7] {
		m.awaitStates(t, "one left, one killed", map[State]int{Alive: 7, Left: 1, Gone: 1})
	}
	restarted := startInFleet(t, "m8", "b", seed.self.Address)
	restarted.awaitStates(t, "restarted", map[State]int{Alive: 8})
	for _, m := range all[:7] {
		m.awaitStates(t, "restarted", map[State]int{Alive: 8, Left: 1})
	}
	changed := all[3].self
	changed.Epoch, changed.VoterID = 12, 4
	all[3].UpdateSelf(changed)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		updated := 0
		for _, m := range all[:7] {
			for _, listed := range m.Members() {
				if listed.Metadata == changed {
					updated++
				}
			}
		}
		if updated == 7 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("after 30 s %d of 7 members list the changed metadata", updated)
		}
	}
}

// TestRun_zones runs members of two zones and a member that gossips with the whole fleet. It checks that a member that exchanged with a
// peer lists all peers of its zone and no other member, that one exchange joins two separate parts of a zone, and that only its peers list a
// killed member as Gone.
func TestRun_zones(t *testing.T) {
	t.Parallel()
	startInZone := func(name, zone string) *testMember {
		t.Helper()
		return startMember(t, Options{Self: Metadata{Name: name, Zone: zone}})
	}
	var zoneA, zoneB []*testMember
	for i := range 4 {
		zoneA, zoneB = append(zoneA, startInZone(fmt.Sprint("a", i), "a")), append(zoneB, startInZone(fmt.Sprint("b", i), "b"))
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
	zoneB[0].ExchangeWith(zoneA[0].self.Address) // a member of another zone: changes nothing
	wholeFleetMember := startInFleet(t, "old", "a", zoneA[0].self.Address, zoneB[0].self.Address)
	wholeFleetMember.awaitStates(t, "a member of the whole fleet", map[State]int{Alive: 9})
	for _, m := range zoneA {
		m.awaitStates(t, "with a member of the whole fleet", map[State]int{Alive: 5})
	}
	zoneA[3].kill()
	for _, m := range zoneA[:3] {
		m.awaitStates(t, "one killed", map[State]int{Alive: 4, Gone: 1})
	}
	for _, m := range zoneB {
		m.awaitStates(t, "the other zone", map[State]int{Alive: 4})
	}
	if got, want := zoneA[0].Digest(), zoneA[1].Digest(); got != want || got.Count != 4 {
		t.Errorf("peers have digests %+v and %+v, want equal digests of 4 members", got, want)
	}
}

// TestRun_manyMembers measures the time to join and to detect a failure, and the idle cost: BRASSDALE_MEMBERS=300 go test -run TestRun_manyMembers -v ./internal/fleet/gossip
func TestRun_manyMembers(t *testing.T) {
	count, _ := strconv.Atoi(os.Getenv("BRASSDALE_MEMBERS"))
	if count == 0 {
		t.Skip("BRASSDALE_MEMBERS sets the number of members")
	}
	begin := time.Now()
	seed := startInFleet(t, "m0", "a")
	all := []*testMember{seed}
	for i := 1; i < count; i++ {
		all = append(all, startInFleet(t, fmt.Sprint("m", i), string("abc"[i%3]), seed.self.Address))
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
		m.awaitStates(t, "killed", map[State]int{Alive: count - count/10, Gone: count / 10})
	}
	detected, cpuTime := time.Since(begin), processCPUTime()
	time.Sleep(10 * time.Second)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	for _, m := range all[:count-count/10] {
		m.kill()
	}
	t.Logf("%d members: all listed each other after %v, and a killed tenth as gone after %v; idle: %.1f ms of CPU per second and member, %.0f KiB of heap per member",
		count, joined.Round(time.Millisecond), detected.Round(time.Millisecond), float64((processCPUTime()-cpuTime).Microseconds())/10/float64(count)/1000, float64(memory.HeapAlloc)/1024/float64(count))
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // never fails for RUSAGE_SELF
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestServeHTTP_notAMember checks that a plain HTTP request gets the status 426 Upgrade Required, and that packets of another protocol
// change nothing.
func TestServeHTTP_notAMember(t *testing.T) {
	member := startInFleet(t, "m0", "a")
	response, err := http.Get("http://" + member.self.Address)
	if err != nil || response.StatusCode != http.StatusUpgradeRequired {
		t.Errorf("plain request: got %v, error %v, want the status 426", response, err)
	}
	var senders sync.WaitGroup
	for range 20 {
		senders.Go(func() {
			if c, err := net.Dial("udp", member.self.Address); err == nil {
				fmt.Fprint(c, "no packet of memberlist's")
				_ = c.Close() // the packet is sent
			}
		})
	}
	senders.Wait()
	member.awaitStates(t, "after the packets", map[State]int{Alive: 1})
}

// TestLeaveNotice_explainsLateDetection guards against listing a member as Gone though it sent a leave notice. This happened when the notice
// expired before memberlist detected that the member was gone: memberlist's own notice was lost, and its probes take half a minute.
func TestLeaveNotice_explainsLateDetection(t *testing.T) {
	const detectionTime = 30 * time.Second
	membership := &Membership{options: Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, members: map[string]Member{}, leaving: map[string]time.Time{}}
	memberDelegate := (*delegate)(membership)
	node := &memberlist.Node{Name: "m7"}
	memberDelegate.updateMember(node, Alive)
	memberDelegate.storeLeaveNotice(node.Name)
	membership.leaving[node.Name] = time.Now().Add(-detectionTime)
	membership.removeExpired()
	memberDelegate.updateMember(node, Gone)
	if state := membership.Members()[0].State; state != Left {
		t.Errorf("member detected as gone %v after its leave notice: got state %v, want left", detectionTime, state)
	}
}
