package scale

import (
	"bytes"
	"io"
	"net"
	"testing"

	"brassdale/internal/faultlink"
	"brassdale/internal/traffic"
)

// A link with a counting proxy as its target forwards all bytes, and the proxy counts each byte of both directions once.
func TestCountingProxy(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	request, answer := bytes.Repeat([]byte("request"), 30_000), bytes.Repeat([]byte("answer"), 50_000)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := io.ReadFull(c, make([]byte, len(request))); err == nil {
			_, _ = c.Write(answer)
		}
	}()
	var meter traffic.Meter
	proxy, err := newCountingProxy(l.Addr().String(), &meter)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.close()
	link, err := faultlink.New(proxy.address(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	c, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write(request); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, answer) {
		t.Errorf("got %d bytes of %d: %v", len(got), len(answer), err)
	}
	if n := traffic.Total(meter.Counts()); n.Sent != uint64(len(request)) || n.Received != uint64(len(answer)) {
		t.Errorf("counted %+v, expected %d sent and %d received", n, len(request), len(answer))
	}
}
