package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// The frames of HTTP/2 that conn2 uses (RFC 9113, section 6).
const (
	frameData, frameHeaders, frameReset, frameSettings, framePing, frameGoAway = 0, 1, 3, 4, 6, 7

	flagEndStream, flagAck, flagEndHeaders = 1, 1, 4
)

// conn2 is a client's HTTP/2 connection in cleartext, written frame by frame.
type conn2 struct {
	b    *bench
	conn net.Conn

	mu       sync.Mutex
	answered map[uint32]time.Time // streams whose whole answer was read
	reset    map[uint32]time.Time
	goAway   string
	closedAt time.Time
}

func (b *bench) connect2(address string) *conn2 {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		fail("%v", err)
	}
	c := &conn2{b: b, conn: conn, answered: map[uint32]time.Time{}, reset: map[uint32]time.Time{}}
	c.write([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	c.write(frame(frameSettings, 0, 0, nil))
	go c.read()
	return c
}

func (c *conn2) write(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.conn.Write(data)
}

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	head := make([]byte, 9, 9+len(payload))
	head[0], head[1], head[2], head[3], head[4] = byte(len(payload)>>16), byte(len(payload)>>8), byte(len(payload)), kind, flags
	binary.BigEndian.PutUint32(head[5:], stream)
	return append(head, payload...)
}

// headers returns the header block of a job, each field a literal without indexing (RFC 7541, section 6.2.2).
func headers(address, id, key string, deadline time.Duration, length int) (block []byte) {
	for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":authority", address}, {":path", "/price-part"},
		{"req-id", id}, {"req-kind", "price-part"}, {"req-owner", "deeside-aero"}, {"idempotency-key", key},
		{"req-deadline-ms", fmt.Sprint(deadline.Milliseconds())}, {"content-length", fmt.Sprint(length)}} {
		block = append(block, 0, byte(len(field[0])))
		block = append(block, field[0]...)
		block = append(block, byte(len(field[1])))
		block = append(block, field[1]...)
	}
	return block
}

// read records the answers until the connection ends.
func (c *conn2) read() {
	for {
		head := make([]byte, 9)
		if _, err := io.ReadFull(c.conn, head); err != nil {
			c.mu.Lock()
			c.closedAt = time.Now()
			c.mu.Unlock()
			c.b.note("the connection ends: %v", err)
			return
		}
		payload := make([]byte, int(head[0])<<16|int(head[1])<<8|int(head[2]))
		if _, err := io.ReadFull(c.conn, payload); err != nil {
			continue
		}
		kind, flags, stream := head[3], head[4], binary.BigEndian.Uint32(head[5:])
		switch {
		case kind == frameSettings && flags&flagAck == 0:
			c.write(frame(frameSettings, flagAck, 0, nil))
		case kind == framePing && flags&flagAck == 0:
			c.write(frame(framePing, flagAck, 0, payload))
		case kind == frameGoAway:
			c.b.note("GOAWAY %q", payload[8:])
		case kind == frameReset:
			c.b.note("stream %d is reset", stream)
			c.mu.Lock()
			c.reset[stream] = time.Now()
			c.mu.Unlock()
		case (kind == frameData || kind == frameHeaders) && flags&flagEndStream != 0:
			c.b.note("stream %d is answered", stream)
			c.mu.Lock()
			c.answered[stream] = time.Now()
			c.mu.Unlock()
		}
	}
}
