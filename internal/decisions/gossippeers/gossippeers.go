// Package gossippeers decides which dispatchers of a fleet gossip with each other, and when two of them exchange all that they
// know. Neighbours are those of one zone. Who is there beyond it the council's leader knows by the leases that it gives
// anyway. Values in, verdicts out: no I/O, no clock, no goroutine.
//
// With each question for a lease a dispatcher says how many neighbours it knows, and a sum over their names. The leader holds
// that against those of the zone that hold leases, and where the two differ it names a few of them. So nobody exchanges
// anything while all know the same, however many they are.
//
// It promises, whatever is lost, late or doubled:
//
//  1. A dispatcher whose neighbours are those that the leader knows is named nobody, and exchanges nothing.
//  2. One that is alone and not the only one of its zone is named a neighbour with its first lease, and meets it at once.
//  3. Two parts of a zone that do not know each other meet, once both hold leases: the smaller one within seconds.
//  4. A dispatcher begins at most one exchange in Spacing for each neighbour, whatever anybody says; where exchanges change
//     nothing, one in sixteen times that.
package gossippeers

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Clock is a point in time of one process: since an epoch of its own, never moved back.
type Clock = time.Duration

const (
	// MinExchangeInterval is the least time between two exchanges that a dispatcher begins, for each of its neighbours: an exchange
	// takes bytes by their number.
	MinExchangeInterval = 200 * time.Millisecond
	// GossipSettleTime is for how long the leader has to know others than a dispatcher before it exchanges all with one of them:
	// gossip tells it by itself who came and who fell silent, and takes up to so long. One that knows no more than half of
	// those that the leader knows does not wait: gossip does not reach it.
	GossipSettleTime = 20 * time.Second

	minExchangePause  = 2 * time.Second
	maxBackoffFactor  = 16
	maxSuggestedPeers = 2 // neighbours at a time
)

// ArePeers tells whether two dispatchers gossip with each other.
func ArePeers(region, zone, otherRegion, otherZone string) bool {
	return region == otherRegion && zone == otherZone
}

// Digest is who is of a zone, as somebody knows it, without their names.
type Digest struct {
	Count int    `json:"n"`
	Sum   uint64 `json:"s"` // of the names' hashes, in whatever order
}

// DigestOf gives the roll of names, each of which is there once.
func DigestOf(names []string) (r Digest) {
	for _, name := range names {
		h := fnv.New64a()
		h.Write([]byte(name))
		r.Count++
		r.Sum += h.Sum64() * 0x9e3779b97f4a7c15
	}
	return r
}

// Member is a dispatcher that holds a lease.
type Member struct {
	Name, Address, Region, Zone string
}

// Directory is the leader's: who holds leases in each zone, as of its last look.
type Directory struct {
	refreshedAt Clock
	zones       map[[2]string]*zoneMembers
	suggestions uint64
}

type zoneMembers struct {
	digest  Digest
	members []Member // by name
}

// NewDirectory makes an empty one. It is to be looked at before anybody is named.
func NewDirectory() *Directory {
	return &Directory{refreshedAt: -refreshInterval, zones: map[[2]string]*zoneMembers{}}
}

const refreshInterval = 250 * time.Millisecond

// Due tells whether the register is to be made anew.
func (g *Directory) Due(now Clock) bool { return now-g.refreshedAt >= refreshInterval }

// Refresh takes in who holds leases now.
func (g *Directory) Refresh(members []Member, now Clock) {
	g.refreshedAt = now
	clear(g.zones)
	for _, m := range members {
		at := [2]string{m.Region, m.Zone}
		z := g.zones[at]
		if z == nil {
			z = &zoneMembers{}
			g.zones[at] = z
		}
		z.members = append(z.members, m)
	}
	for _, z := range g.zones {
		slices.SortFunc(z.members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
		names := make([]string, len(z.members))
		for i, m := range z.members {
			names[i] = m.Name
		}
		z.digest = DigestOf(names)
	}
}

// PeerSuggestion is what the leader says to one who knows other neighbours than the register has.
type PeerSuggestion struct {
	Count     int      `json:"n"` // that the register has
	Addresses []string `json:"a"` // of some of them
}

// Suggest names some neighbours of one who knows others than the register has; nil where both know the same. Each question is
// answered by others, so whoever asks often enough is named each.
func (g *Directory) Suggest(asks Member, knows Digest) *PeerSuggestion {
	z := g.zones[[2]string{asks.Region, asks.Zone}]
	if z == nil || z.digest == knows || len(z.members) < 2 && knows.Count < 2 {
		return nil
	}
	g.suggestions++
	n := &PeerSuggestion{Count: z.digest.Count}
	h := fnv.New64a()
	fmt.Fprint(h, asks.Name, g.suggestions)
	begin := int(h.Sum64() * 0x9e3779b97f4a7c15 >> 33)
	for i := range z.members {
		m := z.members[(begin+i)%len(z.members)]
		if m.Name != asks.Name && m.Address != "" {
			if n.Addresses = append(n.Addresses, m.Address); len(n.Addresses) == maxSuggestedPeers {
				break
			}
		}
	}
	return n
}

// Exchanger is a dispatcher's part.
type Exchanger struct {
	differs       bool
	differsSince  Clock  // that the leader knows others
	nextAt        Clock  // when it may begin another exchange
	backoffFactor int    // times the spacing
	lastDigest    Digest // at the last exchange
	exchanged     bool
}

// NextExchange tells whether to exchange all with one of those that the leader has named, and with whom, by what this dispatcher
// knows now; nil says that the leader knows the same.
func (v *Exchanger) NextExchange(n *PeerSuggestion, knows Digest, now Clock) (address string, ok bool) {
	if n == nil || len(n.Addresses) == 0 {
		v.differs, v.backoffFactor = false, 0
		return "", false
	}
	if !v.differs {
		v.differs, v.differsSince = true, now
	}
	far := 2*knows.Count <= n.Count || knows.Count <= 1
	if now < v.nextAt || !far && now-v.differsSince < GossipSettleTime {
		return "", false
	}
	if v.exchanged && knows == v.lastDigest { // the last exchange changed nothing
		v.backoffFactor = min(max(2*v.backoffFactor, 2), maxBackoffFactor)
	} else {
		v.backoffFactor = 1
	}
	v.exchanged, v.lastDigest = true, knows
	v.nextAt = now + max(minExchangePause, time.Duration(knows.Count*v.backoffFactor)*MinExchangeInterval)
	return n.Addresses[0], true
}
