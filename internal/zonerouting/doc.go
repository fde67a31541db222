// Package zonerouting applies the fleet's zone plan in a dispatcher: it chooses the zone in which a request may be served, records
// the outcomes of attempts, and reports them to the raft leader. Package internal/decisions/failover computes the plans.
package zonerouting
