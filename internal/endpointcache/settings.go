package endpointcache

import "time"

// Settings is the block saved_list of the operator's file.
type Settings struct {
	Directory         string  `hcl:"directory"`
	MaxAge            string  `hcl:"oldest,optional"` // maximum age of a list that is used; a duration such as "72h"
	MinFirstListShare float64 `hcl:"shrink,optional"` // a first list with fewer ready workers than this share of the cached workers must be confirmed; 0 switches this off
}

// Default returns the values of the optional settings.
func Default() Settings { return Settings{MaxAge: "72h", MinFirstListShare: 0.5} }

// ParseMaxAge returns MaxAge as a duration, or an error if it is not a duration.
func (s *Settings) ParseMaxAge() (time.Duration, error) { return time.ParseDuration(s.MaxAge) }
