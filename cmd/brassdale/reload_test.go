package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// SIGHUP once ended the program. It moves discovery: the new one is asked for its whole list at once, though
// its revisions are its own, while the old one's watch is still open, and a job that is open goes on. A bad
// file changes nothing, repeats do no harm, and SIGTERM still ends all in good order.
func TestReload(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	a := newBox(t, "a", func(b *box, c net.Conn, r *http.Request) { <-release; works(b, c, r) })
	b := newBox(t, "b", works)
	b.cell = "2"
	n := start(t, "", a)
	n.waitFor("a watch", func() bool { n.registry.mu.Lock(); defer n.registry.mu.Unlock(); return len(n.registry.asked) > 0 })
	answered := n.begin(a, "open")

	n.reload(strings.Replace(n.config, `"discovery":"`, `"discovery":"nowhere `, 1))
	n.waitFor("a refusal", func() bool {
		return strings.Count(n.log(), "reload refused") == 1 && strings.Contains(n.log(), "discovery: ")
	})

	a.phase = "leaving"
	next := &registry{revision: 1, boxes: []*box{a, b}, changed: make(chan struct{})}
	server := httptest.NewServer(next)
	t.Cleanup(server.CloseClientConnections)
	moved := strings.Replace(n.config, `"discovery":"`, `"discovery":"`+server.Listener.Addr().String()+`","was":"`, 1)
	for range 3 {
		n.reload(moved)
	}
	n.waitFor("the new list", func() bool { return strings.Contains(n.log(), "complete=true lines=2") })
	if status, _, _ := n.do(request(n.url, "next")); status != 200 {
		t.Errorf("a job after the move: %d", status)
	}
	if _, jobs := b.count(); jobs != 1 {
		t.Errorf("%d jobs came to the endpoint that only the new discovery knows", jobs)
	}
	next.set(func() { a.phase = "active" })
	n.waitFor("a change at the new discovery", func() bool { return strings.Contains(n.log(), "revision=2") })
	close(release)
	if status := <-answered; status != 200 {
		t.Errorf("the open job: %d", status)
	}
	n.stop()
	n.reload(moved)
	n.ends(time.Now().Add(8 * time.Second))
}

// A watch that hangs is given up soon enough: what discovery has to tell counts as told 2 s after the wait that was
// asked for, and nothing may go to an endpoint that leaves 500 ms after that. It once took 2.6 s and longer.
func TestHungDiscovery(t *testing.T) {
	t.Parallel()
	a, b := newBox(t, "a", works), newBox(t, "b", works)
	n := start(t, "", a, b)
	g := n.registry
	asked := func() int { g.mu.Lock(); defer g.mu.Unlock(); return len(g.asked) }
	n.waitFor("a watch", func() bool { return asked() > 0 })
	g.set(func() { g.hang = true })
	calls := asked()
	begin := time.Now() // the call that hangs was made before
	g.set(func() { a.phase = "leaving" })
	n.waitFor("a further call", func() bool { return asked() > calls })
	g.set(func() { g.hang = false })
	n.waitFor("the list", func() bool { return strings.Contains(n.log(), "revision=4") })
	if took := time.Since(begin); took > 4500*time.Millisecond {
		t.Errorf("the list came after %v", took)
	}
}
