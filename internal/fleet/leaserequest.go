package fleet

import (
	"encoding/json"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/traffic"
)

// Formats of the messages between dispatchers. Format 2 adds quota caps to the rules. Since format 3, dispatchers gossip only
// within their zone, with peers that the leader suggests. A dispatcher whose format is too old for the rules gets no lease.
const (
	messageFormat    = 3
	zoneGossipFormat = 3
	minMessageFormat = 1
)

// leaseRequest asks for a lease on the record that the dispatcher knows.
type leaseRequest struct {
	configversions.Dispatcher
	Revision               uint64              `json:"revision"`         // of the known record; 0 requests the whole record
	Report                 json.RawMessage     `json:"report,omitempty"` // a failover.Report
	BudgetDemand           json.RawMessage     `json:"demand,omitempty"` // uses per second, by kind of budget
	FirstAttemptsPerSecond float64             `json:"firsts,omitempty"`
	Digest                 *gossippeers.Digest `json:"neighbours,omitempty"` // of the known peers; nil from a dispatcher that gossips with the whole fleet
}

// valid reports whether the request names the dispatcher and its instance.
func (r leaseRequest) valid() bool { return r.Name != "" && r.Instance != "" }

// meterRequests counts the reports and the budget demands in requests as traffic of their own kinds: as sent traffic if the
// parameter sent is true, otherwise as received traffic.
func meterRequests(meter *traffic.Meter, sent bool, requests ...leaseRequest) {
	for _, request := range requests {
		meterPart(meter, sent, traffic.Report, len(request.Report))
		meterPart(meter, sent, traffic.Budget, len(request.BudgetDemand))
	}
}

func meterPart(meter *traffic.Meter, sent bool, kind traffic.Kind, bytes int) {
	switch {
	case bytes == 0:
	case sent:
		meter.Within(traffic.Renewal, kind, bytes, 0)
	default:
		meter.Within(traffic.Renewal, kind, 0, bytes)
	}
}
