package endpointcache

import (
	"time"

	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// CachedList is an endpoint list as it is stored: the last snapshot and the changes in its journal.
type CachedList struct {
	Dispatcher          string                               `json:"dispatcher"`
	ConfirmedAtMS       int64                                `json:"made_ms"` // Unix time at which the list was last known to be current
	Revision            int64                                `json:"revision"`
	Discovery           string                               `json:"discovery"` // address of the service that returned the list
	Members             []CachedMember                       `json:"members"`
	Detached            []string                             `json:"out"`     // IDs of the workers that the operator has detached
	Classes             map[string]scheduler.ClassStatistics `json:"classes"` // by name
	Overcommit          float64                              `json:"allow"`
	MeanAttemptDuration float64                              `json:"stay"`
	MeanWork            float64                              `json:"mean"`
}

// CachedMember is a worker as it was last known.
type CachedMember struct {
	protocol.Member
	LastSignalMS int64                       `json:"heard_ms"` // Unix time of the last signal; 0 if there was none
	Statistics   *scheduler.WorkerStatistics `json:"learned,omitempty"`
}

// ConfirmedAt returns when the list was last known to be current.
func (c *CachedList) ConfirmedAt() time.Time { return time.UnixMilli(c.ConfirmedAtMS) }

// LearnedState returns the stored state of the scheduler, without the classes, which are stored by name.
func (c *CachedList) LearnedState() scheduler.LearnedState {
	state := scheduler.LearnedState{Overcommit: c.Overcommit, MeanAttemptDuration: c.MeanAttemptDuration, MeanWork: c.MeanWork, Workers: map[scheduler.WorkerID]scheduler.WorkerStatistics{}}
	for _, member := range c.Members {
		if member.Statistics != nil {
			state.Workers[scheduler.WorkerID(member.ID)] = *member.Statistics
		}
	}
	return state
}

// List returns the members as a full list in the protocol of discovery.
func (c *CachedList) List() *protocol.List {
	list := &protocol.List{Revision: c.Revision, Complete: true}
	for _, member := range c.Members {
		list.Members = append(list.Members, member.Member)
	}
	return list
}

// validate returns an error for a list that this program cannot have written, even if its checksum is correct.
func (c *CachedList) validate() error { return c.List().Check() }

// apply applies a record of the journal to the list.
func (c *CachedList) apply(record journalRecord) {
	c.ConfirmedAtMS, c.Revision = max(c.ConfirmedAtMS, record.AtMS), record.Revision
	indexes := map[string]int{}
	for i, member := range c.Members {
		indexes[member.ID] = i
	}
	for _, member := range record.Members {
		i, known := indexes[member.ID]
		if !known {
			indexes[member.ID] = len(c.Members)
			c.Members = append(c.Members, CachedMember{Member: member})
			continue
		}
		c.Members[i] = c.Members[i].updatedTo(member)
	}
	if record.Detached != nil {
		c.Detached = *record.Detached
	}
}

// updatedTo returns the worker after an update from discovery, which may omit the address. The statistics and the last signal of an earlier
// incarnation are dropped.
func (c CachedMember) updatedTo(member protocol.Member) CachedMember {
	if member.HostPort == "" {
		member.HostPort = c.HostPort
	}
	if member.UpSinceMS > c.UpSinceMS {
		c = CachedMember{}
	}
	c.Member = member
	return c
}
