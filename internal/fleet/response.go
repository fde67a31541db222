package fleet

import (
	"encoding/json"
	"fmt"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/fleet/raftlog"
)

// response is the response to all calls between dispatchers. Each call sets only the fields that it needs.
type response struct {
	Record      *configversions.Record     `json:"record,omitempty"`  // whole; nil if Entries has the changes
	Entries     []configversions.Entry     `json:"entries,omitempty"` // entries after the revision of the request
	LeaseMS     int64                      `json:"lease_ms,omitempty"`
	Epoch       uint64                     `json:"era,omitempty"`
	Revision    uint64                     `json:"revision,omitempty"` // of the leader's record
	Leader      uint64                     `json:"leader,omitempty"`   // a voter ID
	Rejected    map[string]string          `json:"refused,omitempty"`  // dispatchers that get no lease, with the reason
	BudgetRates map[string]json.RawMessage `json:"rates,omitempty"`    // by dispatcher; in each by kind of budget
	Reason      string                     `json:"why,omitempty"`      // why the status is not 200; for an accepted zone limit, the predicted shedding

	LeaseHolders []configversions.Dispatcher       `json:"present,omitempty"`
	Absent       []configversions.AbsentDispatcher `json:"absent,omitempty"` // dispatchers whose lease has ended recently

	MessageFormat   int                                    `json:"form,omitempty"`       // of the leader
	PeerSuggestions map[string]*gossippeers.PeerSuggestion `json:"neighbours,omitempty"` // by dispatcher; only for digests that differ from the leader's
}

// newUpdateResponse returns a response with the changes of the record.
func newUpdateResponse(update raftlog.Update) response {
	return response{
		Entries:  update.Entries,
		Record:   update.Record,
		Epoch:    update.Epoch,
		Revision: update.Revision,
	}
}

// Reasons for which several calls are rejected.
const (
	reasonNoLeader       = "nobody leads"  // the leader is unknown or cannot be reached
	reasonNotLeader      = "does not lead" // the dispatcher that was called is not the leader
	reasonNotVoter       = "no seat"       // the dispatcher that was called is not a voter
	reasonInvalidRequest = "no question"   // the request cannot be decoded, or has an invalid value
)

// applyTo returns the record that results from applying a response to record, on which the request was based. It returns an error
// if the entries do not apply or do not lead to the revision and epoch of the response.
func (r response) applyTo(record configversions.Record) (configversions.Record, error) {
	if r.Record != nil {
		return *r.Record, nil
	}
	for _, entry := range r.Entries {
		next, err := record.Apply(entry)
		if err != nil {
			return record, fmt.Errorf("an entry does not follow revision %d: %w", record.Revision, err)
		}
		record = next
	}
	if r.Revision > 0 && (record.Revision != r.Revision || record.Epoch != r.Epoch) {
		return record, fmt.Errorf("entries lead to revision %d, not %d", record.Revision, r.Revision)
	}
	return record, nil
}
