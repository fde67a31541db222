// Package raftlog is the replicated log of the fleet's raft group: entries of configversions, in the same order at all voters.
//
// go.etcd.io/raft/v3 provides the consensus. This package gives it a clock, a file (go.etcd.io/bbolt) and messages, and applies
// the committed entries to a configversions.Record.
package raftlog

import (
	"context"
	"errors"
	"fmt"
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
	tickInterval        = 50 * time.Millisecond
	electionTicks       = 10      // without a message from the leader, after which a voter starts an election
	heartbeatTicks      = 2       // between two heartbeats of the leader
	maxInflightMessages = 64      // appends that the leader sends to a voter before the first is acknowledged
	maxMessageBytes     = 1 << 20 // of entries in one message
	maxQueuedMessages   = 1024    // received, not yet passed to raft; further ones are dropped, like messages that a network loses
	maxQueuedRequests   = 1024    // from callers; further callers block
	maxRecentEntries    = 64      // retained in memory for UpdateSince
)

// Errors of Propose, Confirm and ChangeVoters.
var (
	ErrNotLeader             = errors.New("this voter does not lead")
	ErrStopped               = errors.New("the log has stopped")
	ErrVoterChangeInProgress = errors.New("another change of the voters is in progress")
)

// Log is one voter of the raft group: its raft node, its file and the record that results from the committed entries.
//
// Only the goroutine of Run uses the raft node, the store and the fields of ownedByRun. mu guards the fields between mu and
// ownedByRun, which Run writes and any goroutine may read. Run never holds mu while it writes to the disk, calls a callback or
// sends. The exported methods may be called from any goroutine at any time, also before Run and after its end.
type Log struct {
	options  Options
	store    *store
	node     *raft.RawNode
	messages chan []byte   // from other voters, for Run
	requests chan request  // from callers, for Run
	done     chan struct{} // closed when Run ends

	mu            sync.Mutex
	record        configversions.Record
	leader        uint64                 // 0 if none is known
	voterStatuses []voters.Status        // nil while this voter does not lead
	recentEntries []configversions.Entry // that produced the record's last revisions, the newest last

	ownedByRun
}

// ownedByRun is the part of a Log that only the goroutine of Run uses.
type ownedByRun struct {
	appliedIndex  uint64
	snapshotIndex uint64
	confState     *raftpb.ConfState
	isLeader      bool
	votersChanged bool // since the last snapshot

	reads     readIndexes
	proposals map[string]chan<- error // result channels of the proposals that are not applied yet, by the ID of the entry

	silentTicks   map[uint64]int // since a voter's last message, by voter ID, while this voter leads
	snapshotTicks map[uint64]int // since a snapshot was sent to a voter, if not acknowledged yet, by voter ID
}

// Open opens or creates the voter's file and restores the stored state. The voter does nothing until Run is called; the caller
// must call Run, which closes the file.
func Open(options Options) (*Log, error) {
	if options.VoterID == 0 || options.Founders != nil && options.VoterID > uint64(len(options.Founders)) {
		return nil, fmt.Errorf("voter %d is not one of the %d founders", options.VoterID, len(options.Founders))
	}
	store, err := openStore(Path(options.Directory, options.VoterID), options.Founders)
	if err != nil {
		return nil, err
	}
	log := &Log{
		options:  options,
		store:    store,
		messages: make(chan []byte, maxQueuedMessages),
		requests: make(chan request, maxQueuedRequests),
		done:     make(chan struct{}),
		ownedByRun: ownedByRun{
			proposals:     map[string]chan<- error{},
			silentTicks:   map[uint64]int{},
			snapshotTicks: map[uint64]int{},
		},
	}
	if err := log.restoreAndCreateNode(); err != nil {
		return nil, errors.Join(err, store.close())
	}
	return log, nil
}

// restoreAndCreateNode restores the stored snapshot and creates the raft node, which continues after the snapshot.
func (l *Log) restoreAndCreateNode() error {
	snapshot, err := l.store.Snapshot()
	if err != nil {
		return err
	}
	if err := l.restore(snapshot); err != nil {
		return err
	}
	l.node, err = raft.NewRawNode(&raft.Config{
		ID:              l.options.VoterID,
		ElectionTick:    electionTicks,
		HeartbeatTick:   heartbeatTicks,
		Storage:         l.store,
		Applied:         l.appliedIndex,
		MaxSizePerMsg:   maxMessageBytes,
		MaxInflightMsgs: maxInflightMessages,
		CheckQuorum:     true,
		PreVote:         true,
		Logger:          raftLogger{l.options.Log},
	})
	return err
}

// Path returns the path of a voter's file in a directory.
func Path(directory string, voterID uint64) string {
	return filepath.Join(directory, fmt.Sprintf("council-%d.db", voterID))
}

// Run is the voter's event loop. It returns nil when the context ends, and an error when the disk fails: a voter must not vote
// or acknowledge an entry that it could lose, so it stops, and the others continue without it. Run closes the file, and all
// waiting calls return ErrStopped.
func (l *Log) Run(ctx context.Context) (err error) {
	ticker := time.NewTicker(tickInterval)
	defer func() {
		ticker.Stop()
		close(l.done)
		if l.isLeader {
			l.options.LeadershipChanged(false)
		}
		err = errors.Join(err, l.store.close())
	}()
	for {
		for l.node.HasReady() {
			if err := l.handleReady(l.node.Ready()); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.node.Tick()
			l.checkProgress()
			l.requestReadIndex()
		case encoded := <-l.messages:
			l.stepMessage(encoded)
		case req := <-l.requests:
			l.handleRequest(req)
		}
	}
}

// Step queues an encoded message from another voter. It does not block: if the queue is full the message is dropped, and raft
// sends it again.
func (l *Log) Step(message []byte) {
	select {
	case l.messages <- message:
	default:
	}
}

// stepMessage passes a received message to raft. It drops anything but a message from another voter to this one.
func (l *Log) stepMessage(encoded []byte) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return
	}
	if message.GetTo() != l.options.VoterID || message.GetFrom() == 0 {
		return
	}
	if raft.IsLocalMsg(message.GetType()) {
		return
	}
	_ = l.node.Step(message) // an error means that the message is outdated or from a voter that raft does not know
}

// Record returns the record after the last entry that this voter has applied.
func (l *Log) Record() configversions.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Leader returns the ID of the leader, as far as this voter knows; 0 if none is known.
func (l *Log) Leader() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// VoterID returns the raft ID of this voter.
func (l *Log) VoterID() uint64 { return l.options.VoterID }

// VoterStatuses returns the leader's view of all voters and learners; nil if this voter does not lead.
func (l *Log) VoterStatuses() []voters.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.voterStatuses)
}
