package gossippeers

// LeaseHolder is a dispatcher that holds a lease.
type LeaseHolder struct {
	Name, Address, Region, Zone string
}

// ArePeers reports whether two dispatchers gossip with each other, because they are in the same zone of the same region.
func ArePeers(region, zone, otherRegion, otherZone string) bool {
	return region == otherRegion && zone == otherZone
}
