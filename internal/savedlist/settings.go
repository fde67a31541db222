package savedlist

import "time"

// Settings are the operator's, in a block saved_list.
type Settings struct {
	Directory string  `hcl:"directory"`
	Oldest    string  `hcl:"oldest,optional"` // an older list is not used; a duration such as "72h"
	Shrink    float64 `hcl:"shrink,optional"` // a first list below this share of the saved one must be told twice; 0 for never
}

// Default holds what an operator leaves out.
func Default() Settings { return Settings{Oldest: "72h", Shrink: 0.5} }

// OldestAge gives Oldest as a duration. Its error tells that it is none.
func (s *Settings) OldestAge() (time.Duration, error) { return time.ParseDuration(s.Oldest) }
