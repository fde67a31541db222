package gossippeers

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

const (
	// refreshInterval is the time after a refresh at which a directory is due for the next one.
	refreshInterval = 250 * time.Millisecond

	// maxSuggestedPeers is the maximum number of addresses in a suggestion.
	maxSuggestedPeers = 2
)

// Directory is the raft leader's directory of the dispatchers that hold leases, by zone, as of its last refresh.
type Directory struct {
	refreshedAt Instant
	zones       map[zoneKey]*zoneMembers
	suggestions uint64 // made so far
}

// zoneKey identifies a zone: zones of two regions may have the same name.
type zoneKey struct {
	region, zone string
}

// zoneMembers are the lease holders of a zone.
type zoneMembers struct {
	digest  Digest
	members []LeaseHolder // sorted by name
}

// PeerSuggestion is the leader's response to a dispatcher whose digest differs from the digest of its zone's lease holders.
type PeerSuggestion struct {
	Count     int      `json:"n"` // number of lease holders of the zone, including the dispatcher
	Addresses []string `json:"a"` // of at most maxSuggestedPeers lease holders
}

// NewDirectory returns an empty directory, which is due for a refresh.
func NewDirectory() *Directory {
	return &Directory{refreshedAt: -refreshInterval, zones: map[zoneKey]*zoneMembers{}}
}

// Due reports whether Refresh should be called before the next suggestion.
func (d *Directory) Due(now Instant) bool { return now-d.refreshedAt >= refreshInterval }

// Refresh replaces the content with the dispatchers that hold leases now.
func (d *Directory) Refresh(members []LeaseHolder, now Instant) {
	d.refreshedAt = now
	clear(d.zones)
	for _, member := range members {
		key := zoneKey{member.Region, member.Zone}
		zone := d.zones[key]
		if zone == nil {
			zone = &zoneMembers{}
			d.zones[key] = zone
		}
		zone.members = append(zone.members, member)
	}
	for _, zone := range d.zones {
		slices.SortFunc(zone.members, func(a, b LeaseHolder) int { return strings.Compare(a.Name, b.Name) })
		names := make([]string, len(zone.members))
		for i, member := range zone.members {
			names[i] = member.Name
		}
		zone.digest = DigestOf(names)
	}
}

// Suggest returns peers for a dispatcher. known is the digest of the dispatcher and the peers that it knows. Suggest returns nil if known
// equals the digest of the zone's lease holders, or if both count fewer than two dispatchers. The position from which peers are taken
// varies between calls, so that a dispatcher that asks again and again is suggested each of them.
func (d *Directory) Suggest(dispatcher LeaseHolder, known Digest) *PeerSuggestion {
	zone := d.zones[zoneKey{dispatcher.Region, dispatcher.Zone}]
	if zone == nil || zone.digest == known || len(zone.members) < 2 && known.Count < 2 {
		return nil
	}
	d.suggestions++
	suggestion := &PeerSuggestion{Count: zone.digest.Count}
	begin := suggestionHash(dispatcher.Name, d.suggestions)
	for i := range zone.members {
		peer := zone.members[(begin+i)%len(zone.members)]
		if peer.Name == dispatcher.Name || peer.Address == "" {
			continue
		}
		suggestion.Addresses = append(suggestion.Addresses, peer.Address)
		if len(suggestion.Addresses) == maxSuggestedPeers {
			break
		}
	}
	return suggestion
}

// suggestionHash returns a number of at most 31 bits that differs from one suggestion to the next.
func suggestionHash(name string, suggestions uint64) int {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, name, suggestions) // a hash accepts any bytes
	return int(hash.Sum64() * hashMultiplier >> 33)
}
