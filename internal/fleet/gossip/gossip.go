// Package gossip lists which dispatchers of the same zone are alive, using hashicorp/memberlist. The list lags and is sometimes
// wrong; it is only shown to operators, and nothing else depends on it. Package decisions/gossippeers decides with whom and
// when a dispatcher exchanges its whole state.
package gossip

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/traffic"
)

const (
	joinInterval           = 2 * time.Second
	fullSyncInterval       = 10 * time.Second       // between two exchanges of the whole state, with WholeFleet
	leaveTimeout           = 500 * time.Millisecond // for notifying the others that this dispatcher leaves
	updateTimeout          = 500 * time.Millisecond // for notifying another member of changed Metadata
	absentRetention        = time.Hour              // how long members that are gone stay in the list
	leaveNoticeRetention   = time.Minute            // how long a leave notice explains why a member is gone; memberlist may take half of this time to detect that the member is gone
	leaveNoticeRetransmits = 8                      // times the logarithm of the number of members; with memberlist's default of 4 some notices are lost
)

// Options configure a Membership.
type Options struct {
	// Self is the Metadata of this dispatcher at the start.
	Self Metadata
	// WholeFleet makes this dispatcher gossip with the whole fleet, as builds before message format 3 do.
	WholeFleet bool
	// Seeds are addresses of other dispatchers. Run joins them while it knows no other member.
	Seeds []string
	// ResolveAddress returns the address to dial for a member's address; nil if they are the same.
	ResolveAddress func(string) string
	// Log receives the log lines.
	Log *slog.Logger
	// Meter counts the traffic; nil counts nothing.
	Meter *traffic.Meter
}

// Membership is the list of members. Only Run makes calls to memberlist that block; all other methods may be called from any
// goroutine and do not block. memberlist calls the delegate from its own goroutines. mu guards the fields below it and is
// never held during I/O, except for log lines.
type Membership struct {
	options      Options
	transport    *transport
	list         *memberlist.Memberlist
	leaveNotices *memberlist.TransmitLimitedQueue // notices that this member passes on
	selfChanged  chan struct{}                    // wakes Run
	exchangeWith chan string                      // the address of the next exchange, for Run

	mu      sync.Mutex
	self    Metadata
	members map[string]Member    // by name, including this member
	leaving map[string]time.Time // when a notice was received, by the name of the member that leaves
}

// New listens at the dispatcher's address over UDP. Streams arrive through the dispatcher's HTTP server, at ServeHTTP.
func New(options Options) (*Membership, error) {
	if options.ResolveAddress == nil {
		options.ResolveAddress = func(address string) string { return address }
	}
	transport, err := newTransport(options.Self.Address, options.ResolveAddress, options.Meter)
	if err != nil {
		return nil, err
	}
	membership := &Membership{
		options:      options,
		transport:    transport,
		selfChanged:  make(chan struct{}, 1),
		exchangeWith: make(chan string, 1),
		self:         options.Self,
		members:      map[string]Member{},
		leaving:      map[string]time.Time{},
	}
	membership.leaveNotices = &memberlist.TransmitLimitedQueue{
		NumNodes:       func() int { return membership.list.NumMembers() },
		RetransmitMult: leaveNoticeRetransmits,
	}
	config, err := membership.config()
	if err == nil {
		membership.list, err = memberlist.Create(config)
	}
	if err != nil {
		_ = transport.Shutdown() // always returns nil
		return nil, err
	}
	return membership, nil
}

// config returns memberlist's settings.
func (m *Membership) config() (*memberlist.Config, error) {
	host, port, err := splitAddress(m.options.Self.Address)
	if err != nil {
		return nil, err
	}
	config := memberlist.DefaultLANConfig()
	config.Name = m.options.Self.Name
	config.Transport = m.transport
	config.AdvertiseAddr = host
	config.AdvertisePort = port
	config.BindPort = port
	config.Delegate = (*delegate)(m)
	config.Events = (*delegate)(m)
	config.Conflict = (*delegate)(m)
	config.EnableCompression = false
	config.DeadNodeReclaimTime = time.Millisecond // a member may return at another address immediately
	config.LogOutput = nil
	config.Logger = slog.NewLogLogger(m.options.Log.Handler(), slog.LevelDebug)
	if m.options.WholeFleet {
		config.PushPullInterval = fullSyncInterval
		return config, nil
	}
	config.PushPullInterval = 0 // gossippeers decides when to exchange the whole state
	config.Alive = (*delegate)(m)
	return config, nil
}

// ServeHTTP accepts another member's stream.
func (m *Membership) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.transport.ServeHTTP(w, r) }

// Run takes part in the gossip until the context ends. Then it notifies the others that this member leaves, which takes up to
// twice leaveTimeout.
func (m *Membership) Run(ctx context.Context) {
	defer m.leave()
	isSelf := func(address string) bool { return address == m.options.Self.Address }
	seeds := slices.DeleteFunc(slices.Clone(m.options.Seeds), isSelf)
	for {
		if m.list.NumMembers() <= 1 && len(seeds) > 0 {
			m.join(seeds...)
		}
		m.removeExpired()
		select {
		case <-ctx.Done():
			return
		case <-m.selfChanged:
			_ = m.list.UpdateNode(updateTimeout) // after a timeout the others are notified later
		case address := <-m.exchangeWith:
			m.join(address)
		case <-time.After(joinInterval):
		}
	}
}

// join exchanges the whole state with the members at the given addresses.
func (m *Membership) join(addresses ...string) {
	if _, err := m.list.Join(addresses); err != nil {
		m.options.Log.Debug("gossip exchange failed", "addresses", strings.Join(addresses, " "), "err", err)
	}
}

// leave notifies the others that this member leaves, and stops memberlist. It ignores errors, because the process ends.
func (m *Membership) leave() {
	m.leaveNotices.QueueBroadcast(leaveNotice(m.options.Self.Name))
	time.Sleep(leaveTimeout) // a few rounds of gossip
	_ = m.list.Leave(leaveTimeout)
	_ = m.list.Shutdown()
}

// UpdateSelf sets this member's Metadata. If it has changed, Run notifies the others.
func (m *Membership) UpdateSelf(self Metadata) {
	m.mu.Lock()
	unchanged := m.self == self
	m.self = self
	m.mu.Unlock()
	if unchanged {
		return
	}
	select {
	case m.selfChanged <- struct{}{}:
	default: // Run has not handled the previous change yet, and will handle both
	}
}

// ExchangeWith makes Run exchange the whole state with the member at an address. While an exchange is queued, further ones are
// dropped.
func (m *Membership) ExchangeWith(address string) {
	select {
	case m.exchangeWith <- address:
	default:
	}
}

// Digest returns the digest of the members that are alive.
func (m *Membership) Digest() gossippeers.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.members))
	for name, member := range m.members {
		if member.State == Alive {
			names = append(names, name)
		}
	}
	return gossippeers.DigestOf(names)
}

// Members returns all known members, sorted by name. They include this member, and members that have been gone for less than
// absentRetention.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	byName := func(a, b Member) int { return strings.Compare(a.Name, b.Name) }
	return slices.SortedFunc(maps.Values(m.members), byName)
}

// removeExpired removes leave notices that are older than leaveNoticeRetention, and members that have been gone for longer than
// absentRetention.
func (m *Membership) removeExpired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.leaving, func(_ string, receivedAt time.Time) bool {
		return time.Since(receivedAt) > leaveNoticeRetention
	})
	maps.DeleteFunc(m.members, func(_ string, member Member) bool {
		return member.State != Alive && time.Since(member.Since) > absentRetention
	})
}
