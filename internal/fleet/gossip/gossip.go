// Package gossip knows which dispatchers of the same zone are there, by hashicorp/memberlist. What it knows is late and at
// times wrong; nothing depends on it but what operators are shown. Package
// decisions/gossippeers decides with whom and when a dispatcher exchanges its whole state.
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
	fullSyncInterval       = 10 * time.Second       // between two exchanges of the whole state, where the whole fleet gossips
	leaveTimeout           = 500 * time.Millisecond // for the others to be notified that this dispatcher leaves
	updateTimeout          = 500 * time.Millisecond // for one of them to be notified of a change of its Metadata
	absentRetention        = time.Hour              // for which members that are gone are shown
	leaveNoticeRetention   = time.Minute            // for which a notice that a member leaves explains why it is gone; memberlist may need half of it to find that
	leaveNoticeRetransmits = 8                      // times the logarithm of the members: memberlist's own 4 loses some
)

// Options configure a Membership.
type Options struct {
	// Self is what this dispatcher says of itself at first.
	Self Metadata
	// WholeFleet makes it gossip with the whole fleet, as builds before message format 3 do.
	WholeFleet bool
	// Seeds are addresses of others, which are joined while nobody else is known.
	Seeds []string
	// ResolveAddress returns where an address is reached from here; nil for the address itself.
	ResolveAddress func(string) string
	// Log receives the log lines.
	Log *slog.Logger
	// Meter counts the traffic; nil for none.
	Meter *traffic.Meter
}

// Membership is the list of members. Run owns the calls to memberlist that block; all other methods may be called from any
// goroutine and do not block. memberlist calls the delegate from goroutines of its own. mu guards the fields below it and is
// never held during I/O, but for log lines.
type Membership struct {
	options      Options
	transport    *transport
	list         *memberlist.Memberlist
	leaveNotices *memberlist.TransmitLimitedQueue // that this member passes on
	selfChanged  chan struct{}                    // wakes Run
	exchangeWith chan string                      // the address of the next exchange, for Run

	mu      sync.Mutex
	self    Metadata
	members map[string]Member    // by name, with this one
	leaving map[string]time.Time // when a notice was received, by the name of the member that leaves
}

// New listens at the dispatcher's address over UDP. Streams come over its HTTP server, by ServeHTTP.
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
		_ = transport.Shutdown() // has no error to return
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
	config.DeadNodeReclaimTime = time.Millisecond // a member may come back at another address at once
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

// ServeHTTP takes another member's stream.
func (m *Membership) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.transport.ServeHTTP(w, r) }

// Run takes part in the gossip until the context ends; then it notifies the others that this member leaves, which takes up to
// twice leaveTimeout.
func (m *Membership) Run(ctx context.Context) {
	defer m.leave()
	isSelf := func(address string) bool { return address == m.options.Self.Address }
	seeds := slices.DeleteFunc(slices.Clone(m.options.Seeds), isSelf)
	for {
		if m.list.NumMembers() <= 1 && len(seeds) > 0 {
			m.join(seeds...)
		}
		m.forget()
		select {
		case <-ctx.Done():
			return
		case <-m.selfChanged:
			_ = m.list.UpdateNode(updateTimeout) // a timeout: the others are notified later
		case address := <-m.exchangeWith:
			m.join(address)
		case <-time.After(joinInterval):
		}
	}
}

// join exchanges the whole state with the members at some addresses.
func (m *Membership) join(addresses ...string) {
	if _, err := m.list.Join(addresses); err != nil {
		m.options.Log.Debug("gossip exchange failed", "addresses", strings.Join(addresses, " "), "err", err)
	}
}

// leave notifies the others that this member leaves, and ends its part. The process ends, so errors change nothing.
func (m *Membership) leave() {
	m.leaveNotices.QueueBroadcast(leaveNotice(m.options.Self.Name))
	time.Sleep(leaveTimeout) // a few rounds of gossip
	_ = m.list.Leave(leaveTimeout)
	_ = m.list.Shutdown()
}

// UpdateSelf has the others notified of what has changed of this member.
func (m *Membership) UpdateSelf(self Metadata) {
	m.mu.Lock()
	same := m.self == self
	m.self = self
	m.mu.Unlock()
	if same {
		return
	}
	select {
	case m.selfChanged <- struct{}{}:
	default: // Run has not seen the change before, and will see both
	}
}

// ExchangeWith has the whole state exchanged with the member at an address. While an exchange waits, further ones are dropped.
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

// Members returns all known members by name, this one and those that have been gone for less than absentRetention among them.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	byName := func(a, b Member) int { return strings.Compare(a.Name, b.Name) }
	return slices.SortedFunc(maps.Values(m.members), byName)
}

// forget drops what is too old.
func (m *Membership) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.leaving, func(_ string, receivedAt time.Time) bool {
		return time.Since(receivedAt) > leaveNoticeRetention
	})
	maps.DeleteFunc(m.members, func(_ string, member Member) bool {
		return member.State != Alive && time.Since(member.Since) > absentRetention
	})
}
