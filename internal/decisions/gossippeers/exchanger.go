package gossippeers

import "time"

const (
	// MinExchangeInterval is the minimum time between two exchanges that a dispatcher begins, for each dispatcher that it knows: an
	// exchange carries some bytes for each known dispatcher.
	MinExchangeInterval = 200 * time.Millisecond

	// GossipSettleTime is how long each renewal must bring a suggestion before a dispatcher begins an exchange. Gossip takes up to
	// that time to spread which dispatchers have joined or failed. A dispatcher that knows at most half of the lease holders does not
	// wait: gossip does not reach it.
	GossipSettleTime = 20 * time.Second

	// minExchangePause is the minimum time between two exchanges that a dispatcher begins, even if it knows few dispatchers.
	minExchangePause = 2 * time.Second

	// maxBackoffFactor is the maximum factor by which exchanges that change nothing lengthen the interval.
	maxBackoffFactor = 16
)

// Exchanger decides when a dispatcher begins an exchange with a suggested peer. Its zero value is ready for use.
type Exchanger struct {
	differs       bool    // the last renewal brought a suggestion
	differsSince  Instant // start of the time in which each renewal has brought a suggestion
	nextAt        Instant // when another exchange may begin
	backoffFactor int     // by which the interval is lengthened
	exchanged     bool    // an exchange has ever begun
	lastDigest    Digest  // of the known dispatchers when the last exchange began
}

// NextExchange returns the address of the peer with which to begin an exchange now; ok is false if none should begin. It is called
// after each lease renewal, with the leader's suggestion, which is nil if the leader knows the same peers, and the current digest of
// the dispatcher and the peers that it knows.
func (e *Exchanger) NextExchange(suggestion *PeerSuggestion, known Digest, now Instant) (address string, ok bool) {
	if suggestion == nil || len(suggestion.Addresses) == 0 {
		e.differs, e.backoffFactor = false, 0
		return "", false
	}
	if !e.differs {
		e.differs, e.differsSince = true, now
	}
	knowsFew := 2*known.Count <= suggestion.Count || known.Count <= 1
	if now < e.nextAt || !knowsFew && now-e.differsSince < GossipSettleTime {
		return "", false
	}
	if e.exchanged && known == e.lastDigest { // the last exchange changed nothing
		e.backoffFactor = min(max(2*e.backoffFactor, 2), maxBackoffFactor)
	} else {
		e.backoffFactor = 1
	}
	e.exchanged, e.lastDigest = true, known
	e.nextAt = now + max(minExchangePause, time.Duration(known.Count*e.backoffFactor)*MinExchangeInterval)
	return suggestion.Addresses[0], true
}
