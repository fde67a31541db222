// Package fleet makes dispatchers that can reach each other act on one version of the operators' rules at a time.
//
// A few of them are voters of a raft group, which stores the versions (package raftlog). The leader grants every dispatcher a
// lease on the record that it knows; a version comes into force once all dispatchers that may hold a lease have acknowledged
// it (package decisions/configversions). A dispatcher whose lease runs out complies with all versions that it knows and makes no
// retries until it has a new lease. The leader also leases out the fleet's budgets and plans the failover between zones.
//
// Call path of a lease: renewOnce, requestLease, obtainLease (at a voter), leaderRelay and requestFromLeader, grantLeases (at the
// leader), LeaseTable.Renew; back through applyLease to Lessee.ApplyLease. Call path of a change of the record: Log.Propose,
// Record.Apply, logApplied, serveWatch, followRecord, applyRecord.
//
// The package is off unless the operator's file has a block council. The block, the calls between dispatchers and the stored
// files use older names than the code: a seat is a voter, an era is an epoch, a hold is a zone limit.
package fleet
