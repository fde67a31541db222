package gossippeers

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	stepDuration  = 500 * time.Millisecond
	leaseDuration = 2 * time.Second
)

// fleetModel is a fleet that advances in steps of stepDuration. In each step, every dispatcher that is not paused renews its lease. What
// it knows of its peers spreads by exchanges, and by gossip among dispatchers that know each other. Gossip removes unreachable peers.
type fleetModel struct {
	dispatchers     map[string]*dispatcherModel
	directory       *Directory
	now             Instant
	leaseExpiries   map[string]Instant         // by dispatcher, as the leader knows them
	partitioned     map[string]bool            // zones whose two halves do not reach each other
	dropMessage     func() bool                // reports whether the next message is lost
	lastSuggestions map[string]*PeerSuggestion // by dispatcher; delivered again in place of a lost one

	// A test sets these to inject a fault.
	suggest        func(directory *Directory, dispatcher LeaseHolder, known Digest) *PeerSuggestion
	respectsPauses bool
	filtersPeers   bool
}

// dispatcherModel is a dispatcher of a fleetModel.
type dispatcherModel struct {
	LeaseHolder
	knows       map[string]bool // itself and its peers
	paused      bool
	exchanger   Exchanger
	exchangedAt []Instant
	half        int // of its zone: 0 or 1
}

// newFleetModel returns a model without dispatchers and faults.
func newFleetModel() *fleetModel {
	return &fleetModel{
		dispatchers:     map[string]*dispatcherModel{},
		directory:       NewDirectory(),
		leaseExpiries:   map[string]Instant{},
		partitioned:     map[string]bool{},
		dropMessage:     func() bool { return false },
		lastSuggestions: map[string]*PeerSuggestion{},
		suggest:         (*Directory).Suggest,
		respectsPauses:  true,
		filtersPeers:    true,
	}
}

// join starts a dispatcher that knows no peers, and replaces one of the same name.
func (m *fleetModel) join(name, zone string, half int) {
	m.dispatchers[name] = &dispatcherModel{LeaseHolder: LeaseHolder{name, "at-" + name, "r", zone}, knows: map[string]bool{name: true}, half: half}
}

// byAddress returns the dispatcher at an address, nil if there is none.
func (m *fleetModel) byAddress(address string) *dispatcherModel {
	for _, dispatcher := range m.dispatchers {
		if dispatcher.Address == address {
			return dispatcher
		}
	}
	return nil
}

// reaches reports whether two dispatchers receive each other's messages.
func (m *fleetModel) reaches(a, b *dispatcherModel) bool {
	return b != nil && !a.paused && !b.paused && (a.Zone != b.Zone || !m.partitioned[a.Zone] || a.half == b.half)
}

// introduce makes a dispatcher known to another, if they are peers.
func (m *fleetModel) introduce(to, dispatcher *dispatcherModel) {
	if !m.filtersPeers || ArePeers(to.Region, to.Zone, dispatcher.Region, dispatcher.Zone) {
		to.knows[dispatcher.Name] = true
	}
}

// step advances the model by stepDuration: each dispatcher gossips and renews its lease.
func (m *fleetModel) step() {
	m.now += stepDuration
	names := slices.Sorted(maps.Keys(m.dispatchers))
	for _, name := range names {
		m.gossip(m.dispatchers[name])
	}
	for _, name := range names {
		m.renew(m.dispatchers[name])
	}
}

// gossip passes all that a dispatcher knows to its known peers, and removes the peers that it does not reach.
func (m *fleetModel) gossip(dispatcher *dispatcherModel) {
	for _, name := range slices.Sorted(maps.Keys(dispatcher.knows)) {
		if name == dispatcher.Name {
			continue
		}
		peer := m.dispatchers[name]
		if peer == nil || !m.reaches(dispatcher, peer) && !dispatcher.paused {
			delete(dispatcher.knows, name)
			continue
		}
		if !m.reaches(dispatcher, peer) || m.dropMessage() {
			continue
		}
		m.introduce(peer, dispatcher)
		for third := range dispatcher.knows {
			if other := m.dispatchers[third]; other != nil && m.reaches(peer, other) {
				m.introduce(peer, other)
			}
		}
	}
}

// renew renews the lease of a dispatcher, which starts an exchange with a suggested peer if it is time.
func (m *fleetModel) renew(dispatcher *dispatcherModel) {
	if dispatcher.paused || m.dropMessage() {
		return
	}
	m.leaseExpiries[dispatcher.Name] = m.now + leaseDuration
	m.refreshDirectory()
	suggestion := m.suggest(m.directory, dispatcher.LeaseHolder, dispatcher.digest())
	if m.dropMessage() { // an older suggestion is received in its place, or none
		if suggestion = m.lastSuggestions[dispatcher.Name]; suggestion == nil {
			return
		}
	}
	m.lastSuggestions[dispatcher.Name] = suggestion
	address, ok := dispatcher.exchanger.NextExchange(suggestion, dispatcher.digest(), m.now)
	if !ok && !m.respectsPauses && suggestion != nil && len(suggestion.Addresses) > 0 {
		address, ok = suggestion.Addresses[0], true
	}
	if ok {
		m.exchange(dispatcher, address)
	}
}

// refreshDirectory refreshes the leader's directory, where it is due.
func (m *fleetModel) refreshDirectory() {
	if !m.directory.Due(m.now) {
		return
	}
	var present []LeaseHolder
	for name, expiry := range m.leaseExpiries {
		if dispatcher := m.dispatchers[name]; dispatcher != nil && m.now < expiry {
			present = append(present, dispatcher.LeaseHolder)
		}
	}
	m.directory.Refresh(present, m.now)
}

// exchange makes a dispatcher and the dispatcher at an address know all that either of them knows, if they reach each other.
func (m *fleetModel) exchange(dispatcher *dispatcherModel, address string) {
	dispatcher.exchangedAt = append(dispatcher.exchangedAt, m.now)
	peer := m.byAddress(address)
	if !m.reaches(dispatcher, peer) {
		return
	}
	for _, pair := range [][2]*dispatcherModel{{dispatcher, peer}, {peer, dispatcher}} {
		for third := range pair[1].knows {
			if other := m.dispatchers[third]; other != nil {
				m.introduce(pair[0], other)
			}
		}
	}
}

// digest returns the digest of all that the dispatcher knows.
func (d *dispatcherModel) digest() Digest { return DigestOf(slices.Collect(maps.Keys(d.knows))) }

// violation describes a violation by a fleet that has had no fault for long: a dispatcher that does not know exactly its peers, that has
// started an exchange after since, or that has ever started two exchanges within minExchangePause. It returns "" if there is none.
func (m *fleetModel) violation(since Instant) string {
	for _, name := range slices.Sorted(maps.Keys(m.dispatchers)) {
		dispatcher := m.dispatchers[name]
		for _, other := range m.dispatchers {
			if peers := dispatcher.Zone == other.Zone; dispatcher.knows[other.Name] != peers {
				return fmt.Sprintf("%s of %s knows %s of %s: %t", name, dispatcher.Zone, other.Name, other.Zone, dispatcher.knows[other.Name])
			}
		}
		if n := len(dispatcher.exchangedAt); n > 0 && dispatcher.exchangedAt[n-1] > since {
			return fmt.Sprintf("%s started an exchange at %v, though all know the same", name, dispatcher.exchangedAt[n-1])
		}
	}
	return m.tooFrequentExchange()
}

// tooFrequentExchange describes two exchanges that a dispatcher started within minExchangePause.
func (m *fleetModel) tooFrequentExchange() string {
	for name, dispatcher := range m.dispatchers {
		for i := 1; i < len(dispatcher.exchangedAt); i++ {
			if dispatcher.exchangedAt[i]-dispatcher.exchangedAt[i-1] < minExchangePause {
				return fmt.Sprintf("%s started exchanges at %v and %v", name, dispatcher.exchangedAt[i-1], dispatcher.exchangedAt[i])
			}
		}
	}
	return ""
}

// settle advances the model until there was no violation for a minute, or until the longest interval between exchanges has passed several
// times. It returns the last violation, "" if there was none for a minute.
func (m *fleetModel) settle() string {
	start, last := m.now, ""
	for validSince := m.now; m.now < start+8*time.Minute; {
		m.step()
		if violation := m.violation(m.now - stepDuration); violation != "" {
			validSince, last = m.now, violation
		}
		if m.now >= validSince+time.Minute {
			return ""
		}
	}
	return last
}
