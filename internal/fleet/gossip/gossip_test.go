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

// one is a member in this process.
type one struct {
	*Membership
	server *http.Server
	stop   context.CancelFunc
	ended  chan struct{}
	dead   bool
}

func (o *one) leave() {
	if o.dead {
		return
	}
	o.stop()
	<-o.ended
	o.server.Close()
}

// dies ends it without a word.
func (o *one) dies() {
	o.dead = true
	o.server.Close()
	_ = o.t.Shutdown()
	_ = o.ml.Shutdown()
}

// join starts a member that gossips over the whole fleet.
func join(t *testing.T, name, zone, at string, seeds ...string) *one {
	t.Helper()
	return begin(t, Options{Self: Self{Name: name, Zone: zone}, WholeFleet: true, Seeds: seeds}, at)
}

func begin(t *testing.T, o Options, at string) *one {
	t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	o.Self.Address, o.Self.Region, o.Self.MessageFormat, o.Log = l.Addr().String(), "r", 2, slog.New(slog.NewTextHandler(io.Discard, nil))
	list, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &one{list, &http.Server{Handler: list}, stop, make(chan struct{}), false}
	go m.server.Serve(l)
	go func() { list.Run(ctx); close(m.ended) }()
	t.Cleanup(m.leave)
	return m
}

// sees waits until a member sees so many in each state.
func (o *one) sees(t *testing.T, what string, want map[State]int) {
	t.Helper()
	var got map[State]int
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		got = map[State]int{}
		for _, m := range o.Members() {
			got[m.State]++
		}
		if fmt.Sprint(got) == fmt.Sprint(want) {
			return
		}
	}
	t.Fatalf("%s: %s sees %v, not %v", what, o.self.Name, got, want)
}

// Nine members find each other by one seed, with what each says of itself; one leaves, one dies, and comes back under its
// name at another address; a change of what one says reaches all.
func TestNine(t *testing.T) {
	t.Parallel()
	seed := join(t, "m0", "a", "127.0.0.1:0")
	all := []*one{seed}
	for i := 1; i < 9; i++ {
		all = append(all, join(t, fmt.Sprint("m", i), string("abc"[i%3]), "127.0.0.1:0", seed.self.Address))
	}
	for _, m := range all {
		m.sees(t, "joined", map[State]int{Alive: 9})
	}
	all[7].leave()
	all[8].dies()
	for _, m := range all[:7] {
		m.sees(t, "one left, one died", map[State]int{Alive: 7, Left: 1, Gone: 1})
	}
	back := join(t, "m8", "b", "127.0.0.1:0", seed.self.Address)
	back.sees(t, "back", map[State]int{Alive: 8})
	for _, m := range all[:7] {
		m.sees(t, "back", map[State]int{Alive: 8, Left: 1})
	}
	said := all[3].self
	said.Epoch, said.VoterID = 12, 4
	all[3].UpdateSelf(said)
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		heard := 0
		for _, m := range all[:7] {
			for _, o := range m.Members() {
				if o.Self == said {
					heard++
				}
			}
		}
		if heard == 7 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of 7 heard it", heard)
		}
	}
}

// Members of two zones and one that gossips over the whole fleet: who has met a neighbour knows all neighbours and nobody
// else, who has met nobody knows nobody, two parts of a zone become one by one exchange, and one that dies is gone for its
// neighbours alone.
func TestNeighbours(t *testing.T) {
	t.Parallel()
	near := func(name, zone string) *one {
		return begin(t, Options{Self: Self{Name: name, Zone: zone}}, "127.0.0.1:0")
	}
	var a, b []*one
	for i := range 4 {
		a, b = append(a, near(fmt.Sprint("a", i), "a")), append(b, near(fmt.Sprint("b", i), "b"))
	}
	a[0].ExchangeWith(a[1].self.Address)
	a[2].ExchangeWith(a[3].self.Address)
	for _, m := range a {
		m.sees(t, "two parts", map[State]int{Alive: 2})
	}
	a[3].ExchangeWith(a[0].self.Address)
	for _, m := range a {
		m.sees(t, "one part", map[State]int{Alive: 4})
	}
	for i, m := range b[1:] {
		m.ExchangeWith(b[i].self.Address)
	}
	for _, m := range b {
		m.sees(t, "the other zone", map[State]int{Alive: 4})
	}
	b[0].ExchangeWith(a[0].self.Address) // nobody names it, and it changes nothing
	older := join(t, "old", "a", "127.0.0.1:0", a[0].self.Address, b[0].self.Address)
	older.sees(t, "of an older build", map[State]int{Alive: 9})
	for _, m := range a {
		m.sees(t, "with an older neighbour", map[State]int{Alive: 5})
	}
	a[3].dies()
	for _, m := range a[:3] {
		m.sees(t, "one died", map[State]int{Alive: 4, Gone: 1})
	}
	for _, m := range b {
		m.sees(t, "the other zone", map[State]int{Alive: 4})
	}
	if got, want := a[0].Digest(), a[1].Digest(); got != want || got.Count != 4 {
		t.Errorf("neighbours know %+v and %+v", got, want)
	}
}

// By hand: BRASSDALE_MEMBERS=300 go test -run Many -v ./internal/fleet/membership
func TestMany(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("BRASSDALE_MEMBERS"))
	if n == 0 {
		t.Skip("BRASSDALE_MEMBERS says how many")
	}
	begin := time.Now()
	seed := join(t, "m0", "a", "127.0.0.1:0")
	all := []*one{seed}
	for i := 1; i < n; i++ {
		all = append(all, join(t, fmt.Sprint("m", i), string("abc"[i%3]), "127.0.0.1:0", seed.self.Address))
	}
	for _, m := range all {
		m.sees(t, "joined", map[State]int{Alive: n})
	}
	joined := time.Since(begin)
	begin = time.Now()
	for _, m := range all[n-n/10:] {
		m.dies()
	}
	for _, m := range all[:n-n/10] {
		m.sees(t, "died", map[State]int{Alive: n - n/10, Gone: n / 10})
	}
	died, cpu := time.Since(begin), used()
	time.Sleep(10 * time.Second)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	for _, m := range all[:n-n/10] {
		m.dies()
	}
	t.Logf("%d members: all see all after %v, and that a tenth is gone after %v; at rest %.1f ms of CPU a second and member, %.0f KiB of heap a member",
		n, joined.Round(time.Millisecond), died.Round(time.Millisecond), float64((used()-cpu).Microseconds())/10/float64(n)/1000, float64(memory.HeapAlloc)/1024/float64(n))
}

func used() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// A listener that is no member's answers, and is told what it is.
func TestNoMember(t *testing.T) {
	o := join(t, "m0", "a", "127.0.0.1:0")
	resp, err := http.Get("http://" + o.self.Address)
	if err != nil || resp.StatusCode != http.StatusUpgradeRequired {
		t.Errorf("%v, %v", resp, err)
	}
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() {
			if c, err := net.Dial("udp", o.self.Address); err == nil {
				fmt.Fprint(c, "no packet of memberlist's")
				c.Close()
			}
		})
	}
	wait.Wait()
	o.sees(t, "still there", map[State]int{Alive: 1})
}
