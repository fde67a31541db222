package endpointcache

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

const (
	// A snapshot is written at most so often, and only when something has changed; where nothing has, that it still
	// holds is written down now and then.
	snapshotInterval    = 5 * time.Second
	confirmInterval     = time.Minute
	learnedStateTimeout = 500 * time.Millisecond // the module has to say what it has learned
	faultRetryInterval  = 15 * time.Second       // after a fault of the disk
	maxRecordMembers    = 256                    // more in one go is a snapshot's matter
)

// LearnedStateSource is what else goes into a snapshot.
type LearnedStateSource interface {
	// Experience gives what the module has learned, and its classes by name.
	LearnedState(context.Context) (scheduler.LearnedState, map[string]scheduler.ClassStatistics, error)
}

// Writer keeps the list as it comes. It is an actor with a mailbox: nobody who tells it something waits for the disk,
// and however slow that is, no more waits to be written than the list itself.
type Writer struct {
	store            *Store
	learnedState     LearnedStateSource
	discoveryAddress func() string // its address now
	settings         func() *protocol.Settings
	log              *slog.Logger
	mailbox          *routing.Mailbox[any]

	// Owned by Run.
	members        map[string]CachedMember
	revision       int64
	detached       []string
	confirmedAt    time.Time // when the list was last known to be true
	dirty          bool      // the members differ from what is on disk
	lastSnapshotAt time.Time // when the last snapshot was
	failedAt       time.Time // when the disk failed last; zero while it does not

	mu    sync.Mutex
	stats Stats
}

// Stats is how the keeper is, for the figures.
type Stats struct {
	Snapshots, Records, Faults int
	LastSnapshot               time.Time // of the last snapshot
}

type (
	endpointsUpdated struct {
		update     routing.ListUpdate
		receivedAt time.Time
	}
	detachedChanged struct{ ids []string }
)

// NewWriter makes the actor. It begins with what was loaded; nil for nothing.
func NewWriter(s *Store, loaded *CachedList, l LearnedStateSource, discovery func() string, params func() *protocol.Settings, log *slog.Logger) *Writer {
	k := &Writer{store: s, learnedState: l, discoveryAddress: discovery, settings: params, log: log, mailbox: routing.NewMailbox[any](), members: map[string]CachedMember{}}
	if loaded != nil {
		for _, m := range loaded.Members {
			k.members[m.ID] = m
		}
		k.revision, k.detached = loaded.Revision, loaded.Detached
	}
	return k
}

// Listed tells what discovery said: the whole list or changes, perhaps none. It does not block.
func (k *Writer) EndpointsUpdated(u routing.ListUpdate) {
	k.mailbox.Post(endpointsUpdated{u, time.Now()})
}

// SetDetached tells who is out by hand from now on. It does not block.
func (k *Writer) SetDetached(ids []string) { k.mailbox.Post(detachedChanged{slices.Clone(ids)}) }

// Stats gives the figures.
func (k *Writer) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stats
}

// Run is the actor's life.
func (k *Writer) Run(ctx context.Context) {
	look := time.NewTicker(time.Second)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.mailbox.Signal():
		case <-look.C:
		}
		k.applyMessages(k.mailbox.Take())
		if k.snapshotDue(time.Now()) {
			k.snapshot(ctx)
		}
	}
}

// applyMessages folds all that has come into one change, so that a storm costs the disk one record.
func (k *Writer) applyMessages(messages []any) {
	c := journalRecord{Revision: k.revision}
	news := map[string]protocol.Member{}
	for _, m := range messages {
		switch m := m.(type) {
		case detachedChanged:
			k.detached, c.Detached = m.ids, &m.ids
		case endpointsUpdated:
			k.confirmedAt = m.receivedAt
			k.applyUpdate(m.update, news)
		}
	}
	if len(news) == 0 && c.Detached == nil {
		return
	}
	k.dirty = true
	if len(news) > maxRecordMembers || !k.failedAt.IsZero() {
		return // a snapshot will have it
	}
	for _, m := range news {
		c.Members = append(c.Members, m)
	}
	c.AtMS, c.Revision = k.confirmedAt.UnixMilli(), k.revision
	if k.confirmedAt.IsZero() {
		c.AtMS = 0
	}
	if err := k.store.Append(&c); err != nil {
		if err != errNoGeneration {
			k.recordFault(err)
		}
		return
	}
	k.mu.Lock()
	k.stats.Records++
	k.mu.Unlock()
}

// applyUpdate adds an update to the members, and what it changes to news.
func (k *Writer) applyUpdate(u routing.ListUpdate, news map[string]protocol.Member) {
	k.revision = u.Revision
	present := map[string]bool{}
	for _, m := range protocol.Members(u.Endpoints, k.settings()) {
		present[m.ID] = true
		old, known := k.members[m.ID]
		if m.HostPort == "" {
			m.HostPort = old.HostPort
		}
		if known && old.Member == m || !known && m.Phase == protocol.Left {
			continue
		}
		news[m.ID] = m
		if m.Phase == protocol.Left {
			delete(k.members, m.ID)
			continue
		}
		if m.UpSinceMS > old.UpSinceMS { // started anew: nothing of it holds
			old = CachedMember{}
		}
		old.Member = m
		k.members[m.ID] = old
	}
	if !u.Complete {
		return
	}
	for id, m := range k.members {
		if !present[id] {
			m.Phase = protocol.Left
			news[id] = m.Member
			delete(k.members, id)
		}
	}
}

// snapshotDue tells whether a snapshot is.
func (k *Writer) snapshotDue(now time.Time) bool {
	switch {
	case k.confirmedAt.IsZero(): // discovery has told nothing: what is on disk is as good
		return false
	case !k.failedAt.IsZero():
		return now.After(k.failedAt.Add(faultRetryInterval))
	case k.dirty:
		return now.After(k.lastSnapshotAt.Add(snapshotInterval))
	}
	return now.After(k.lastSnapshotAt.Add(confirmInterval))
}

func (k *Writer) snapshot(ctx context.Context) {
	s := &CachedList{ConfirmedAtMS: k.confirmedAt.UnixMilli(), Revision: k.revision, Discovery: k.discoveryAddress(), Detached: k.detached}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(learnedStateTimeout))
	e, classes, err := k.learnedState.LearnedState(ctx)
	stop()
	if err == nil {
		s.Overcommit, s.MeanStay, s.MeanWork, s.Classes = e.Overcommit, e.MeanStay, e.MeanWork, classes
	}
	for _, m := range k.members {
		if was, ok := e.Workers[scheduler.WorkerID(m.ID)]; ok {
			m.Statistics, m.LastSignalMS = &was, was.LastSignal.Milliseconds()
		}
		s.Members = append(s.Members, m)
	}
	slices.SortFunc(s.Members, func(a, b CachedMember) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	k.lastSnapshotAt = time.Now()
	if err := k.store.Snapshot(s); err != nil {
		k.recordFault(err)
		return
	}
	if !k.failedAt.IsZero() {
		k.log.Info("saved list is written again")
	}
	k.dirty, k.failedAt = false, time.Time{}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Snapshots++
	k.stats.LastSnapshot = k.lastSnapshotAt
}

// recordFault notes that the disk failed: one line until it works again.
func (k *Writer) recordFault(err error) {
	if k.failedAt.IsZero() {
		k.log.Warn("saved list cannot be written, serving on without", "err", err)
	}
	k.failedAt = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Faults++
}
