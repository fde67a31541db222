// Package raftlog is the council's log: entries of agreement, in one order at all voters, by go.etcd.io/raft/v3 over files of
// go.etcd.io/bbolt. Consensus is the library's; this package brings it time, disk and messages, and applies what is committed.
package raftlog

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

const (
	tickEvery      = 50 * time.Millisecond
	electionTicks  = 10
	heartbeatTicks = 2
	snapshotEvery  = 512 // applied entries, where the options do not say
	keepBehind     = 64
	tailEntries    = 64      // that are kept in memory for who follows the log
	mostWaiting    = 1024    // messages that came and were not stepped yet; what comes beyond is lost, as on a network
	mostMessage    = 1 << 20 // bytes of entries in one message
)

// The reasons for which a call is not served.
var (
	ErrNotLeader        = errors.New("this voter does not lead")
	ErrStopped          = errors.New("the log has stopped")
	ErrChangeInProgress = errors.New("the council is being changed already")
)

// Options make a seat's part.
type Options struct {
	VoterID           uint64
	Founders          []voters.Voter // of the first council; nil for a seat that came later
	Directory         string
	Send              func(to uint64, message []byte) // to another seat; must not block
	RecordChanged     func(configversions.Record)     // behind each entry that changed the record; must not block
	LeadershipChanged func(leads bool)                // must not block
	Log               *slog.Logger

	SnapshotEvery uint64 // applied entries
}

// Log is a voter's part.
type Log struct {
	o     Options
	store *store
	node  *raft.RawNode
	in    chan []byte
	calls chan call
	done  chan struct{}

	mu     sync.Mutex
	record configversions.Record
	leader uint64
	places []voters.Status        // of the council, while this seat leads
	tail   []configversions.Entry // the entries that made the record's last revisions, the newest last

	// Owned by Run.
	applied  uint64
	snapshot uint64
	conf     *raftpb.ConfState
	leads    bool
	queue    []chan<- error // wait for the next question to the other voters
	reads    []chan<- error // and for the answer to the one that is out
	asked    uint64
	askedAt  time.Time
	confirms []confirmed
	waits    map[string]chan<- error // proposals, by their entries' ids
	loading  map[uint64]int          // ticks for which a voter's snapshot has been on its way
	silent   map[uint64]int          // ticks since a seat was last heard of, while this one leads
	moved    bool                    // the council has changed since the last snapshot
}

type call struct {
	entry  *configversions.Entry // with move nil too, to confirm
	move   *voters.Change
	answer chan<- error
}

type confirmed struct {
	index  uint64
	answer chan<- error
}

// Open reads what the seat kept. Run goes on from there.
func Open(o Options) (*Log, error) {
	if o.VoterID == 0 || o.Founders != nil && o.VoterID > uint64(len(o.Founders)) {
		return nil, fmt.Errorf("there is no seat %d", o.VoterID)
	}
	s, err := openStore(Path(o.Directory, o.VoterID), o.Founders)
	if err != nil {
		return nil, err
	}
	l := &Log{o: o, store: s, in: make(chan []byte, mostWaiting), calls: make(chan call, mostWaiting), done: make(chan struct{}),
		waits: map[string]chan<- error{}, loading: map[uint64]int{}, silent: map[uint64]int{}}
	snapshot, err := s.Snapshot()
	if err == nil {
		err = l.restore(snapshot)
	}
	if err == nil {
		l.node, err = raft.NewRawNode(&raft.Config{ID: o.VoterID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: s,
			Applied: l.applied, MaxSizePerMsg: mostMessage, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: quiet{o.Log}})
	}
	if err != nil {
		s.db.Close()
		return nil, err
	}
	return l, nil
}

// Path is a seat's file in a directory.
func Path(dir string, seat uint64) string {
	return filepath.Join(dir, fmt.Sprintf("council-%d.db", seat))
}

func (l *Log) restore(s *raftpb.Snapshot) error {
	l.applied, l.snapshot, l.conf = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	if len(s.GetData()) == 0 {
		return nil
	}
	var r configversions.Record
	if err := json.Unmarshal(s.GetData(), &r); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	l.mu.Lock()
	l.record, l.tail = r, nil
	l.mu.Unlock()
	return nil
}

// Record is what was applied here.
func (l *Log) Record() configversions.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Leader is the seat that leads, as far as this voter knows; 0 for none.
func (l *Log) Leader() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// VoterID is the one that this is.
func (l *Log) VoterID() uint64 { return l.o.VoterID }

// VoterStatuses is what the leader sees of the council's seats; nil at others.
func (l *Log) VoterStatuses() []voters.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.places)
}

// EntriesSince gives what has changed since a revision, and the era and revision that this leads to: entries to apply to the record
// of that revision where they are still known, else the whole record.
func (l *Log) EntriesSince(era, revision uint64) (entries []configversions.Entry, whole *configversions.Record, toEra, to uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record
	switch missing := r.Revision - revision; {
	case revision == 0: // nothing is known there
		whole = &r
	case era == r.Epoch && revision >= r.Revision:
		return nil, nil, era, revision
	case era == r.Epoch && missing <= uint64(len(l.tail)):
		entries = slices.Clone(l.tail[uint64(len(l.tail))-missing:])
	default:
		whole = &r
	}
	return entries, whole, r.Epoch, r.Revision
}

// Step takes a message of another voter. It does not block.
func (l *Log) Step(message []byte) {
	select {
	case l.in <- message:
	default:
	}
}

// Propose has an entry applied and gives what that said. Where the context ends before, it may still be.
func (l *Log) Propose(ctx context.Context, e configversions.Entry) error {
	return l.ask(ctx, call{entry: &e})
}

// Confirm tells whether this voter leads now, by the word of a majority, and has applied all that was committed before.
func (l *Log) Confirm(ctx context.Context) error { return l.ask(ctx, call{}) }

// ChangeVoters changes the council, one move at a time. It returns once the move is in the log of this seat; the record tells when
// it has come about.
func (l *Log) ChangeVoters(ctx context.Context, m voters.Change) error {
	return l.ask(ctx, call{move: &m})
}

func (l *Log) ask(ctx context.Context, c call) error {
	answer := make(chan error, 1)
	c.answer = answer
	select {
	case l.calls <- c:
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-answer:
		return err
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run is the voter's life. It ends with the context, or with the first fault of its disk: a voter that cannot keep its word
// must not give any.
func (l *Log) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(tickEvery)
	defer func() {
		ticker.Stop()
		close(l.done)
		if l.leads {
			l.o.LeadershipChanged(false)
		}
		err = errors.Join(err, l.store.db.Close())
	}()
	for {
		for l.node.HasReady() {
			if err := l.ready(l.node.Ready()); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.node.Tick()
			l.look()
			l.read()
		case text := <-l.in:
			m := &raftpb.Message{}
			if proto.Unmarshal(text, m) != nil || m.GetTo() != l.o.VoterID || m.GetFrom() == 0 {
				continue // not for this seat
			}
			if raft.IsLocalMsg(m.GetType()) {
				continue
			}
			_ = l.node.Step(m) // what it refuses is old
		case c := <-l.calls:
			l.serve(c)
		}
	}
}

func (l *Log) serve(c call) {
	if !l.leads {
		c.answer <- ErrNotLeader
		return
	}
	if c.move != nil {
		c.answer <- l.move(c.move)
		return
	}
	if c.entry == nil {
		l.queue = append(l.queue, c.answer)
		l.read()
		return
	}
	text, err := json.Marshal(c.entry)
	if err == nil {
		err = l.node.Propose(text)
	}
	if err != nil {
		c.answer <- err
		return
	}
	l.waits[c.entry.ID] = c.answer
}

// read asks the other voters whether this one leads, once for all that wait. One question is out at a time: raft repeats it
// with its heartbeats until a majority has answered. Who comes meanwhile waits for the next, which comes no sooner than a
// tick behind the last: each costs a call to and from every voter, and 300 dispatchers ask all the time.
func (l *Log) read() {
	if len(l.reads) > 0 || len(l.queue) == 0 || time.Since(l.askedAt) < tickEvery-tickEvery/10 {
		return
	}
	l.reads, l.queue = l.queue, nil
	l.askedAt = time.Now()
	l.asked++
	l.node.ReadIndex(binary.BigEndian.AppendUint64(nil, l.asked))
}

// ready does what raft asks for: first the disk, then the messages, then what is committed.
func (l *Log) ready(rd raft.Ready) error {
	if err := l.store.keep(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
		return fmt.Errorf("council's log: %w", err)
	}
	for _, m := range rd.Messages {
		if text, err := proto.Marshal(m); err == nil {
			l.o.Send(m.GetTo(), text)
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := l.restore(rd.Snapshot); err != nil {
			return err
		}
		l.o.RecordChanged(l.Record())
	}
	for _, e := range rd.CommittedEntries {
		l.apply(e)
	}
	if rd.SoftState != nil {
		l.soft(rd.SoftState)
	}
	for _, s := range rd.ReadStates {
		if binary.BigEndian.Uint64(s.RequestCtx) == l.asked {
			for _, answer := range l.reads {
				l.confirms = append(l.confirms, confirmed{s.Index, answer})
			}
			l.reads = nil
		}
	}
	left := l.confirms[:0]
	for _, c := range l.confirms {
		if c.index <= l.applied {
			c.answer <- nil
		} else {
			left = append(left, c)
		}
	}
	l.confirms = left
	l.node.Advance(rd)
	l.read()
	// A seat that is taken in gets a snapshot that knows of it, or nothing.
	if l.moved || l.applied >= l.snapshot+cmp.Or(l.o.SnapshotEvery, snapshotEvery) {
		state, err := json.Marshal(l.Record())
		if err == nil {
			err = l.store.compact(l.applied, l.conf, state)
		}
		if err != nil {
			return fmt.Errorf("council's snapshot: %w", err)
		}
		l.snapshot, l.moved = l.applied, false
	}
	return nil
}

func (l *Log) apply(e *raftpb.Entry) {
	l.applied = e.GetIndex()
	var entry configversions.Entry
	var err error
	switch {
	case e.GetType() == raftpb.EntryConfChangeV2:
		cc := &raftpb.ConfChangeV2{}
		if proto.Unmarshal(e.GetData(), cc) != nil {
			return
		}
		l.conf, l.moved = l.node.ApplyConfChange(cc), true
		entry.Voters = l.council(cc.GetContext())
	case e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0: // a new leader's first
		return
	default:
		err = json.Unmarshal(e.GetData(), &entry)
	}
	if err == nil {
		l.mu.Lock()
		var next configversions.Record
		if next, err = l.record.Apply(entry); err == nil {
			l.record = next
			if l.tail = append(l.tail, entry); len(l.tail) > tailEntries {
				l.tail = slices.Delete(l.tail, 0, 1)
			}
		}
		l.mu.Unlock()
		if err == nil {
			l.o.RecordChanged(next)
		}
	}
	if answer := l.waits[entry.ID]; answer != nil {
		delete(l.waits, entry.ID)
		answer <- err
	}
}

// soft takes in who leads. What was asked of a leader that is none any more has no answer.
func (l *Log) soft(s *raft.SoftState) {
	l.mu.Lock()
	l.leader = s.Lead
	l.mu.Unlock()
	leads := s.RaftState == raft.StateLeader
	if leads == l.leads {
		return
	}
	l.leads = leads
	clear(l.silent)
	clear(l.loading)
	if !leads {
		l.mu.Lock()
		l.places = nil
		l.mu.Unlock()
		for _, answer := range append(l.reads, l.queue...) {
			answer <- ErrNotLeader
		}
		l.reads, l.queue = nil, nil
		for _, c := range l.confirms {
			c.answer <- ErrNotLeader
		}
		for id, answer := range l.waits {
			answer <- ErrNotLeader
			delete(l.waits, id)
		}
		l.confirms = nil
	}
	l.o.LeadershipChanged(leads)
}
