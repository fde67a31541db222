package raftlog

import (
	"math"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"

	"brassdale/internal/decisions/voters"
)

// unknownEntriesBehind is the lag of a voter that has not answered this leader yet, regardless of how short the log is.
const unknownEntriesBehind = math.MaxUint64

// checkProgress runs at the leader once per tick: it publishes raft's view of each voter and retries lost snapshots.
func (l *Log) checkProgress() {
	if !l.isLeader {
		return
	}
	lastIndex, _ := l.store.LastIndex() // the memory storage returns no error
	var statuses []voters.Status
	l.node.WithProgress(func(id uint64, kind raft.ProgressType, progress tracker.Progress) {
		l.countTicks(id, progress)
		statuses = append(statuses, l.voterStatus(id, kind, progress, lastIndex))
	})
	l.retrySnapshots()
	l.publishStatuses(statuses)
}

// countTicks counts the ticks since a voter's last message, and the ticks since a snapshot was sent to it. raft clears
// RecentActive once per election timeout.
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

// voterStatus returns raft's view of a voter, without its name, address, region and zone.
func (l *Log) voterStatus(id uint64, kind raft.ProgressType, progress tracker.Progress, lastIndex uint64) voters.Status {
	entriesBehind := lastIndex - min(progress.Match, lastIndex)
	if progress.Match == 0 {
		entriesBehind = unknownEntriesBehind
	}
	return voters.Status{
		Voter:         voters.Voter{ID: id, Learner: kind == raft.ProgressTypeLearner},
		SilentFor:     time.Duration(l.silentTicks[id]) * tickInterval,
		EntriesBehind: entriesBehind,
		IsLeader:      id == l.options.VoterID,
	}
}

// retrySnapshots makes raft resend each snapshot that was not acknowledged within an election timeout. Once raft has sent a
// snapshot to a voter, it sends that voter nothing more until the result of the transfer is reported, and nobody reports a
// snapshot that the network lost.
func (l *Log) retrySnapshots() {
	for id, ticks := range l.snapshotTicks {
		if ticks < electionTicks {
			continue
		}
		delete(l.snapshotTicks, id)
		l.node.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// publishStatuses adds the voters' data in the record to the statuses, and stores them for VoterStatuses.
func (l *Log) publishStatuses(statuses []voters.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range statuses {
		status := &statuses[i]
		index := slices.IndexFunc(l.record.Voters, func(voter voters.Voter) bool { return voter.ID == status.ID })
		if index < 0 {
			continue
		}
		learner := status.Learner
		status.Voter = l.record.Voters[index]
		status.Learner = learner
	}
	l.voterStatuses = statuses
}
