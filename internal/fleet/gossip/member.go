package gossip

import "time"

// Metadata is what a dispatcher publishes about itself.
type Metadata struct {
	Name          string `json:"n"`
	Address       string `json:"a"`
	Region        string `json:"r,omitempty"`
	Zone          string `json:"z,omitempty"`
	Epoch         uint64 `json:"e,omitempty"` // epoch of the record that the dispatcher has
	VoterID       uint64 `json:"s,omitempty"` // 0 for a follower
	MessageFormat int    `json:"f"`           // newest format that the dispatcher can read
}

// Member is a dispatcher as this dispatcher knows it.
type Member struct {
	Metadata
	State State     `json:"State"`
	Since time.Time `json:"Since"` // when this dispatcher learned of the state
}

// State is whether a member is alive.
type State string

// The states of a member.
const (
	Alive State = "alive"
	Gone  State = "gone" // it stopped answering without a leave notice
	Left  State = "left" // it sent a leave notice
)
