package raftlog

import (
	"slices"

	"brassdale/internal/decisions/configversions"
)

// Update is what changed since a revision of the record: entries to apply to the record at that revision, or the whole record.
// Both are nil if nothing has changed.
type Update struct {
	Entries []configversions.Entry
	Record  *configversions.Record
	// Epoch and Revision are the record's epoch and revision after the update.
	Epoch    uint64
	Revision uint64
}

// IsEmpty reports whether nothing has changed.
func (u Update) IsEmpty() bool { return u.Entries == nil && u.Record == nil }

// UpdateSince returns what changed since a revision of the record: the entries if they are still in memory, otherwise the whole
// record. Revision 0 means that the caller has no record.
func (l *Log) UpdateSince(epoch, revision uint64) Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.record
	if revision > 0 && epoch == record.Epoch && revision >= record.Revision {
		return Update{Epoch: epoch, Revision: revision}
	}
	update := Update{Epoch: record.Epoch, Revision: record.Revision}
	missing := record.Revision - revision
	recent := uint64(len(l.recentEntries))
	if revision > 0 && epoch == record.Epoch && missing <= recent {
		update.Entries = slices.Clone(l.recentEntries[recent-missing:])
	} else {
		update.Record = &record
	}
	return update
}
