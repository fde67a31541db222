package budgetleases

import "time"

// Settings are the settings of one budget.
type Settings struct {
	RatePerSecond float64       // maximum uses per second of all dispatchers together
	UnleasedShare float64       // share of RatePerSecond, from 0 to 1, that dispatchers without a lease may use together
	MaxLessees    int           // number of dispatchers that share the budget; any further ones get nothing
	LeaseDuration time.Duration // how long a lease lasts at the lessee, from when it sent the request
}

// UnleasedRate returns the uses per second that each dispatcher may make without a lease.
func (s Settings) UnleasedRate() float64 {
	return s.RatePerSecond * s.UnleasedShare / float64(max(s.MaxLessees, 1))
}
