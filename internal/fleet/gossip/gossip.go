// Package gossip knows which neighbours of a dispatcher are there, and in which seat of the council. It is gossip among
// dispatchers of one zone, by hashicorp/memberlist: late, and at times wrong. Nothing is safe because of what it says; it
// serves to show people who is there. Whom a dispatcher meets first, and when all is exchanged, decisions/neighbours says.
package gossip

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
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

// Self is what a dispatcher says of itself.
type Self struct {
	Name          string `json:"n"`
	Address       string `json:"a"`
	Region        string `json:"r,omitempty"`
	Zone          string `json:"z,omitempty"`
	Epoch         uint64 `json:"e,omitempty"`
	VoterID       uint64 `json:"s,omitempty"`
	MessageFormat int    `json:"f"` // of messages that it can read
}

// State is whether a member is there.
type State string

// The states.
const (
	Alive State = "alive"
	Gone  State = "gone" // it fell silent
	Left  State = "left" // it said that it would
)

// Member is a dispatcher, as far as is known.
type Member struct {
	Self
	State State     `json:"State"`
	Since time.Time `json:"Since"` // of the state, as heard here
}

// Options make a list.
type Options struct {
	Self           Self
	WholeFleet     bool                // gossips over the whole fleet, as builds before form 3 did
	Seeds          []string            // addresses of some others, who are met while nobody else is there
	ResolveAddress func(string) string // where an address is reached; nil for the address itself
	Log            *slog.Logger
	Meter          *traffic.Meter // of what goes out and comes in; nil for none
}

const (
	joinEvery     = 2 * time.Second
	pushPullEvery = 10 * time.Second // where the whole fleet gossips, members exchange all that they know so often
	leaveWithin   = 500 * time.Millisecond
	keepGone      = time.Hour
	keepLeaving   = 10 * time.Second // a word that somebody leaves is about what happens within so long
	mostSaid      = 512              // bytes that memberlist carries

	// How often each member sends such a word on, times the logarithm of their number: with memberlist's own 4, one of
	// eight members missed it in one of some ten times, and nothing says it again.
	wordsMult = 8
)

// Membership is who is there.
type Membership struct {
	o  Options
	t  *transport
	ml *memberlist.Memberlist

	said  *memberlist.TransmitLimitedQueue // words that go round, beside memberlist's own
	fresh chan struct{}                    // what this member says has changed
	meet  chan string                      // with whom all is to be exchanged

	mu      sync.Mutex
	self    Self
	all     map[string]Member
	leaving map[string]time.Time // who said so, and when that was heard
}

// word is a member's that it leaves. memberlist tells everybody that it is gone, and nobody why.
type word string

func (w word) Invalidates(o memberlist.Broadcast) bool { return o == memberlist.Broadcast(w) }
func (w word) Message() []byte                         { return []byte(w) }
func (w word) Finished()                               {}

// New listens at the dispatcher's address over UDP. Streams come by ServeHTTP.
func New(o Options) (*Membership, error) {
	if o.ResolveAddress == nil {
		o.ResolveAddress = func(address string) string { return address }
	}
	t, err := newTransport(o.Self.Address, o.ResolveAddress, o.Meter)
	if err != nil {
		return nil, err
	}
	l := &Membership{o: o, t: t, self: o.Self, all: map[string]Member{}, fresh: make(chan struct{}, 1), meet: make(chan string, 1), leaving: map[string]time.Time{}}
	l.said = &memberlist.TransmitLimitedQueue{NumNodes: func() int { return l.ml.NumMembers() }, RetransmitMult: wordsMult}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Delegate, c.Events, c.Conflict = o.Self.Name, t, (*delegate)(l), (*delegate)(l), (*delegate)(l)
	c.AdvertiseAddr, c.AdvertisePort, err = splitAddress(o.Self.Address)
	c.BindPort = c.AdvertisePort
	c.EnableCompression = false
	c.DeadNodeReclaimTime = time.Millisecond // one that is gone may return at another address at once: who it is the council tells
	if c.PushPullInterval = pushPullEvery; !o.WholeFleet {
		c.PushPullInterval, c.Alive = 0, (*delegate)(l)
	}
	c.LogOutput, c.Logger = nil, slog.NewLogLogger(o.Log.Handler(), slog.LevelDebug)
	if err == nil {
		l.ml, err = memberlist.Create(c)
	}
	if err != nil {
		_ = t.Shutdown()
		return nil, err
	}
	return l, nil
}

// ServeHTTP takes another member's stream.
func (l *Membership) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.t.ServeHTTP(w, r) }

// Run joins by the seeds, again while nobody else is there, and leaves in good order at the end.
func (l *Membership) Run(ctx context.Context) {
	defer func() {
		l.said.QueueBroadcast(word(l.o.Self.Name))
		time.Sleep(leaveWithin) // a few rounds of gossip
		_ = l.ml.Leave(leaveWithin)
		_ = l.ml.Shutdown()
	}()
	seeds := slices.DeleteFunc(slices.Clone(l.o.Seeds), func(s string) bool { return s == l.o.Self.Address })
	for {
		if l.ml.NumMembers() <= 1 && len(seeds) > 0 {
			if _, err := l.ml.Join(seeds); err != nil {
				l.o.Log.Debug("nobody joined", "err", err)
			}
		}
		l.forget()
		select {
		case <-ctx.Done():
			return
		case <-l.fresh:
			_ = l.ml.UpdateNode(leaveWithin)
		case address := <-l.meet:
			if _, err := l.ml.Join([]string{address}); err != nil {
				l.o.Log.Debug("a neighbour is not met", "address", address, "err", err)
			}
		case <-time.After(joinEvery):
		}
	}
}

// UpdateSelf tells the others what has changed. It does not block: memberlist does, until somebody has heard it.
func (l *Membership) UpdateSelf(s Self) {
	l.mu.Lock()
	same := l.self == s
	l.self = s
	l.mu.Unlock()
	if !same {
		select {
		case l.fresh <- struct{}{}:
		default:
		}
	}
}

// ExchangeWith has all that is known exchanged with another member. It does not block; one that is to be met waits for the one before.
func (l *Membership) ExchangeWith(address string) {
	select {
	case l.meet <- address:
	default:
	}
}

// Digest is who is there, by what is known here.
func (l *Membership) Digest() gossippeers.Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.all))
	for name, m := range l.all {
		if m.State == Alive {
			names = append(names, name)
		}
	}
	return gossippeers.DigestOf(names)
}

// Members are all that are known, by name; those that are gone for an hour.
func (l *Membership) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.SortedFunc(maps.Values(l.all), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

func (l *Membership) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.leaving, func(_ string, at time.Time) bool { return time.Since(at) > keepLeaving })
	maps.DeleteFunc(l.all, func(_ string, m Member) bool { return m.State != Alive && time.Since(m.Since) > keepGone })
}

// delegate is a list as memberlist sees it.
type delegate Membership

// NodeMeta gives what is said of this member.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(d.self)
	if err != nil || len(text) > min(limit, mostSaid) {
		text, _ = json.Marshal(Self{Name: d.self.Name, Address: d.self.Address, Region: d.self.Region, Zone: d.self.Zone, MessageFormat: d.self.MessageFormat})
	}
	return text
}

// NotifyMsg takes a member's word that it leaves, before or behind the news that it is gone, and passes it on once.
func (d *delegate) NotifyMsg(text []byte) {
	d.heard(string(text))
}

func (d *delegate) heard(name string) {
	d.mu.Lock()
	m, known := d.all[name]
	_, had := d.leaving[name]
	if known && !had {
		d.leaving[name] = time.Now()
		if m.State == Gone && time.Since(m.Since) < keepLeaving {
			m.State = Left
			d.all[name] = m
		}
	}
	d.mu.Unlock()
	if known && !had {
		d.said.QueueBroadcast(word(name))
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.said.GetBroadcasts(overhead, limit)
}

// LocalState and MergeRemoteState exchange such words whole: a packet may be lost.
func (d *delegate) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := json.Marshal(slices.Collect(maps.Keys(d.leaving)))
	return text
}

func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	var names []string
	if json.Unmarshal(text, &names) == nil {
		for _, name := range names {
			d.heard(name)
		}
	}
}

var errFar = errors.New("it is of another zone")

// NotifyAlive lets none in but neighbours: builds that gossip over the whole fleet tell of all.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	var m Self
	if json.Unmarshal(n.Meta, &m) == nil && gossippeers.ArePeers(d.o.Self.Region, d.o.Self.Zone, m.Region, m.Zone) {
		return nil
	}
	return errFar
}

func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.note(n, Alive) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.note(n, Alive) }
func (d *delegate) NotifyLeave(n *memberlist.Node)  { d.note(n, Gone) }

// NotifyConflict tells of two members of one name at two addresses.
func (d *delegate) NotifyConflict(is, other *memberlist.Node) {
	d.o.Log.Warn("two dispatchers have one name", "name", is.Name, "address", is.Address(), "other", other.Address())
}

func (d *delegate) note(n *memberlist.Node, s State) {
	m := Member{Since: time.Now()}
	if json.Unmarshal(n.Meta, &m.Self) != nil || m.Name != n.Name { // of a build that says it otherwise
		m.Self = Self{Name: n.Name, Address: n.Address()}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_, leaving := d.leaving[n.Name]
	switch {
	case s == Alive:
		if was := d.all[n.Name].State; was == Gone || was == Left { // it is back
			delete(d.leaving, n.Name)
		}
	case leaving:
		s = Left
	}
	was := d.all[n.Name]
	m.State = s
	if was.State == s {
		m.Since = was.Since
	}
	d.all[n.Name] = m
	if was.State != s && n.Name != d.self.Name {
		d.o.Log.Info("member", "name", n.Name, "state", s, "address", cmp.Or(m.Address, n.Address()), "zone", m.Zone)
	}
}
