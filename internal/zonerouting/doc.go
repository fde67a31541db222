// Package zonerouting has a dispatcher act on the fleet's zone plan: it chooses the zone in which a request may be served, records
// what becomes of attempts, and reports it to the raft leader. How plans are made is decided in internal/decisions/failover.
package zonerouting
