package protocol

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// List is what discovery answers: the whole destination set, or what changed in it.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is a line of a list.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// Left is the phase of a member that is gone.
const Left = "left"

var phases = map[string]scheduler.WorkerState{"active": scheduler.Ready, "leaving": scheduler.Draining, Left: scheduler.Gone}

// ParseList decodes an answer of discovery.
func ParseList(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, err
	}
	if err := l.Check(); err != nil {
		return nil, err
	}
	return l, l.checkOnce()
}

// checkOnce refuses a whole list with two lines of one member; among changes the later line holds.
func (l *List) checkOnce() error {
	first := make(map[string]int, len(l.Members))
	for i, m := range l.Members {
		if at, again := first[m.ID]; again && l.Complete {
			return fmt.Errorf("members[%d].id: %q is members[%d] already", i, m.ID, at)
		}
		first[m.ID] = i
	}
	return nil
}

// Check refuses a list as a whole: of one that is half understood nobody could say what was told.
func (l *List) Check() error {
	for i, m := range l.Members {
		if _, ok := phases[m.Phase]; !ok {
			return fmt.Errorf("members[%d].phase: unknown %q", i, m.Phase)
		}
		if m.ID == "" {
			return fmt.Errorf("members[%d].id: absent", i)
		}
		// One that is gone needs no address; any other without one could never be reached.
		if err := CheckAddr(m.HostPort); err != nil && m.Phase != "left" {
			return fmt.Errorf("members[%d].host_port: %w", i, err)
		}
	}
	return nil
}

// Destinations gives the list in the core's terms. Zones and kinds are numbered as in the settings;
// one that they do not name is -1.
func (l *List) Destinations(p *Settings) []routing.Endpoint {
	ds := make([]routing.Endpoint, 0, len(l.Members))
	for _, m := range l.Members {
		d := routing.Endpoint{Address: m.HostPort, WorkerInfo: scheduler.WorkerInfo{
			ID: scheduler.WorkerID(m.ID), State: phases[m.Phase], Cell: m.Cell, Weight: m.Size,
			Zone: slices.Index(p.Zones, m.Locality), MachineKind: slices.Index(p.Flavors, m.Flavor),
		}}
		if m.UpSinceMS > 0 {
			d.StartedAt = time.Duration(m.UpSinceMS) * time.Millisecond
		}
		ds = append(ds, d)
	}
	return ds
}
