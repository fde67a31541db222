package configversions

import "time"

// Lessee is a dispatcher's state: the newest record that it has read, and its lease.
type Lessee struct {
	name        string
	record      Record
	effective   Effective // what this dispatcher acts on according to record while it holds a lease; computed once for each record
	leaseExpiry Instant   // valid if hadLease
	hadLease    bool      // a lease has been granted at least once
}

// NewLessee returns the state of a dispatcher that holds no lease. The parameter known is the newest record that the dispatcher
// has read, for example from disk.
func NewLessee(name string, known Record) *Lessee {
	l := &Lessee{name: name}
	l.setRecord(known)
	return l
}

// setRecord stores a record, and computes what Effective returns as long as the lease is valid.
func (l *Lessee) setRecord(record Record) {
	same := l.effective.Versions != nil && record.Epoch == l.record.Epoch && record.Revision == l.record.Revision
	if l.record = record; same {
		return
	}
	l.effective = Effective{Versions: []uint64{record.InForce.Number}, Rules: record.InForce.effectiveRules()}
	if announced := l.announcedVersion(); announced != nil {
		l.effective.Versions = append(l.effective.Versions, announced.Number)
		l.effective.Rules = l.effective.Rules.Stricter(announced.Rules)
	}
}

// ApplyLease stores the leader's response to a renewal: a record, and a lease that lasts from requestedAt, when this dispatcher
// sent the renewal. If the record is older than the known one, the response was overtaken by a newer one or comes from a raft
// group that has been replaced. ApplyLease then ignores the record and the lease.
func (l *Lessee) ApplyLease(record Record, requestedAt Instant, lease time.Duration) {
	if l.record.NewerThan(record) {
		return
	}
	l.setRecord(record)
	if expiry := requestedAt + lease; !l.hadLease || expiry > l.leaseExpiry {
		l.leaseExpiry, l.hadLease = expiry, true
	}
}

// ApplyRecord stores a record that was received without a lease, and reports whether it is newer than the known one.
func (l *Lessee) ApplyRecord(record Record) bool {
	if !record.NewerThan(l.record) {
		return false
	}
	l.setRecord(record)
	return true
}

// DropLease ends the lease. A dispatcher that shuts down calls it before it notifies the leader.
func (l *Lessee) DropLease(now Instant) {
	if l.hadLease && l.leaseExpiry > now {
		l.leaseExpiry = now
	}
}

// Record returns the newest record that the dispatcher has read.
func (l *Lessee) Record() Record { return l.record }

// announcedVersion returns the announced version that applies to this dispatcher; nil if there is none, or if its canary does not
// include the dispatcher.
func (l *Lessee) announcedVersion() *Version {
	if announced := l.record.Announced; announced != nil && announced.Canary.Includes(l.name, announced.Number) {
		return announced
	}
	return nil
}

// Acknowledged returns the number of the newest version that the dispatcher acts on, which it sends with each renewal.
func (l *Lessee) Acknowledged() uint64 {
	if announced := l.announcedVersion(); announced != nil {
		return announced.Number
	}
	return l.record.InForce.Number
}

// LeaseExpiry returns when the lease expires or has expired; 0 if there never was one.
func (l *Lessee) LeaseExpiry() Instant { return l.leaseExpiry }

// Effective returns what the dispatcher acts on now. The slices and the map in it must not be changed.
func (l *Lessee) Effective(now Instant) Effective {
	effective := l.effective
	if effective.LeaseExpired = !l.hadLease || now >= l.leaseExpiry; effective.LeaseExpired {
		effective.Rules.RetriesAllowed = false
	}
	return effective
}
