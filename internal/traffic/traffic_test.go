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

// run accepts connections until the listener is closed, and relays each to the target.
func (r *relay) run(target string) {
	for {
		in, err := r.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close() // there is no target to relay to
			continue
		}
		pass := func(from, to net.Conn, count *int) {
			defer func() { _ = to.Close() }() // its other end is gone
			buf := make([]byte, 4096)
			for {
				n, err := from.Read(buf)
				r.mu.Lock()
				*count += n
				r.mu.Unlock()
				if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
					return
				}
			}
		}
		go pass(in, out, &r.to)
		go pass(out, in, &r.back)
	}
}

// counts returns the bytes that were relayed to the server and back.
func (r *relay) counts() (to, back uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return uint64(r.to), uint64(r.back)
}

// serve starts an HTTP server whose traffic a meter counts, by the kind of the path.
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
	server = &http.Server{ConnContext: ConnContext, Handler: meter.Handler(answer, func(r *http.Request) Kind { return kinds[r.URL.Path] })}
	go func() { _ = server.Serve(meter.Listen(listener)) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })                 // the test may have closed it
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

// TestMeter_bothEndsCountAlike makes HTTP calls of several kinds over reused connections. It checks that each end counts every byte that a
// relay between them forwards, headers included, as the same kind, and that one end receives what the other sends.
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
		sent, received := between.counts()
		if sent == Total(clientCounts).Sent && sent == Total(serverCounts).Received &&
			received == Total(serverCounts).Sent && received == Total(clientCounts).Received {
			break
		}
	}
	sent, received := between.counts()
	if Total(clientCounts).Sent != sent || Total(clientCounts).Received != received {
		t.Errorf("the client counts %+v, the relay forwarded %d and %d", Total(clientCounts), sent, received)
	}
	for _, kind := range []Kind{Renewal, Record, Other} {
		atClient, atServer := clientCounts[kind.String()], serverCounts[kind.String()]
		if atClient.Sent != atServer.Received || atClient.Received != atServer.Sent || atClient.Messages != atServer.Messages || atClient.Messages == 0 {
			t.Errorf("%v: the client counts %+v, the server %+v", kind, atClient, atServer)
		}
	}
}

// TestMemberlistKind_packets checks the kind of packets of memberlist that are a single message, a compound message, or a message with a
// checksum.
func TestMemberlistKind_packets(t *testing.T) {
	ping, alive := append([]byte{memberPing}, "ping........"...), append([]byte{4}, "alive......"...)
	compound := func(messages ...[]byte) []byte {
		packet := []byte{memberCompound, byte(len(messages))}
		for _, message := range messages {
			packet = append(packet, byte(len(message)>>8), byte(len(message)))
		}
		return append(packet, bytes.Join(messages, nil)...)
	}
	withChecksum := func(packet []byte) []byte { return append([]byte{memberChecksum, 1, 2, 3, 4}, packet...) }
	for _, test := range []struct {
		name   string
		packet []byte
		kind   Kind
	}{
		{"ping", ping, Probe}, {"alive", alive, Gossip}, {"ping with checksum", withChecksum(ping), Probe}, {"alive with checksum", withChecksum(alive), Gossip},
		{"ping in compound", withChecksum(compound(ping, alive, alive)), Probe}, {"compound", withChecksum(compound(alive, alive)), Gossip},
		{"ack", []byte{memberAck, 0}, Probe}, {"empty", nil, Gossip}, {"truncated", []byte{memberCompound, 9, 0}, Gossip},
	} {
		if kind := MemberlistKind(test.packet); kind != test.kind {
			t.Errorf("%s is counted as %v, want %v", test.name, kind, test.kind)
		}
	}
}

// FuzzMemberlistKind checks that arbitrary bytes count as gossip or as a probe.
func FuzzMemberlistKind(f *testing.F) {
	f.Add([]byte{memberCompound, 2, 0, 1, 0, 200, 0, 4})
	f.Add([]byte{memberChecksum, 0, 0, 0, 0, memberCompound, 255})
	f.Fuzz(func(t *testing.T, packet []byte) {
		if kind := MemberlistKind(packet); kind != Gossip && kind != Probe {
			t.Fatalf("%v is counted as %v", packet, kind)
		}
	})
}

// TestWithin_sumsUnchanged checks that a part that is counted as another kind changes no sum, regardless of the order of the calls.
func TestWithin_sumsUnchanged(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		var meter Meter
		var sent, received uint64
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			kind, size := Kind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind")), rapid.IntRange(0, 1000).Draw(t, "bytes")
			meter.Sent(kind, size)
			meter.Received(kind, 2*size)
			meter.Message(kind)
			sent, received = sent+uint64(size), received+uint64(2*size)
			part := rapid.IntRange(0, size).Draw(t, "part")
			meter.Within(kind, Kind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "as")), part, 2*part)
		}
		if total := Total(meter.Counts()); total.Sent != sent || total.Received != received {
			t.Fatalf("counted %+v, want %d sent and %d received", total, sent, received)
		}
	})
	var none *Meter
	none.Sent(Gossip, 4)
	none.Within(Gossip, Report, 1, 1)
	if len(none.Counts()) > 0 {
		t.Error("a nil meter counts")
	}
}
