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
	snapshotEvery  = 5 * time.Second
	confirmEvery   = time.Minute
	learnWithin    = 500 * time.Millisecond // the module has to say what it has learned
	retryEvery     = 15 * time.Second       // after a fault of the disk
	journalChanges = 256                    // more in one go is a snapshot's matter
)

// LearnedStateSource is what else goes into a snapshot.
type LearnedStateSource interface {
	// Experience gives what the module has learned, and its classes by name.
	LearnedState(context.Context) (scheduler.LearnedState, map[string]scheduler.ClassStatistics, error)
}

// Writer keeps the list as it comes. It is an actor with a mailbox: nobody who tells it something waits for the disk,
// and however slow that is, no more waits to be written than the list itself.
type Writer struct {
	store     *Store
	learned   LearnedStateSource
	discovery func() string // its address now
	params    func() *protocol.Settings
	log       *slog.Logger
	box       *routing.Mailbox[any]

	// Owned by Run.
	members   map[string]CachedMember
	revision  int64
	out       []string
	confirmed time.Time // when the list was last known to be true
	dirty     bool      // the members differ from what is on disk
	written   time.Time // when the last snapshot was
	failing   time.Time // when the disk failed last; zero while it does not

	mu    sync.Mutex
	state Stats
}

// Stats is how the keeper is, for the figures.
type Stats struct {
	Snapshots, Records, Faults int
	LastSnapshot               time.Time // of the last snapshot
}

type (
	listed struct {
		update routing.ListUpdate
		at     time.Time
	}
	outByHand struct{ ids []string }
)

// NewWriter makes the actor. It begins with what was loaded; nil for nothing.
func NewWriter(s *Store, loaded *CachedList, l LearnedStateSource, discovery func() string, params func() *protocol.Settings, log *slog.Logger) *Writer {
	k := &Writer{store: s, learned: l, discovery: discovery, params: params, log: log, box: routing.NewMailbox[any](), members: map[string]CachedMember{}}
	if loaded != nil {
		for _, m := range loaded.Members {
			k.members[m.ID] = m
		}
		k.revision, k.out = loaded.Revision, loaded.Detached
	}
	return k
}

// Listed tells what discovery said: the whole list or changes, perhaps none. It does not block.
func (k *Writer) EndpointsUpdated(u routing.ListUpdate) { k.box.Post(listed{u, time.Now()}) }

// SetDetached tells who is out by hand from now on. It does not block.
func (k *Writer) SetDetached(ids []string) { k.box.Post(outByHand{slices.Clone(ids)}) }

// Stats gives the figures.
func (k *Writer) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}

// Run is the actor's life.
func (k *Writer) Run(ctx context.Context) {
	look := time.NewTicker(time.Second)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.box.Signal():
		case <-look.C:
		}
		k.take(k.box.Take())
		if k.due(time.Now()) {
			k.snapshot(ctx)
		}
	}
}

// take folds all that has come into one change, so that a storm costs the disk one record.
func (k *Writer) take(messages []any) {
	c := change{Revision: k.revision}
	news := map[string]protocol.Member{}
	for _, m := range messages {
		switch m := m.(type) {
		case outByHand:
			k.out, c.Out = m.ids, &m.ids
		case listed:
			k.confirmed = m.at
			k.fold(m.update, news)
		}
	}
	if len(news) == 0 && c.Out == nil {
		return
	}
	k.dirty = true
	if len(news) > journalChanges || !k.failing.IsZero() {
		return // a snapshot will have it
	}
	for _, m := range news {
		c.Members = append(c.Members, m)
	}
	c.AtMS, c.Revision = k.confirmed.UnixMilli(), k.revision
	if k.confirmed.IsZero() {
		c.AtMS = 0
	}
	if err := k.store.Append(&c); err != nil {
		if err != errNoGeneration {
			k.fault(err)
		}
		return
	}
	k.mu.Lock()
	k.state.Records++
	k.mu.Unlock()
}

// fold adds an update to the members, and what it changes to news.
func (k *Writer) fold(u routing.ListUpdate, news map[string]protocol.Member) {
	k.revision = u.Revision
	present := map[string]bool{}
	for _, m := range protocol.Members(u.Endpoints, k.params()) {
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

// due tells whether a snapshot is.
func (k *Writer) due(now time.Time) bool {
	switch {
	case k.confirmed.IsZero(): // discovery has told nothing: what is on disk is as good
		return false
	case !k.failing.IsZero():
		return now.After(k.failing.Add(retryEvery))
	case k.dirty:
		return now.After(k.written.Add(snapshotEvery))
	}
	return now.After(k.written.Add(confirmEvery))
}

func (k *Writer) snapshot(ctx context.Context) {
	s := &CachedList{ConfirmedAtMS: k.confirmed.UnixMilli(), Revision: k.revision, Discovery: k.discovery(), Detached: k.out}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(learnWithin))
	e, classes, err := k.learned.LearnedState(ctx)
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
	k.written = time.Now()
	if err := k.store.Snapshot(s); err != nil {
		k.fault(err)
		return
	}
	if !k.failing.IsZero() {
		k.log.Info("saved list is written again")
	}
	k.dirty, k.failing = false, time.Time{}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.Snapshots++
	k.state.LastSnapshot = k.written
}

// fault notes that the disk failed: one line until it works again.
func (k *Writer) fault(err error) {
	if k.failing.IsZero() {
		k.log.Warn("saved list cannot be written, serving on without", "err", err)
	}
	k.failing = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.Faults++
}
