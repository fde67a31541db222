package protocol

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// List is a response of discovery: the full endpoint list, or a change to it.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"` // the full list, not a change
	Members  []Member `json:"members"`
}

// Member is an endpoint in a list of discovery.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"` // routing.Endpoint.Address
	Locality  string  `json:"locality"`  // Zone, by name
	Flavor    string  `json:"flavor"`    // MachineKind, by name
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`       // State
	Size      float64 `json:"size"`        // Weight
	UpSinceMS int64   `json:"up_since_ms"` // StartedAt, Unix time in milliseconds; 0 for long ago
}

// PhaseLeft is the phase of an endpoint that is gone.
const PhaseLeft = "left"

// phases are the states of endpoints by their names on the wire.
var phases = map[string]scheduler.WorkerState{"active": scheduler.Ready, "leaving": scheduler.Draining, PhaseLeft: scheduler.Gone}

// ParseList decodes and checks a response of discovery. One invalid member rejects the whole list; the error names that member.
func ParseList(text []byte) (*List, error) {
	list := &List{}
	if err := json.Unmarshal(text, list); err != nil {
		return nil, err
	}
	if err := list.Check(); err != nil {
		return nil, err
	}
	return list, list.checkUnique()
}

// checkUnique returns an error if a full list has an endpoint twice. If a change has an endpoint twice, the later entry counts.
func (l *List) checkUnique() error {
	first := make(map[string]int, len(l.Members))
	for i, m := range l.Members {
		if at, again := first[m.ID]; again && l.Complete {
			return fmt.Errorf("members[%d].id: %q is also the ID of members[%d]", i, m.ID, at)
		}
		first[m.ID] = i
	}
	return nil
}

// Check returns an error for the first invalid member.
func (l *List) Check() error {
	for i, m := range l.Members {
		if _, ok := phases[m.Phase]; !ok {
			return fmt.Errorf("members[%d].phase: unknown %q", i, m.Phase)
		}
		if m.ID == "" {
			return fmt.Errorf("members[%d].id: absent", i)
		}
		// An endpoint that is gone needs no address.
		if err := CheckAddr(m.HostPort); err != nil && m.Phase != PhaseLeft {
			return fmt.Errorf("members[%d].host_port: %w", i, err)
		}
	}
	return nil
}

// Endpoints converts the list to the terms of the core. Zones and machine kinds become their numbers in the settings, or -1 if the
// settings do not name them.
func (l *List) Endpoints(p *Settings) []routing.Endpoint {
	endpoints := make([]routing.Endpoint, 0, len(l.Members))
	for _, m := range l.Members {
		endpoint := routing.Endpoint{Address: m.HostPort, WorkerInfo: scheduler.WorkerInfo{
			ID: scheduler.WorkerID(m.ID), State: phases[m.Phase], Cell: m.Cell, Weight: m.Size,
			Zone: slices.Index(p.Zones, m.Locality), MachineKind: slices.Index(p.Flavors, m.Flavor),
		}}
		if m.UpSinceMS > 0 {
			endpoint.StartedAt = time.Duration(m.UpSinceMS) * time.Millisecond
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
