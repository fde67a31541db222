package configversions

import "slices"

// Effective is what a dispatcher acts on at one time.
type Effective struct {
	Versions     []uint64 // numbers of the versions whose limits it keeps, all of them together
	LeaseExpired bool     // it holds no lease, or never held one
	Rules        Rules    // the stricter of the rules of Versions; without retries where LeaseExpired
}

// Contradicts reports whether two dispatchers that both hold a lease act on no common version.
func (e Effective) Contradicts(other Effective) bool {
	return !e.LeaseExpired && !other.LeaseExpired && e.SharesNoVersion(other)
}

// SharesNoVersion reports whether two dispatchers act on no common version, whether they hold leases or not.
func (e Effective) SharesNoVersion(other Effective) bool {
	return !slices.ContainsFunc(e.Versions, func(version uint64) bool { return slices.Contains(other.Versions, version) })
}
