package endpointcache

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

const (
	// snapshotInterval is the minimum time between snapshots of a list that changes.
	snapshotInterval = 5 * time.Second

	// confirmInterval is the time between snapshots of a list that does not change, which record that the list is still current.
	confirmInterval = time.Minute

	// faultRetryInterval is the time from a disk error to the next snapshot.
	faultRetryInterval = 15 * time.Second

	// dueCheckInterval is how often Run checks whether a snapshot is due.
	dueCheckInterval = time.Second

	// learnedStateTimeout is how long a snapshot waits for the learned state.
	learnedStateTimeout = 500 * time.Millisecond

	// maxRecordMembers is how many changed workers a journal record may have. If more have changed, only the next snapshot records them.
	maxRecordMembers = 256
)

// LearnedStateSource returns what the scheduler has learned.
type LearnedStateSource interface {
	// LearnedState returns the learned state, and the statistics of its classes by name. It may block until the context ends.
	LearnedState(context.Context) (scheduler.LearnedState, map[string]scheduler.ClassStatistics, error)
}

// Writer writes the endpoint list to a store as it changes. It is an actor with a mailbox: callers of EndpointsUpdated and SetDetached do
// not wait for the disk. The data waiting to be written is bounded by the size of the list, even if the disk is slow.
type Writer struct {
	store            *Store
	learnedState     LearnedStateSource
	discoveryAddress func() string
	settings         func() *protocol.Settings
	log              *slog.Logger
	mailbox          *routing.Mailbox[any]

	// Owned by Run.
	members        map[string]CachedMember
	revision       int64
	detached       []string
	confirmedAt    time.Time // when the list was last known to be current; zero until the first update
	dirty          bool      // the members differ from the last snapshot
	lastSnapshotAt time.Time // when a snapshot was last attempted
	failedAt       time.Time // when the disk last failed; zero after a successful snapshot

	mu    sync.Mutex
	stats Stats
}

// Stats are the counters of a Writer.
type Stats struct {
	Snapshots, Records, Faults int
	LastSnapshot               time.Time // when the last snapshot was written; zero for never
}

// The messages in the mailbox of a Writer.
type (
	endpointsUpdated struct {
		update     routing.ListUpdate
		receivedAt time.Time
	}
	detachedChanged struct{ ids []string }
)

// NewWriter returns a Writer that starts with the loaded list, or with an empty list if loaded is nil. discoveryAddress returns the current
// address of discovery, settings the current settings. Nothing is written before Run.
func NewWriter(store *Store, loaded *CachedList, learnedState LearnedStateSource, discoveryAddress func() string, settings func() *protocol.Settings, log *slog.Logger) *Writer {
	writer := &Writer{store: store, learnedState: learnedState, discoveryAddress: discoveryAddress, settings: settings, log: log,
		mailbox: routing.NewMailbox[any](), members: map[string]CachedMember{}}
	if loaded != nil {
		for _, member := range loaded.Members {
			writer.members[member.ID] = member
		}
		writer.revision, writer.detached = loaded.Revision, loaded.Detached
	}
	return writer
}

// EndpointsUpdated queues a response of discovery: the full list, or the changes, which may be none. It does not block.
func (w *Writer) EndpointsUpdated(update routing.ListUpdate) {
	w.mailbox.Post(endpointsUpdated{update, time.Now()})
}

// SetDetached queues the IDs of all workers that the operator has detached. It does not block.
func (w *Writer) SetDetached(ids []string) { w.mailbox.Post(detachedChanged{slices.Clone(ids)}) }

// Stats returns the counters. It is safe for concurrent use.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Run writes records and snapshots until the context ends.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(dueCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.mailbox.Signal():
		case <-ticker.C:
		}
		w.applyMessages(w.mailbox.Take())
		if w.snapshotDue(time.Now()) {
			w.snapshot(ctx)
		}
	}
}

// applyMessages applies all messages, and writes one journal record for them, so that a burst of updates costs one write to disk.
func (w *Writer) applyMessages(messages []any) {
	record := journalRecord{Revision: w.revision}
	changed := map[string]protocol.Member{}
	for _, message := range messages {
		switch message := message.(type) {
		case detachedChanged:
			w.detached, record.Detached = message.ids, &message.ids
		case endpointsUpdated:
			w.confirmedAt = message.receivedAt
			w.applyUpdate(message.update, changed)
		}
	}
	if len(changed) == 0 && record.Detached == nil {
		return
	}
	w.dirty = true
	if len(changed) > maxRecordMembers || !w.failedAt.IsZero() {
		return // the next snapshot will have the changes
	}
	for _, member := range changed {
		record.Members = append(record.Members, member)
	}
	record.Revision = w.revision
	if !w.confirmedAt.IsZero() {
		record.AtMS = w.confirmedAt.UnixMilli()
	}
	w.append(&record)
}

// append writes a journal record. Before the first snapshot there is no journal; the snapshot will have the changes.
func (w *Writer) append(record *journalRecord) {
	err := w.store.Append(record)
	switch {
	case errors.Is(err, errNoGeneration):
		return
	case err != nil:
		w.recordFault(err)
		return
	}
	w.mu.Lock()
	w.stats.Records++
	w.mu.Unlock()
}

// applyUpdate applies an update to the members, and adds the members that it changes to changed.
func (w *Writer) applyUpdate(update routing.ListUpdate, changed map[string]protocol.Member) {
	w.revision = update.Revision
	listed := map[string]bool{}
	for _, member := range protocol.Members(update.Endpoints, w.settings()) {
		listed[member.ID] = true
		before, known := w.members[member.ID]
		after := before.updatedTo(member)
		if known && before.Member == after.Member || !known && member.Phase == protocol.PhaseLeft {
			continue
		}
		changed[member.ID] = after.Member
		if member.Phase == protocol.PhaseLeft {
			delete(w.members, member.ID)
			continue
		}
		w.members[member.ID] = after
	}
	if update.Complete {
		w.removeUnlisted(listed, changed)
	}
}

// removeUnlisted removes the members that are missing from a full list, and adds them to changed.
func (w *Writer) removeUnlisted(listed map[string]bool, changed map[string]protocol.Member) {
	for id, member := range w.members {
		if !listed[id] {
			member.Phase = protocol.PhaseLeft
			changed[id] = member.Member
			delete(w.members, id)
		}
	}
}

// snapshotDue reports whether a snapshot is due. Before the first update none is due, since the list on disk is as recent as the
// members.
func (w *Writer) snapshotDue(now time.Time) bool {
	switch {
	case w.confirmedAt.IsZero():
		return false
	case !w.failedAt.IsZero():
		return now.After(w.failedAt.Add(faultRetryInterval))
	case w.dirty:
		return now.After(w.lastSnapshotAt.Add(snapshotInterval))
	}
	return now.After(w.lastSnapshotAt.Add(confirmInterval))
}

// snapshot writes the list as a new generation.
func (w *Writer) snapshot(ctx context.Context) {
	list := w.cachedList(ctx)
	w.lastSnapshotAt = time.Now()
	if err := w.store.Snapshot(list); err != nil {
		w.recordFault(err)
		return
	}
	if !w.failedAt.IsZero() {
		w.log.Info("endpoint cache write recovered")
	}
	w.dirty, w.failedAt = false, time.Time{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Snapshots++
	w.stats.LastSnapshot = w.lastSnapshotAt
}

// cachedList returns the list to store, with the learned state if it is available within learnedStateTimeout.
func (w *Writer) cachedList(ctx context.Context) *CachedList {
	list := &CachedList{ConfirmedAtMS: w.confirmedAt.UnixMilli(), Revision: w.revision, Discovery: w.discoveryAddress(), Detached: w.detached}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(learnedStateTimeout))
	state, classes, err := w.learnedState.LearnedState(ctx)
	cancel()
	if err == nil {
		list.Overcommit, list.MeanAttemptDuration, list.MeanWork, list.Classes = state.Overcommit, state.MeanAttemptDuration, state.MeanWork, classes
	}
	for _, member := range w.members {
		if statistics, ok := state.Workers[scheduler.WorkerID(member.ID)]; ok {
			member.Statistics, member.LastSignalMS = &statistics, statistics.LastSignal.Milliseconds()
		}
		list.Members = append(list.Members, member)
	}
	slices.SortFunc(list.Members, func(a, b CachedMember) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// recordFault records that the disk has failed. It logs only the first failure after a successful snapshot.
func (w *Writer) recordFault(err error) {
	if w.failedAt.IsZero() {
		w.log.Warn("endpoint cache write failed", "err", err)
	}
	w.failedAt = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Faults++
}
