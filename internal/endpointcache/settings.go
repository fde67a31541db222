package endpointcache

import "time"

// Settings are the operator's, in a block saved_list.
type Settings struct {
	Directory         string  `hcl:"directory"`
	MaxAge            string  `hcl:"oldest,optional"` // an older list is not used; a duration such as "72h"
	MinFirstListShare float64 `hcl:"shrink,optional"` // a first list below this share of the saved one must be told twice; 0 for never
}

// Default holds what an operator leaves out.
func Default() Settings { return Settings{MaxAge: "72h", MinFirstListShare: 0.5} }

// ParseMaxAge gives Oldest as a duration. Its error tells that it is none.
func (s *Settings) ParseMaxAge() (time.Duration, error) { return time.ParseDuration(s.MaxAge) }
