package scale

import (
	"brassdale/internal/faultlink"
	"brassdale/internal/traffic"
)

// regionPair is the region of a caller and the region of the voters that it calls.
type regionPair struct{ from, to int }

// regionLinks are the links by which the dispatchers of each region call the voters of other regions. Other calls and gossip stay within a region
// and need no links.
type regionLinks struct {
	links   map[regionPair]map[string]*faultlink.Link // by the voter's address
	proxies []*countingProxy                          // the links' targets, if traffic on links is counted
	meter   traffic.Meter                             // of the proxies
}

// linkSeedStride is the difference between the seeds of the links from consecutive regions.
const linkSeedStride = 100

// openLinks opens links from all regions to the voters of other regions. closeAll closes them.
func (r *run) openLinks() error {
	for from := range r.plan.Regions {
		for index, voter := range r.dispatchers[:r.plan.Voters] {
			to := r.plan.region(voter.zone)
			if to == from {
				continue
			}
			seed := r.plan.Seed + uint64(linkSeedStride*from+index)
			if err := r.links.open(regionPair{from, to}, voter.fleetAddress, seed, r.plan.CountLinks); err != nil {
				return err
			}
		}
	}
	return nil
}

// open opens a link to a voter, over a counting proxy if the parameter counted is set.
func (l *regionLinks) open(regions regionPair, voterAddress string, seed uint64, counted bool) error {
	target := voterAddress
	if counted {
		proxy, err := newCountingProxy(voterAddress, &l.meter)
		if err != nil {
			return err
		}
		l.proxies, target = append(l.proxies, proxy), proxy.address()
	}
	link, err := faultlink.New(target, seed)
	if err != nil {
		return err
	}
	if l.links == nil {
		l.links = map[regionPair]map[string]*faultlink.Link{}
	}
	if l.links[regions] == nil {
		l.links[regions] = map[string]*faultlink.Link{}
	}
	l.links[regions][voterAddress] = link
	return nil
}

// addressesFrom returns the addresses of the links from a region, by the addresses of the voters to which they lead.
func (l *regionLinks) addressesFrom(region int) map[string]string {
	addresses := map[string]string{}
	for regions, links := range l.links {
		if regions.from != region {
			continue
		}
		for voterAddress, link := range links {
			addresses[voterAddress] = link.Address()
		}
	}
	return addresses
}

// setState sets the state of all links from and to a region.
func (l *regionLinks) setState(region int, state faultlink.State) {
	for regions, links := range l.links {
		if regions.from != region && regions.to != region {
			continue
		}
		for _, link := range links {
			link.Set(state)
		}
	}
}

// close closes the links and the proxies.
func (l *regionLinks) close() {
	for _, links := range l.links {
		for _, link := range links {
			link.Close()
		}
	}
	for _, proxy := range l.proxies {
		proxy.close()
	}
}
