package traffic

import (
	"encoding/binary"
	"net"
)

// Packets is a packet connection whose packets are counted, each as the kind that kindOf returns for its bytes.
type Packets struct {
	net.PacketConn
	meter  *Meter
	kindOf func([]byte) Kind
}

// Packets returns a packet connection that counts the packets of conn.
func (m *Meter) Packets(conn net.PacketConn, kindOf func([]byte) Kind) *Packets {
	return &Packets{PacketConn: conn, meter: m, kindOf: kindOf}
}

// ReadFrom reads and counts one packet.
func (p *Packets) ReadFrom(buffer []byte) (int, net.Addr, error) {
	n, from, err := p.PacketConn.ReadFrom(buffer)
	if err == nil {
		kind := p.kindOf(buffer[:n])
		p.meter.Received(kind, n)
		p.meter.Message(kind)
	}
	return n, from, err
}

// WriteTo writes and counts one packet.
func (p *Packets) WriteTo(packet []byte, to net.Addr) (int, error) {
	n, err := p.PacketConn.WriteTo(packet, to)
	if err == nil {
		kind := p.kindOf(packet)
		p.meter.Sent(kind, n)
		p.meter.Message(kind)
	}
	return n, err
}

// The first bytes of memberlist's messages.
const (
	memberPing         = 0
	memberIndirectPing = 1
	memberAck          = 2
	memberCompound     = 7 // followed by a count, as many lengths of two bytes, and the messages
	memberNack         = 11
	memberChecksum     = 12 // followed by a checksum of four bytes and a message
)

const (
	checksumHeaderBytes = 5
	compoundHeaderBytes = 2
	compoundLengthBytes = 2
	maxNesting          = 2 // a compound message, and the first message in it
)

// MemberlistKind returns the kind of a packet of memberlist: Probe if it carries a probe or the response to a probe, regardless of
// updates in the same packet, otherwise Gossip.
func MemberlistKind(packet []byte) Kind {
	for range maxNesting {
		if len(packet) > checksumHeaderBytes && packet[0] == memberChecksum {
			packet = packet[checksumHeaderBytes:]
		}
		if len(packet) < compoundHeaderBytes {
			return Gossip
		}
		switch packet[0] {
		case memberPing, memberIndirectPing, memberAck, memberNack:
			return Probe
		case memberCompound:
			first, ok := firstOfCompound(packet)
			if !ok {
				return Gossip
			}
			packet = first
		default:
			return Gossip
		}
	}
	return Gossip
}

// firstOfCompound returns the first message of a compound message, cut off at the end of the packet.
func firstOfCompound(packet []byte) (first []byte, ok bool) {
	count := int(packet[1])
	header := compoundHeaderBytes + compoundLengthBytes*count
	if count == 0 || len(packet) < header {
		return nil, false
	}
	length := int(binary.BigEndian.Uint16(packet[compoundHeaderBytes:]))
	messages := packet[header:]
	return messages[:min(length, len(messages))], true
}
