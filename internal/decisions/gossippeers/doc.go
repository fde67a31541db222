// Package gossippeers decides which dispatchers of a fleet gossip with each other, and when two of them exchange all that they know
// of their peers. The peers of a dispatcher are the other dispatchers of its zone. The raft leader knows which dispatchers are present in
// other zones, by the leases that it grants. The package does no I/O, reads no clock and starts no goroutine. Its types are not safe for
// concurrent use.
//
// With each lease renewal a dispatcher sends a Digest of itself and the peers that it knows. The leader compares it with the digest of
// the zone's lease holders, and suggests some of them as peers if the two differ. So no dispatcher begins an exchange while all know
// the same, for any number of dispatchers.
//
// The package guarantees, regardless of lost, delayed or duplicated messages:
//
//  1. A dispatcher that knows exactly the lease holders of its zone gets no suggestion, and begins no exchange.
//  2. A dispatcher that knows no peer, in a zone with other lease holders, gets a suggestion with its first lease and begins an
//     exchange at once.
//  3. Two groups in a zone that do not know each other exchange what they know once both hold leases: a dispatcher that knows at
//     most half of the lease holders begins at once, any other one after GossipSettleTime.
//  4. The time between two exchanges that a dispatcher begins is at least MinExchangeInterval times the number of dispatchers that it
//     knows, and at least minExchangePause. While exchanges change nothing, each exchange doubles the first of these bounds, up to
//     maxBackoffFactor times its initial value.
package gossippeers

import "time"

// Instant is a point in time of one process: the time since an epoch of its own, which never moves back.
type Instant = time.Duration
