package cachetrust

// TrustLevel is how far a cached worker is trusted. Levels up to Absent are probed.
type TrustLevel uint8

// The trust levels.
const (
	Unconfirmed    TrustLevel = iota // nothing was received from it
	ForeignService                   // a service that is not a worker answers at its address
	Absent                           // it never answered, and counts as gone
	Responsive                       // it has answered, and is sent what a worker that is warming up can bear
	Verified                         // it is the incarnation that was cached
	Excluded                         // it was cached as draining, gone or detached, or discovery has removed it
)
