package configversions

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// MaxClockDrift is the share by which a dispatcher's clock may run slower than the leader's. The leader's table keeps a lease
	// that much longer than the dispatcher, which counts the lease from when it sent the renewal.
	MaxClockDrift = 0.01

	// absentRetention is how long the table retains a dispatcher whose lease has ended.
	absentRetention = time.Hour

	// predecessorLeases is shown in place of a name while leases of the previous leader may be valid.
	predecessorLeases = "leases of the leader before"
)

// The errors with which a renewal is rejected.
var (
	ErrNameInUse = errors.New("another process of that name holds a lease")
	ErrShutDown  = errors.New("this process has said that it leaves")
	ErrOldEpoch  = errors.New("the fleet has a newer council")
)

// LeaseTable is the raft leader's table of the dispatchers that may hold leases, and of the versions that they have acknowledged.
// It is not replicated. A new leader starts with an empty table and assumes that leases of its predecessor may still be valid.
type LeaseTable struct {
	assumedLeaseDuration time.Duration // the lease duration, lengthened by MaxClockDrift
	electedAt            Instant
	leases               map[string]leaseRecord      // by name of the dispatcher
	absent               map[string]AbsentDispatcher // by name of the dispatcher
}

// leaseRecord is the last renewal of a dispatcher.
type leaseRecord struct {
	Dispatcher
	renewedAt Instant
}

// NewLeaseTable returns the table of a leader that was elected at electedAt and grants leases of the given duration.
func NewLeaseTable(lease time.Duration, electedAt Instant) *LeaseTable {
	return &LeaseTable{
		assumedLeaseDuration: lease + time.Duration(MaxClockDrift*float64(lease)),
		electedAt:            electedAt,
		leases:               map[string]leaseRecord{},
		absent:               map[string]AbsentDispatcher{},
	}
}

// Renew records that a dispatcher requests a lease. It is called before a lease is granted; if it returns an error, no lease is
// granted.
//
// It returns ErrShutDown if the process has dropped its lease for good. While another process of the same name may hold a lease, it
// returns an error that wraps ErrNameInUse, since the two processes may act on different versions.
func (t *LeaseTable) Renew(dispatcher Dispatcher, now Instant) error {
	if left, ok := t.absent[dispatcher.Name]; ok && left.Left && left.Instance == dispatcher.Instance {
		return ErrShutDown // the notice of the shutdown has overtaken the renewal
	}
	last, known := t.leases[dispatcher.Name]
	if known && last.Instance != dispatcher.Instance {
		if now < t.expiry(last) {
			return fmt.Errorf("%q: %w", dispatcher.Name, ErrNameInUse)
		}
		last.AcknowledgedVersion = 0
	}
	dispatcher.AcknowledgedVersion = max(dispatcher.AcknowledgedVersion, last.AcknowledgedVersion)
	t.leases[dispatcher.Name] = leaseRecord{dispatcher, now}
	delete(t.absent, dispatcher.Name)
	return nil
}

// expiry returns when a lease expires, by the leader's clock.
func (t *LeaseTable) expiry(lease leaseRecord) Instant {
	return lease.renewedAt + t.assumedLeaseDuration
}

// LeaseDropped records that a process has dropped its lease for good. It is called after the process has dropped it.
func (t *LeaseTable) LeaseDropped(name, instance string, now Instant) {
	if lease, ok := t.leases[name]; ok && lease.Instance == instance {
		delete(t.leases, name)
		t.absent[name] = AbsentDispatcher{Dispatcher: lease.Dispatcher, Left: true, since: now}
	}
}

// expire moves dispatchers whose leases have expired to the absent ones, and removes dispatchers that have been absent for
// absentRetention. The acknowledgement of an expired lease no longer counts.
func (t *LeaseTable) expire(now Instant) {
	for name, lease := range t.leases {
		if expiry := t.expiry(lease); now >= expiry {
			delete(t.leases, name)
			t.absent[name] = AbsentDispatcher{Dispatcher: lease.Dispatcher, since: expiry}
		}
	}
	for name, absent := range t.absent {
		if now >= absent.since+absentRetention {
			delete(t.absent, name)
		}
	}
}

// AbsentDispatchers returns the dispatchers whose leases ended less than absentRetention ago, sorted by name.
func (t *LeaseTable) AbsentDispatchers(now Instant) (all []AbsentDispatcher) {
	t.expire(now)
	for _, absent := range t.absent {
		absent.AbsentFor = now - absent.since
		all = append(all, absent)
	}
	slices.SortFunc(all, func(a, b AbsentDispatcher) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// MayPutInForce reports whether the version with the given number may be put in force now. If not, waitsFor names the dispatchers
// that may hold a lease and have not acknowledged the version, sorted. Its last item is predecessorLeases while leases of the
// previous leader may be valid.
func (t *LeaseTable) MayPutInForce(version uint64, now Instant) (may bool, waitsFor []string) {
	t.expire(now)
	for name, lease := range t.leases {
		if lease.AcknowledgedVersion < version {
			waitsFor = append(waitsFor, name)
		}
	}
	slices.Sort(waitsFor)
	if now < t.electedAt+t.assumedLeaseDuration {
		waitsFor = append(waitsFor, predecessorLeases)
	}
	return len(waitsFor) == 0, waitsFor
}

// AllOnPlan reports whether every dispatcher that may hold a lease acts on the zone plan with the given number, or a newer one.
func (t *LeaseTable) AllOnPlan(plan uint64, now Instant) bool {
	for _, lease := range t.leases {
		if now < t.expiry(lease) && lease.PlanNumber < plan {
			return false
		}
	}
	return true
}

// LeaseHolders returns the dispatchers that may hold leases, sorted by name.
func (t *LeaseTable) LeaseHolders(now Instant) (all []Dispatcher) {
	for _, lease := range t.leases {
		if now < t.expiry(lease) {
			all = append(all, lease.Dispatcher)
		}
	}
	slices.SortFunc(all, func(a, b Dispatcher) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// CannotRead returns the names of lease holders whose message format is too old for the rules. Dispatchers without a lease need
// not be considered: a renewal in a format that is too old is rejected.
func (t *LeaseTable) CannotRead(rules Rules, now Instant) (names []string) {
	for _, dispatcher := range t.LeaseHolders(now) {
		if dispatcher.MessageFormat < rules.MinMessageFormat() {
			names = append(names, dispatcher.Name)
		}
	}
	return names
}
