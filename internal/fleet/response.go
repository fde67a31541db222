package fleet

import (
	"encoding/json"
	"fmt"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/fleet/raftlog"
)

// response is the response to all calls between dispatchers. Each call sets the fields that it is about.
type response struct {
	Record      *configversions.Record     `json:"record,omitempty"`  // whole, or else
	Entries     []configversions.Entry     `json:"entries,omitempty"` // those after the revision of the request
	LeaseMS     int64                      `json:"lease_ms,omitempty"`
	Epoch       uint64                     `json:"era,omitempty"`
	Revision    uint64                     `json:"revision,omitempty"` // of the leader's record
	Leader      uint64                     `json:"leader,omitempty"`   // a voter ID
	Rejected    map[string]string          `json:"refused,omitempty"`  // dispatchers that get no lease, with the reason
	BudgetRates map[string]json.RawMessage `json:"rates,omitempty"`    // by dispatcher; in each by kind of budget
	Reason      string                     `json:"why,omitempty"`      // of a status that is not 200

	LeaseHolders []configversions.Dispatcher       `json:"present,omitempty"`
	Absent       []configversions.AbsentDispatcher `json:"absent,omitempty"` // whose lease has ended lately

	MessageFormat   int                                    `json:"form,omitempty"`       // the leader's
	PeerSuggestions map[string]*gossippeers.PeerSuggestion `json:"neighbours,omitempty"` // by dispatcher whose digest differs
}

// newUpdateResponse returns a response with what changed of the record.
func newUpdateResponse(update raftlog.Update) response {
	return response{
		Entries:  update.Entries,
		Record:   update.Record,
		Epoch:    update.Epoch,
		Revision: update.Revision,
	}
}

// Reasons that several calls are rejected with.
const (
	reasonNoLeader  = "nobody leads"
	reasonNotLeader = "does not lead"
	reasonNotVoter  = "no seat"
	reasonNoRequest = "no question"
)

// applyTo returns the record that follows from a response to a request about record.
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
