// Package gossippeers decides which dispatchers of a fleet gossip with each other, and when two of them exchange all that they know
// of their peers. The peers of a dispatcher are the others of its zone; who is present beyond it the raft leader knows by the
// leases that it grants. The package is pure: values in, verdicts out, with no I/O, no clock and no goroutine. Its types are not
// safe for concurrent use.
//
// With each lease renewal a dispatcher sends a Digest of itself and the peers that it knows. The leader compares it with the
// lease holders of the zone, and suggests some of them as peers where the two differ. So no dispatcher exchanges anything while all
// know the same, however many they are.
//
// The package guarantees, whatever messages are lost, delayed or duplicated:
//
//  1. A dispatcher that knows exactly the lease holders of its zone gets no suggestion, and begins no exchange.
//  2. A dispatcher that knows no peer, in a zone with other lease holders, gets a suggestion with its first lease and begins an
//     exchange at once.
//  3. Two groups in a zone that do not know each other exchange what they know once both hold leases: a dispatcher that knows at
//     most half of the lease holders begins at once, any other one after GossipSettleTime.
//  4. A dispatcher begins at most one exchange in MinExchangeInterval for each dispatcher that it knows, and in minExchangePause.
//     While exchanges change nothing, the interval doubles up to maxBackoffFactor times MinExchangeInterval.
package gossippeers

import "time"

// Instant is a point in time of one process: the time since an epoch of its own, which never moves back.
type Instant = time.Duration
