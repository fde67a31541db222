package traffic

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// relay forwards the bytes of connections and counts them.
type relay struct {
	net.Listener
	mu       sync.Mutex
	to, back int
}

func (r *relay) run(target string) {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close() // nobody to relay to
			continue
		}
		pass := func(from, to net.Conn, n *int) {
			defer func() { _ = to.Close() }() // its other end is gone
			buf := make([]byte, 4096)
			for {
				k, err := from.Read(buf)
				r.mu.Lock()
				*n += k
				r.mu.Unlock()
				if _, werr := to.Write(buf[:k]); err != nil || werr != nil {
					return
				}
			}
		}
		go pass(in, out, &r.to)
		go pass(out, in, &r.back)
	}
}

// seen returns the bytes that went to the server and back.
func (r *relay) seen() (to, back uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return uint64(r.to), uint64(r.back)
}

// serve starts an HTTP server whose traffic a meter counts, as of the kind of the path.
func serve(t *testing.T, meter *Meter, kinds map[string]Kind) (address string, server *http.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, strings.Repeat("x", 3*len(text)+5000))
	})
	server = &http.Server{ConnContext: Note, Handler: meter.Handler(answer, func(r *http.Request) Kind { return kinds[r.URL.Path] })}
	go func() { _ = server.Serve(meter.Listen(listener)) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })                 // it is closed already where the test passes
	return listener.Addr().String(), server
}

// call makes calls of several kinds, over reused connections that a meter counts.
func call(t *testing.T, meter *Meter, kinds map[string]Kind, address string) {
	t.Helper()
	transport := &http.Transport{DialContext: meter.Dial(&net.Dialer{})}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := range 40 {
		path := []string{"/renew", "/watch", "/other"}[i%3]
		ctx := meter.Call(context.Background(), kinds[path])
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(make([]byte, 100*i)))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close() // it was read
	}
}

// TestMeter_bothEndsCountAlike makes HTTP calls of several kinds over reused connections: each end counts every byte that a
// relay between them sees, headers included, as of the same kind, and what one end sends the other receives.
func TestMeter_bothEndsCountAlike(t *testing.T) {
	var client, server Meter
	kinds := map[string]Kind{"/renew": Renewal, "/watch": Record}
	address, httpServer := serve(t, &server, kinds)
	relayListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	between := &relay{Listener: relayListener}
	go between.run(address)
	call(t, &client, kinds, relayListener.Addr().String())
	_ = relayListener.Close() // the relay accepts nothing more
	if err := httpServer.Close(); err != nil {
		t.Fatal(err)
	}
	var clientCounts, serverCounts map[string]Count
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		clientCounts, serverCounts = client.Counts(), server.Counts()
		sent, received := between.seen()
		if sent == Total(clientCounts).Sent && sent == Total(serverCounts).Received &&
			received == Total(serverCounts).Sent && received == Total(clientCounts).Received {
			break
		}
	}
	sent, received := between.seen()
	if Total(clientCounts).Sent != sent || Total(clientCounts).Received != received {
		t.Errorf("the client counts %+v, between them went %d and %d", Total(clientCounts), sent, received)
	}
	for _, kind := range []Kind{Renewal, Record, Other} {
		c, s := clientCounts[kind.String()], serverCounts[kind.String()]
		if c.Sent != s.Received || c.Received != s.Sent || c.Messages != s.Messages || c.Messages == 0 {
			t.Errorf("%v: the client counts %+v, the server %+v", kind, c, s)
		}
	}
}

// TestOfMembers finds the kind of packets that are a single message, a compound one, or one with a checksum.
func TestOfMembers(t *testing.T) {
	ping, news := append([]byte{memberPing}, "ping........"...), append([]byte{4}, "alive......"...)
	compound := func(all ...[]byte) []byte {
		b := []byte{memberCompound, byte(len(all))}
		for _, m := range all {
			b = append(b, byte(len(m)>>8), byte(len(m)))
		}
		return append(b, bytes.Join(all, nil)...)
	}
	summed := func(b []byte) []byte { return append([]byte{memberChecksum, 1, 2, 3, 4}, b...) }
	for _, x := range []struct {
		what   string
		packet []byte
		kind   Kind
	}{
		{"ping", ping, Probe}, {"news", news, Gossip}, {"summed ping", summed(ping), Probe}, {"summed news", summed(news), Gossip},
		{"ping with news", summed(compound(ping, news, news)), Probe}, {"much news", summed(compound(news, news)), Gossip},
		{"ack", []byte{memberAck, 0}, Probe}, {"nothing", nil, Gossip}, {"cut short", []byte{memberCompound, 9, 0}, Gossip},
	} {
		if k := OfMembers(x.packet); k != x.kind {
			t.Errorf("%s is counted as %v", x.what, k)
		}
	}
}

// FuzzOfMembers passes arbitrary bytes.
func FuzzOfMembers(f *testing.F) {
	f.Add([]byte{memberCompound, 2, 0, 1, 0, 200, 0, 4})
	f.Add([]byte{memberChecksum, 0, 0, 0, 0, memberCompound, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		if k := OfMembers(b); k != Gossip && k != Probe {
			t.Fatalf("%v is counted as %v", b, k)
		}
	})
}

// TestWithin_sumsUnchanged counts in any order: a part that is counted as another kind changes no sum.
func TestWithin_sumsUnchanged(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		var m Meter
		var sent, received uint64
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			k, n := Kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind")), rapid.IntRange(0, 1000).Draw(t, "bytes")
			m.Sent(k, n)
			m.Received(k, 2*n)
			m.Message(k)
			sent, received = sent+uint64(n), received+uint64(2*n)
			part := rapid.IntRange(0, n).Draw(t, "part")
			m.Within(k, Kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "as")), part, 2*part)
		}
		if all := Total(m.Counts()); all.Sent != sent || all.Received != received {
			t.Fatalf("%+v, not %d and %d", all, sent, received)
		}
	})
	var none *Meter
	none.Sent(Gossip, 4)
	none.Within(Gossip, Report, 1, 1)
	if len(none.Counts()) > 0 {
		t.Error("a nil meter counts")
	}
}
