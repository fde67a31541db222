package gossip

import "time"

// Metadata is what a dispatcher says of itself.
type Metadata struct {
	Name          string `json:"n"`
	Address       string `json:"a"`
	Region        string `json:"r,omitempty"`
	Zone          string `json:"z,omitempty"`
	Epoch         uint64 `json:"e,omitempty"` // of the record that it knows
	VoterID       uint64 `json:"s,omitempty"` // 0 for a follower
	MessageFormat int    `json:"f"`           // the newest that it can read
}

// Member is a dispatcher, as far as is known here.
type Member struct {
	Metadata
	State State     `json:"State"`
	Since time.Time `json:"Since"` // when the state was learned here
}

// State says whether a member is there.
type State string

// The states of a member.
const (
	Alive State = "alive"
	Gone  State = "gone" // it went silent
	Left  State = "left" // it gave notice that it leaves
)
