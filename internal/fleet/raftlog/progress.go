package raftlog

import (
	"math"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"

	"brassdale/internal/decisions/voters"
)

// unknownBehind is the number of entries that a voter is said to be behind while it has not answered this leader, however
// short the log is.
const unknownBehind = math.MaxUint64

// checkProgress notes at the leader, once a tick, what raft knows of each voter, and has snapshots sent again that were lost.
func (l *Log) checkProgress() {
	if !l.isLeader {
		return
	}
	lastIndex, _ := l.store.LastIndex() // the storage is in memory and has no error to return
	var statuses []voters.Status
	l.node.WithProgress(func(id uint64, kind raft.ProgressType, progress tracker.Progress) {
		l.countTicks(id, progress)
		statuses = append(statuses, l.voterStatus(id, kind, progress, lastIndex))
	})
	l.retrySnapshots()
	l.publishStatuses(statuses)
}

// countTicks counts for how long a voter has been silent, and a snapshot on its way to it. raft clears RecentActive once in
// an election timeout.
func (l *Log) countTicks(id uint64, progress tracker.Progress) {
	l.silentTicks[id]++
	if progress.RecentActive || id == l.options.VoterID {
		l.silentTicks[id] = 0
	}
	if progress.State == tracker.StateSnapshot {
		l.snapshotTicks[id]++
	} else {
		delete(l.snapshotTicks, id)
	}
}

// voterStatus returns what raft knows of a voter, without its name and place.
func (l *Log) voterStatus(id uint64, kind raft.ProgressType, progress tracker.Progress, lastIndex uint64) voters.Status {
	behind := lastIndex - min(progress.Match, lastIndex)
	if progress.Match == 0 {
		behind = unknownBehind
	}
	return voters.Status{
		Voter:         voters.Voter{ID: id, Learner: kind == raft.ProgressTypeLearner},
		SilentFor:     time.Duration(l.silentTicks[id]) * tickInterval,
		EntriesBehind: behind,
		IsLeader:      id == l.options.VoterID,
	}
}

// retrySnapshots has a snapshot sent again that was not acknowledged for an election timeout. raft sends one, and then
// nothing more to that voter until it is notified how the transfer ended; nobody reports one that the network lost.
func (l *Log) retrySnapshots() {
	for id, ticks := range l.snapshotTicks {
		if ticks < electionTicks {
			continue
		}
		delete(l.snapshotTicks, id)
		l.node.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// publishStatuses completes the statuses with what the record says of the voters, and makes them readable to others.
func (l *Log) publishStatuses(statuses []voters.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range statuses {
		status := &statuses[i]
		known := slices.IndexFunc(l.record.Voters, func(voter voters.Voter) bool { return voter.ID == status.ID })
		if known < 0 {
			continue
		}
		learner := status.Learner
		status.Voter = l.record.Voters[known]
		status.Learner = learner
	}
	l.voterStatuses = statuses
}
