package faultlink

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// startEchoServer starts an echo server that runs until the test ends, and returns its address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// TestLink: a link forwards bytes. Bytes that reach a cut of either direction wait, and their connections are reset when the cut ends. A
// delay is at least as long as set.
func TestLink(t *testing.T) {
	link, err := New(startEchoServer(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	passes := func(c net.Conn) bool {
		if _, err := c.Write([]byte("x")); err != nil {
			return false
		}
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		return err == nil
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", link.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	for _, cut := range []State{{CutTo: true}, {CutFrom: true}, {CutTo: true, CutFrom: true}} {
		c := dial()
		if !passes(c) {
			t.Fatal("a link without faults did not return an echo")
		}
		link.Set(cut)
		if passes(c) {
			t.Errorf("%+v: got an echo through the cut", cut)
		}
		link.Set(State{})
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Errorf("%+v: expected a closed connection after the cut, got error %v", cut, err)
		}
		if !passes(dial()) {
			t.Errorf("%+v: no echo on a new connection after the cut", cut)
		}
	}
	c := dial()
	link.Set(State{Delay: 20 * time.Millisecond})
	if begin := time.Now(); !passes(c) || time.Since(begin) < 40*time.Millisecond {
		t.Error("expected an echo, delayed in both directions")
	}
	link.Reset()
	if passes(c) {
		t.Error("got an echo on a connection after Reset")
	}
}
