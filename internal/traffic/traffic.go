// Package traffic counts what control writes and reads: bytes at the connection, heads included, over TCP and UDP, and
// messages, by what they are for. What the kernel adds (packet heads, acknowledgements) is not in it.
package traffic

import "sync/atomic"

// Kind is what bytes are for.
type Kind uint8

// The kinds.
const (
	Other     Kind = iota // commands of people, founding, and what nobody has named yet
	Renewal               // leases: questions and answers, at seats those gathered for the leader too
	Record                // subscriptions to what was agreed on
	Report                // what dispatchers saw of zones, within renewals
	Budget                // what they ask for and are dealt, within renewals
	Gossip                // who is there: news, and exchanges of all that is known
	Probe                 // of members: whether they are there
	Raft                  // between seats
	Discovery             // calls for the list of workers
	kinds
)

var names = [kinds]string{"other", "renewal", "record", "report", "budget", "gossip", "member_probe", "raft", "discovery"}

func (k Kind) String() string { return names[k] }

// Count is what was counted of a kind since the start. Messages are calls and packets, each counted at both of its ends.
type Count struct {
	Sent     uint64 `json:"sent"` // bytes
	Received uint64 `json:"received"`
	Messages uint64 `json:"messages"`
}

// Bytes are those of both ways.
func (c Count) Bytes() uint64 { return c.Sent + c.Received }

// Meter counts. The zero value counts from nothing, and a nil one not at all. Calls may come at the same time.
type Meter struct {
	all [kinds]struct{ sent, received, messages atomic.Uint64 }
}

// Sent adds bytes that were written.
func (m *Meter) Sent(k Kind, n int) {
	if m != nil && n > 0 {
		m.all[k].sent.Add(uint64(n))
	}
}

// Received adds bytes that were read.
func (m *Meter) Received(k Kind, n int) {
	if m != nil && n > 0 {
		m.all[k].received.Add(uint64(n))
	}
}

// Message adds one message.
func (m *Meter) Message(k Kind) {
	if m != nil {
		m.all[k].messages.Add(1)
	}
}

// Within has a part of what is counted as one kind count as another: the bytes of a report in a question for a lease.
// They may be taken away before they are counted; in between the first kind lacks them.
func (m *Meter) Within(of, as Kind, sent, received int) {
	if m == nil {
		return
	}
	m.all[of].sent.Add(-uint64(sent))
	m.all[of].received.Add(-uint64(received))
	m.all[as].sent.Add(uint64(sent))
	m.all[as].received.Add(uint64(received))
}

// Counts gives what was counted of each kind of which there was anything, by its name.
func (m *Meter) Counts() map[string]Count {
	all := map[string]Count{}
	if m == nil {
		return all
	}
	for k := range m.all {
		x := &m.all[k]
		if c := (Count{x.sent.Load(), x.received.Load(), x.messages.Load()}); c != (Count{}) {
			all[Kind(k).String()] = c
		}
	}
	return all
}

// Total is the sum over kinds.
func Total(all map[string]Count) (c Count) {
	for _, x := range all {
		c.Sent, c.Received, c.Messages = c.Sent+x.Sent, c.Received+x.Received, c.Messages+x.Messages
	}
	return c
}
