package configversions

// ZoneLimit is an operator's limit on the share of a zone's capacity that zone plans may use.
type ZoneLimit struct {
	Zone   string  `json:"zone"`
	Share  float64 `json:"share"` // from 0, which drains the zone, to 1, which ends the limit
	By     string  `json:"by"`
	Reason string  `json:"why"`
	Force  bool    `json:"force,omitempty"` // the operator accepted that the other zones lack the capacity
}

// valid reports whether l names a zone and a share from 0 to 1.
func (l ZoneLimit) valid() bool {
	return l.Zone != "" && l.Share >= 0 && l.Share <= 1
}
