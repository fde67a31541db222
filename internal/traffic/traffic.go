// Package traffic counts the control traffic of a process: bytes at the connection, headers included, over TCP and UDP, and
// messages, by purpose. What the kernel adds (packet headers, acknowledgements) is not counted.
package traffic

import "sync/atomic"

// Kind is the purpose of bytes.
type Kind uint8

// The kinds.
const (
	Other     Kind = iota // operators' commands, founding, and bytes of unknown purpose
	Renewal               // requests for leases; at voters also the requests collected for the leader
	Record                // watches of the fleet's record
	Report                // observations of zones, within renewals
	Budget                // demands of budgets and their leases, within renewals
	Gossip                // membership: updates, and exchanges of the whole state
	Probe                 // liveness probes of members
	Raft                  // between voters
	Discovery             // polls for the endpoint list
	kindCount
)

var kindNames = [kindCount]string{
	Other:     "other",
	Renewal:   "renewal",
	Record:    "record",
	Report:    "report",
	Budget:    "budget",
	Gossip:    "gossip",
	Probe:     "member_probe",
	Raft:      "raft",
	Discovery: "discovery",
}

// String returns the kind's name in metrics.
func (k Kind) String() string { return kindNames[k] }

// Count is the traffic of a kind since the start.
type Count struct {
	Sent     uint64 `json:"sent"` // bytes
	Received uint64 `json:"received"`
	Messages uint64 `json:"messages"` // calls and packets, each counted at both of its ends
}

// Bytes returns the bytes of both directions.
func (c Count) Bytes() uint64 { return c.Sent + c.Received }

// Meter counts traffic. The zero value is ready for use, and a nil Meter counts nothing. It may be used from any goroutine.
type Meter struct {
	counters [kindCount]counter
}

type counter struct{ sent, received, messages atomic.Uint64 }

// Sent adds bytes that were written.
func (m *Meter) Sent(kind Kind, bytes int) {
	if m != nil && bytes > 0 {
		m.counters[kind].sent.Add(uint64(bytes))
	}
}

// Received adds bytes that were read.
func (m *Meter) Received(kind Kind, bytes int) {
	if m != nil && bytes > 0 {
		m.counters[kind].received.Add(uint64(bytes))
	}
}

// Message adds one message.
func (m *Meter) Message(kind Kind) {
	if m != nil {
		m.counters[kind].messages.Add(1)
	}
}

// Within counts a part of the bytes of one kind as bytes of another, such as a report within a renewal. It may be called
// before the bytes themselves are counted: until then the count of the first kind is too low.
func (m *Meter) Within(of, as Kind, sent, received int) {
	if m == nil {
		return
	}
	m.counters[of].sent.Add(-uint64(sent))
	m.counters[of].received.Add(-uint64(received))
	m.counters[as].sent.Add(uint64(sent))
	m.counters[as].received.Add(uint64(received))
}

// Counts returns the counts by the name of the kind. It leaves out kinds without traffic.
func (m *Meter) Counts() map[string]Count {
	counts := map[string]Count{}
	if m == nil {
		return counts
	}
	for kind := range m.counters {
		counted := &m.counters[kind]
		count := Count{
			Sent:     counted.sent.Load(),
			Received: counted.received.Load(),
			Messages: counted.messages.Load(),
		}
		if count != (Count{}) {
			counts[Kind(kind).String()] = count
		}
	}
	return counts
}

// Total returns the sum over kinds.
func Total(counts map[string]Count) (total Count) {
	for _, count := range counts {
		total.Sent += count.Sent
		total.Received += count.Received
		total.Messages += count.Messages
	}
	return total
}
