package gossippeers

import (
	"fmt"
	"testing"
	"time"
)

// TestExchanger_backsOff checks that a dispatcher that knows no peer, or only half of them, begins an exchange at once, that one
// that knows more waits for gossip, and that exchanges that change nothing get rarer, all by the number of peers.
func TestExchanger_backsOff(t *testing.T) {
	suggestion := &PeerSuggestion{120, []string{"x"}}
	var alone Exchanger
	if _, ok := alone.NextExchange(suggestion, DigestOf([]string{"me"}), 0); !ok {
		t.Error("one that is alone does not begin at once")
	}
	names := make([]string, 100)
	for i := range names {
		names[i] = fmt.Sprint("n", i)
	}
	var knowsHalf Exchanger
	if _, ok := knowsHalf.NextExchange(suggestion, DigestOf(names[:60]), 0); !ok {
		t.Error("one that knows half does not begin at once")
	}
	var exchanger Exchanger
	known, begun := DigestOf(names), []Instant{}
	for now := Instant(0); now < time.Hour; now += stepDuration {
		if _, ok := exchanger.NextExchange(suggestion, known, now); ok {
			begun = append(begun, now)
		}
	}
	if len(begun) < 3 || begun[0] != GossipSettleTime || begun[1]-begun[0] != 100*MinExchangeInterval ||
		begun[len(begun)-1]-begun[len(begun)-2] != 16*100*MinExchangeInterval {
		t.Errorf("began at %v", begun)
	}
	if _, ok := exchanger.NextExchange(nil, known, 2*time.Hour); ok || exchanger.differs {
		t.Error("it begins though the leader knows the same")
	}
}
