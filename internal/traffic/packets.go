package traffic

import (
	"encoding/binary"
	"net"
)

// Packets counts what is sent and received over UDP, each packet as the kind that its bytes tell.
type Packets struct {
	net.PacketConn
	meter *Meter
	kind  func([]byte) Kind
}

// Packets counts those of a connection.
func (m *Meter) Packets(c net.PacketConn, kind func([]byte) Kind) *Packets {
	return &Packets{c, m, kind}
}

// ReadFrom reads one.
func (p *Packets) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := p.PacketConn.ReadFrom(b)
	if err == nil {
		k := p.kind(b[:n])
		p.meter.Received(k, n)
		p.meter.Message(k)
	}
	return n, from, err
}

// WriteTo writes one.
func (p *Packets) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := p.PacketConn.WriteTo(b, to)
	if err == nil {
		k := p.kind(b)
		p.meter.Sent(k, n)
		p.meter.Message(k)
	}
	return n, err
}

// What memberlist's packets begin with.
const (
	memberPing     = 0
	memberIndirect = 1
	memberAck      = 2
	memberCompound = 7 // a count, so many lengths of two bytes, the messages
	memberNack     = 11
	memberSummed   = 12 // a checksum of four bytes, a message
)

// OfMembers tells what a packet of memberlist's is for: one that carries a probe or its answer is a probe's, whatever news
// ride on it.
func OfMembers(b []byte) Kind {
	for range 2 {
		if len(b) > 5 && b[0] == memberSummed {
			b = b[5:]
		}
		if len(b) < 2 {
			return Gossip
		}
		switch b[0] {
		case memberPing, memberIndirect, memberAck, memberNack:
			return Probe
		case memberCompound:
			n := int(b[1])
			if len(b) < 2+2*n || n == 0 {
				return Gossip
			}
			b = b[2+2*n:][:min(int(binary.BigEndian.Uint16(b[2:])), len(b)-2-2*n)]
		default:
			return Gossip
		}
	}
	return Gossip
}
