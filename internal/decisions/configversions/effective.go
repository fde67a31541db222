package configversions

import "slices"

// Effective is what a dispatcher acts on at one time.
type Effective struct {
	Versions     []uint64 // numbers of the versions whose limits it keeps, all at the same time
	LeaseExpired bool     // it holds no lease now
	Rules        Rules    // the strictest combination of the rules of Versions; without retries if LeaseExpired
}

// Contradicts reports whether two dispatchers that both hold a lease act on no common version.
func (e Effective) Contradicts(other Effective) bool {
	return !e.LeaseExpired && !other.LeaseExpired && e.SharesNoVersion(other)
}

// SharesNoVersion reports whether two dispatchers act on no common version, regardless of their leases.
func (e Effective) SharesNoVersion(other Effective) bool {
	return !slices.ContainsFunc(e.Versions, func(version uint64) bool { return slices.Contains(other.Versions, version) })
}
