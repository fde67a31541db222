package gossippeers

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetModel is a fleet in steps of half a second: every dispatcher asks for a lease at each, unless it is cut off or frozen. What
// it knows of its neighbours goes by exchanges, and by gossip among those that know each other, which loses what is cut.
type fleetModel struct {
	dispatchers     map[string]*dispatcherModel
	directory       *Directory
	now             Clock
	leaseExpiries   map[string]Clock // until when the leader knows them
	cut             map[string]bool  // zones of which two halves do not reach each other
	dropMessage     func() bool
	lastSuggestions map[string]*PeerSuggestion // the answer before, which comes again in place of one

	// What may be broken on purpose.
	suggest        func(r *Directory, m Member, knows Digest) *PeerSuggestion
	respectsPauses bool
	filtersPeers   bool
}

type dispatcherModel struct {
	Member
	knows       map[string]bool
	frozen      bool
	exchanger   Exchanger
	exchangedAt []Clock
	half        int
}

const (
	stepDuration  = 500 * time.Millisecond
	leaseDuration = 2 * time.Second
)

func newFleetModel() *fleetModel {
	return &fleetModel{dispatchers: map[string]*dispatcherModel{}, directory: NewDirectory(), leaseExpiries: map[string]Clock{}, cut: map[string]bool{}, lastSuggestions: map[string]*PeerSuggestion{},
		dropMessage: func() bool { return false }, suggest: (*Directory).Suggest, respectsPauses: true, filtersPeers: true}
}

func (p *fleetModel) join(name, zone string, half int) {
	p.dispatchers[name] = &dispatcherModel{Member: Member{name, "at-" + name, "r", zone}, knows: map[string]bool{name: true}, half: half}
}

func (p *fleetModel) byAddress(address string) *dispatcherModel {
	for _, o := range p.dispatchers {
		if o.Address == address {
			return o
		}
	}
	return nil
}

// reaches tells whether one hears another.
func (p *fleetModel) reaches(a, b *dispatcherModel) bool {
	return b != nil && !a.frozen && !b.frozen && (a.Zone != b.Zone || !p.cut[a.Zone] || a.half == b.half)
}

// introduce has one know another, if they are neighbours.
func (p *fleetModel) introduce(a *dispatcherModel, b *dispatcherModel) {
	if !p.filtersPeers || ArePeers(a.Region, a.Zone, b.Region, b.Zone) {
		a.knows[b.Name] = true
	}
}

func (p *fleetModel) step() {
	p.now += stepDuration
	names := slices.Sorted(maps.Keys(p.dispatchers))
	for _, name := range names { // gossip: news among those that know each other, and who does not answer is gone
		o := p.dispatchers[name]
		for _, other := range slices.Sorted(maps.Keys(o.knows)) {
			b := p.dispatchers[other]
			if other == name {
				continue
			}
			if b == nil || !p.reaches(o, b) && !o.frozen {
				delete(o.knows, other)
				continue
			}
			if p.reaches(o, b) && !p.dropMessage() {
				p.introduce(b, o)
				for third := range o.knows {
					if c := p.dispatchers[third]; c != nil && p.reaches(b, c) {
						p.introduce(b, c)
					}
				}
			}
		}
	}
	for _, name := range names {
		o := p.dispatchers[name]
		if o.frozen || p.dropMessage() {
			continue
		}
		p.leaseExpiries[name] = p.now + leaseDuration
		if p.directory.Due(p.now) {
			var present []Member
			for held, until := range p.leaseExpiries {
				if x := p.dispatchers[held]; x != nil && p.now < until {
					present = append(present, x.Member)
				}
			}
			p.directory.Refresh(present, p.now)
		}
		named := p.suggest(p.directory, o.Member, o.digest())
		if p.dropMessage() { // the answer: an older one comes in its place, or none
			if named = p.lastSuggestions[name]; named == nil {
				continue
			}
		}
		p.lastSuggestions[name] = named
		if address, ok := o.exchanger.NextExchange(named, o.digest(), p.now); ok || !p.respectsPauses && named != nil && len(named.Addresses) > 0 {
			if !ok {
				address = named.Addresses[0]
			}
			o.exchangedAt = append(o.exchangedAt, p.now)
			if b := p.byAddress(address); p.reaches(o, b) {
				for _, x := range [][2]*dispatcherModel{{o, b}, {b, o}} {
					for third := range x[1].knows {
						if c := p.dispatchers[third]; c != nil {
							p.introduce(x[0], c)
						}
					}
				}
			}
		}
	}
}

func (o *dispatcherModel) digest() Digest { return DigestOf(slices.Collect(maps.Keys(o.knows))) }

// violation tells what does not hold though nothing has befallen the fleet for long: who does not know its neighbours, or
// exchanges still, or has exchanged too often.
func (p *fleetModel) violation(since Clock) string {
	for _, name := range slices.Sorted(maps.Keys(p.dispatchers)) {
		o := p.dispatchers[name]
		for _, other := range p.dispatchers {
			if near := o.Zone == other.Zone; o.knows[other.Name] != near {
				return fmt.Sprintf("%s of %s knows %s of %s: %t", name, o.Zone, other.Name, other.Zone, o.knows[other.Name])
			}
		}
		if n := len(o.exchangedAt); n > 0 && o.exchangedAt[n-1] > since {
			return fmt.Sprintf("%s met somebody at %v, though all know the same", name, o.exchangedAt[n-1])
		}
	}
	return p.tooFrequentExchange()
}

// tooFrequentExchange tells who has exchanged more tooFrequentExchange than the spacing lets it.
func (p *fleetModel) tooFrequentExchange() string {
	for name, o := range p.dispatchers {
		for i := 1; i < len(o.exchangedAt); i++ {
			if o.exchangedAt[i]-o.exchangedAt[i-1] < minExchangePause {
				return fmt.Sprintf("%s met somebody at %v and %v", name, o.exchangedAt[i-1], o.exchangedAt[i])
			}
		}
	}
	return ""
}

// settle plays on until nothing has been wrong for a minute, or until patience at its longest has passed several times.
func (p *fleetModel) settle() string {
	begin, last := p.now, ""
	for fine := p.now; p.now < begin+8*time.Minute; {
		p.step()
		if wrong := p.violation(p.now - stepDuration); wrong != "" {
			fine, last = p.now, wrong
		}
		if p.now >= fine+time.Minute {
			return ""
		}
	}
	return last
}

// runRandomHistory plays joins, deaths, cuts of zones, freezes and losses, heals all, and tells what is wrong behind that.
func runRandomHistory(t *rapid.T, p *fleetModel) string {
	losses := rapid.IntRange(0, 40).Draw(t, "percent lost")
	p.dropMessage = func() bool { return rapid.IntRange(0, 99).Draw(t, "loss") < losses }
	zones := []string{"a", "b", "c"}
	for i := range rapid.IntRange(1, 14).Draw(t, "dispatchers") {
		p.join(fmt.Sprint("n", i), zones[rapid.IntRange(0, 2).Draw(t, "zone")], i%2)
	}
	for n := range rapid.IntRange(0, 10).Draw(t, "events") {
		for range rapid.IntRange(0, 6).Draw(t, "steps") {
			p.step()
		}
		names := slices.Sorted(maps.Keys(p.dispatchers))
		if len(names) == 0 {
			break
		}
		o := p.dispatchers[rapid.SampledFrom(names).Draw(t, "whom")]
		switch rapid.IntRange(0, 5).Draw(t, "what") {
		case 0:
			delete(p.dispatchers, o.Name)
		case 1:
			p.join(fmt.Sprint("later", n), zones[rapid.IntRange(0, 2).Draw(t, "its zone")], n%2)
		case 2:
			p.cut[o.Zone] = !p.cut[o.Zone]
		case 3:
			o.frozen = !o.frozen
		case 4: // started anew under its name, knowing nobody
			p.join(o.Name, o.Zone, o.half)
		case 5: // and elsewhere, behind a leave in good order
			for _, other := range p.dispatchers {
				delete(other.knows, o.Name)
			}
			p.join(o.Name, zones[n%3], o.half)
		}
	}
	clear(p.cut)
	for _, o := range p.dispatchers {
		o.frozen = false
	}
	p.dropMessage = func() bool { return false }
	return p.settle()
}

// Whatever befalls a fleet: once it is over all of a zone know each other and nobody else, nobody exchanges anything, and
// nobody ever exchanged more often than the spacing allows.
func TestPeers_convergeAfterRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if wrong := runRandomHistory(t, newFleetModel()); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// Each mistake made on purpose is found in a history of its kind.
func TestPeers_mistakesAreFound(t *testing.T) {
	parts := func(p *fleetModel) string { // two zones that are cut in two for long, and one dispatcher that starts anew
		for i := range 8 {
			p.join(fmt.Sprint("n", i), string("ab"[i%2]), i/2%2)
		}
		for range 100 {
			p.step()
		}
		p.cut["a"], p.cut["b"] = true, true
		for range 100 {
			p.step()
		}
		clear(p.cut)
		p.join("n3", "b", 1)
		return p.settle()
	}
	if wrong := parts(newFleetModel()); wrong != "" {
		t.Fatal(wrong)
	}
	for what, broken := range map[string]func(*fleetModel){
		"the leader names nobody": func(p *fleetModel) { p.suggest = func(*Directory, Member, Digest) *PeerSuggestion { return nil } },
		"the leader names one who knows the same": func(p *fleetModel) {
			p.suggest = func(g *Directory, m Member, knows Digest) *PeerSuggestion {
				g.suggestions = 0
				return g.Suggest(m, Digest{})
			}
		},
		"the leader names the one who asks": func(p *fleetModel) {
			p.suggest = func(g *Directory, m Member, knows Digest) *PeerSuggestion {
				return &PeerSuggestion{9, []string{m.Address}}
			}
		},
		"the leader names others' neighbours, and they are let in": func(p *fleetModel) {
			p.filtersPeers = false
			p.suggest = func(g *Directory, m Member, knows Digest) *PeerSuggestion {
				m.Zone = map[string]string{"a": "b", "b": "a"}[m.Zone]
				return g.Suggest(m, knows)
			}
		},
		"no spacing": func(p *fleetModel) { p.respectsPauses = false },
		"the same neighbour each time": func(p *fleetModel) {
			p.suggest = func(g *Directory, m Member, knows Digest) *PeerSuggestion {
				g.suggestions = 0
				named := g.Suggest(m, knows)
				if named != nil && len(named.Addresses) > 0 && p.byAddress(named.Addresses[0]).half != p.dispatchers[m.Name].half {
					return &PeerSuggestion{9, []string{m.Address}}
				}
				return named
			}
		},
	} {
		p := newFleetModel()
		broken(p)
		if parts(p) == "" {
			t.Errorf("%s: nothing was found", what)
		}
	}
}

// A dispatcher that is alone meets a neighbour with its first lease; one that knows some waits for gossip first; one whose
// exchanges change nothing gets patient, and all that by its neighbours' number.
func TestExchanger_backsOff(t *testing.T) {
	named := &PeerSuggestion{120, []string{"x"}}
	var v Exchanger
	if _, ok := v.NextExchange(named, DigestOf([]string{"me"}), 0); !ok {
		t.Error("one that is alone does not meet at once")
	}
	many := make([]string, 100)
	for i := range many {
		many[i] = fmt.Sprint("n", i)
	}
	v = Exchanger{}
	if _, ok := v.NextExchange(named, DigestOf(many[:60]), 0); !ok {
		t.Error("one that knows half does not meet at once")
	}
	v = Exchanger{}
	knows, met := DigestOf(many), []Clock{}
	for now := Clock(0); now < time.Hour; now += stepDuration {
		if _, ok := v.NextExchange(named, knows, now); ok {
			met = append(met, now)
		}
	}
	if len(met) < 3 || met[0] != GossipSettleTime || met[1]-met[0] != 100*MinExchangeInterval || met[len(met)-1]-met[len(met)-2] != 16*100*MinExchangeInterval {
		t.Errorf("met at %v", met)
	}
	if _, ok := v.NextExchange(nil, knows, 2*time.Hour); ok || v.differs {
		t.Error("it meets though the leader knows the same")
	}
}

// A roll does not go by order, and tells any two sets apart that were drawn.
func TestDigestOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 12, -1), 1, 30, rapid.ID[string]).Draw(t, "names")
		other := slices.Clone(names)
		slices.Reverse(other)
		if DigestOf(names) != DigestOf(other) {
			t.Fatal("the order counts")
		}
		if DigestOf(names) == DigestOf(names[1:]) {
			t.Fatal("one less is the same")
		}
		other[0] += "x"
		if !slices.Contains(names, other[0]) && DigestOf(names) == DigestOf(other) {
			t.Fatal("another name is the same")
		}
	})
}

// BenchmarkDirectoryRefresh has the leader take in 800 leases of eight zones.
func BenchmarkDirectoryRefresh(b *testing.B) {
	var all []Member
	for i := range 800 {
		all = append(all, Member{fmt.Sprint("n", i), "127.0.0.1:1", fmt.Sprint("r", i%3), fmt.Sprint("z", i%8)})
	}
	g := NewDirectory()
	for b.Loop() {
		g.Refresh(all, 0)
	}
}
