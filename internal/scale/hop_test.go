package scale

import (
	"bytes"
	"io"
	"net"
	"testing"

	"brassdale/internal/faults"
	"brassdale/internal/traffic"
)

// A link with a hop behind it carries all, and the hop counts each byte of both ways once.
func TestHop(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asked, answer := bytes.Repeat([]byte("ask"), 30_000), bytes.Repeat([]byte("answer"), 50_000)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := io.ReadFull(c, make([]byte, len(asked))); err == nil {
			_, _ = c.Write(answer)
		}
	}()
	var meter traffic.Meter
	h, err := newCountingProxy(l.Addr().String(), &meter)
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	link, err := faults.NewLink(h.listener.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	c, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write(asked); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, answer) {
		t.Errorf("%d bytes of %d: %v", len(got), len(answer), err)
	}
	if n := total(&meter); n.Sent != uint64(len(asked)) || n.Received != uint64(len(answer)) {
		t.Errorf("%+v, not %d and %d", n, len(asked), len(answer))
	}
}
