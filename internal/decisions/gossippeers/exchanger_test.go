package gossippeers

import (
	"fmt"
	"testing"
	"time"
)

// TestExchanger_backsOff checks when exchanges start. A dispatcher that knows no peer, or only 60 of 120, starts one at once; a dispatcher
// that knows 100 of 120 waits for gossip. Exchanges that change nothing become rarer, at intervals that grow with the number of peers.
func TestExchanger_backsOff(t *testing.T) {
	suggestion := &PeerSuggestion{120, []string{"x"}}
	var withoutPeers Exchanger
	if _, ok := withoutPeers.NextExchange(suggestion, DigestOf([]string{"me"}), 0); !ok {
		t.Error("a dispatcher without peers does not start an exchange at once")
	}
	names := make([]string, 100)
	for i := range names {
		names[i] = fmt.Sprint("n", i)
	}
	var knowsHalf Exchanger
	if _, ok := knowsHalf.NextExchange(suggestion, DigestOf(names[:60]), 0); !ok {
		t.Error("a dispatcher that knows half of the lease holders does not start an exchange at once")
	}
	var exchanger Exchanger
	known, startedAt := DigestOf(names), []Instant{}
	for now := Instant(0); now < time.Hour; now += stepDuration {
		if _, ok := exchanger.NextExchange(suggestion, known, now); ok {
			startedAt = append(startedAt, now)
		}
	}
	if len(startedAt) < 3 || startedAt[0] != GossipSettleTime || startedAt[1]-startedAt[0] != 100*MinExchangeInterval ||
		startedAt[len(startedAt)-1]-startedAt[len(startedAt)-2] != 16*100*MinExchangeInterval {
		t.Errorf("exchanges started at %v", startedAt)
	}
	if _, ok := exchanger.NextExchange(nil, known, 2*time.Hour); ok || exchanger.differs {
		t.Error("an exchange starts, or the dispatcher counts as different, although the leader knows the same peers")
	}
}
