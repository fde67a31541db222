// Package log is the council's log: entries of agreement, in one order at all voters, by go.etcd.io/raft/v3 over files of
// go.etcd.io/bbolt. Consensus is the library's; this package brings it time, disk and messages, and applies what is committed.
package log

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/agreement"
)

const (
	tickEvery      = 50 * time.Millisecond
	electionTicks  = 10
	heartbeatTicks = 2
	snapshotEvery  = 512 // applied entries, where the options do not say
	keepBehind     = 64
	mostWaiting    = 1024    // messages that came and were not stepped yet; what comes beyond is lost, as on a network
	mostMessage    = 1 << 20 // bytes of entries in one message
)

// The reasons for which a call is not served.
var (
	ErrNotLeader = errors.New("this voter does not lead")
	ErrStopped   = errors.New("the log has stopped")
)

// Options make a voter's part.
type Options struct {
	Seat      int // from 1
	Voters    int
	Directory string
	Send      func(to int, message []byte) // to another voter; must not block
	Changed   func(agreement.Record)       // behind each entry that changed the record; must not block
	Leads     func(leads bool)             // must not block
	Log       *slog.Logger

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
	record agreement.Record
	leader int

	// Owned by Run.
	applied  uint64
	snapshot uint64
	conf     *raftpb.ConfState
	leads    bool
	queue    []chan<- error // wait for the next question to the other voters
	reads    []chan<- error // and for the answer to the one that is out
	asked    uint64
	confirms []confirmed
	waits    map[string]chan<- error // proposals, by their entries' ids
	loading  map[uint64]int          // ticks for which a voter's snapshot has been on its way
}

type call struct {
	entry  *agreement.Entry // nil to confirm
	answer chan<- error
}

type confirmed struct {
	index  uint64
	answer chan<- error
}

// Open reads what the voter kept. Run goes on from there.
func Open(o Options) (*Log, error) {
	if o.Seat < 1 || o.Seat > o.Voters {
		return nil, fmt.Errorf("seat %d of %d voters", o.Seat, o.Voters)
	}
	s, err := openStore(filepath.Join(o.Directory, fmt.Sprintf("council-%d.db", o.Seat)), o.Voters)
	if err != nil {
		return nil, err
	}
	l := &Log{o: o, store: s, in: make(chan []byte, mostWaiting), calls: make(chan call, mostWaiting), done: make(chan struct{}),
		waits: map[string]chan<- error{}, loading: map[uint64]int{}}
	snapshot, err := s.Snapshot()
	if err == nil {
		err = l.restore(snapshot)
	}
	if err == nil {
		l.node, err = raft.NewRawNode(&raft.Config{ID: uint64(o.Seat), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: s,
			Applied: l.applied, MaxSizePerMsg: mostMessage, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: quiet{o.Log}})
	}
	if err != nil {
		s.db.Close()
		return nil, err
	}
	return l, nil
}

func (l *Log) restore(s *raftpb.Snapshot) error {
	l.applied, l.snapshot, l.conf = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	if len(s.GetData()) == 0 {
		return nil
	}
	var r agreement.Record
	if err := json.Unmarshal(s.GetData(), &r); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	l.mu.Lock()
	l.record = r
	l.mu.Unlock()
	return nil
}

// Record is what was applied here.
func (l *Log) Record() agreement.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Leader is the seat that leads, as far as this voter knows; 0 for none.
func (l *Log) Leader() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// Step takes a message of another voter. It does not block.
func (l *Log) Step(message []byte) {
	select {
	case l.in <- message:
	default:
	}
}

// Propose has an entry applied and gives what that said. Where the context ends before, it may still be.
func (l *Log) Propose(ctx context.Context, e agreement.Entry) error {
	return l.ask(ctx, call{entry: &e})
}

// Confirm tells whether this voter leads now, by the word of a majority, and has applied all that was committed before.
func (l *Log) Confirm(ctx context.Context) error { return l.ask(ctx, call{}) }

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
			l.o.Leads(false)
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
			l.resend()
		case text := <-l.in:
			m := &raftpb.Message{}
			if proto.Unmarshal(text, m) != nil || m.GetTo() != uint64(l.o.Seat) || m.GetFrom() == 0 || m.GetFrom() > uint64(l.o.Voters) {
				continue // not of this council
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

// resend has a snapshot sent again of which nothing was heard for as long as an election takes. Raft sends one once and then
// nothing more to that voter until it is told how that ended, and what is lost on the way tells nobody.
func (l *Log) resend() {
	l.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if pr.State != tracker.StateSnapshot {
			delete(l.loading, id)
			return
		}
		l.loading[id]++
	})
	for id, ticks := range l.loading {
		if ticks >= electionTicks {
			delete(l.loading, id)
			l.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

func (l *Log) serve(c call) {
	if !l.leads {
		c.answer <- ErrNotLeader
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
// with its heartbeats until a majority has answered. Who comes meanwhile waits for the next.
func (l *Log) read() {
	if len(l.reads) > 0 || len(l.queue) == 0 {
		return
	}
	l.reads, l.queue = l.queue, nil
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
			l.o.Send(int(m.GetTo()), text)
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := l.restore(rd.Snapshot); err != nil {
			return err
		}
		l.o.Changed(l.Record())
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
	if l.applied >= l.snapshot+cmp.Or(l.o.SnapshotEvery, snapshotEvery) {
		state, err := json.Marshal(l.Record())
		if err == nil {
			err = l.store.compact(l.applied, l.conf, state)
		}
		if err != nil {
			return fmt.Errorf("council's snapshot: %w", err)
		}
		l.snapshot = l.applied
	}
	return nil
}

func (l *Log) apply(e *raftpb.Entry) {
	l.applied = e.GetIndex()
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 { // a new leader's first; voters do not change
		return
	}
	var entry agreement.Entry
	err := json.Unmarshal(e.GetData(), &entry)
	if err == nil {
		l.mu.Lock()
		var next agreement.Record
		if next, err = l.record.Apply(entry); err == nil {
			l.record = next
		}
		l.mu.Unlock()
		if err == nil {
			l.o.Changed(next)
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
	l.leader = int(s.Lead)
	l.mu.Unlock()
	leads := s.RaftState == raft.StateLeader
	if leads == l.leads {
		return
	}
	l.leads = leads
	if !leads {
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
	l.o.Leads(leads)
}

// quiet passes raft's warnings on, and the rest for those who look for faults.
type quiet struct{ log *slog.Logger }

func (q quiet) Debug(v ...any)              { q.log.Debug(fmt.Sprint(v...)) }
func (q quiet) Debugf(f string, v ...any)   { q.log.Debug(fmt.Sprintf(f, v...)) }
func (q quiet) Info(v ...any)               { q.log.Debug(fmt.Sprint(v...)) }
func (q quiet) Infof(f string, v ...any)    { q.log.Debug(fmt.Sprintf(f, v...)) }
func (q quiet) Warning(v ...any)            { q.log.Warn(fmt.Sprint(v...)) }
func (q quiet) Warningf(f string, v ...any) { q.log.Warn(fmt.Sprintf(f, v...)) }
func (q quiet) Error(v ...any)              { q.log.Error(fmt.Sprint(v...)) }
func (q quiet) Errorf(f string, v ...any)   { q.log.Error(fmt.Sprintf(f, v...)) }
func (q quiet) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (q quiet) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
