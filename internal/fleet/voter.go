package fleet

import (
	"context"
	"os"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/fleet/raftlog"
)

const (
	voterCheckInterval = 100 * time.Millisecond
	voterRetryInterval = time.Second // after a failed start of the voter
)

// Reasons for which this dispatcher is no longer a voter.
const (
	reasonShutdown  = ""
	reasonReplaced  = "replaced"
	reasonNewerRaft = "newer raft group"
)

// ownVoter is this dispatcher's voter. It ends when cancel is called or the disk fails. After a disk failure it remains the
// dispatcher's voter, without taking part in the raft group, until another dispatcher replaces it.
type ownVoter struct {
	log    *raftlog.Log
	relay  *leaderRelay
	sender *raftSender
	cancel context.CancelFunc
	ended  chan struct{} // closed when log.Run has returned and its file is closed
}

// id returns the voter's ID; 0 if v is nil.
func (v *ownVoter) id() uint64 {
	if v == nil {
		return 0
	}
	return v.log.VoterID()
}

// updateSince is Log.UpdateSince, except that a whole record is without its history, which dispatchers do not need.
func (v *ownVoter) updateSince(epoch, revision uint64) raftlog.Update {
	update := v.log.UpdateSince(epoch, revision)
	if update.Record != nil {
		brief := update.Record.WithoutHistory()
		update.Record = &brief
	}
	return update
}

// currentVoter returns this dispatcher's voter; nil for a follower.
func (a *Agent) currentVoter() *ownVoter {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.voter
}

// manageVoter starts this dispatcher's voter when the record lists the dispatcher as a voter or, if the record lists no voters,
// when the settings make it a founder. It stops the voter when the voter has been replaced or the context ends.
func (a *Agent) manageVoter(ctx context.Context) {
	defer a.stopVoter(reasonShutdown)
	for ; ctx.Err() == nil; sleep(ctx, voterCheckInterval) {
		a.mu.Lock()
		record := a.lessee.Record()
		own := a.voter
		a.mu.Unlock()
		if own != nil {
			if replaced(own, record) {
				a.stopVoter(reasonReplaced)
			}
			continue
		}
		if err := a.startVoter(ctx, record); err != nil && ctx.Err() == nil {
			a.log.Warn("voter not started", "err", err)
			sleep(ctx, voterRetryInterval)
		}
	}
}

// replaced reports whether a voter has been removed from the raft group: by the record that its dispatcher knows, if that is newer
// than the voter's own log, or by the log itself, if this voter was still running when its removal was committed.
func replaced(own *ownVoter, record configversions.Record) bool {
	logged := own.log.Record()
	_, inRecord := record.Voter(own.id())
	_, inLog := logged.Voter(own.id())
	switch {
	case record.Epoch > logged.Epoch:
		return true
	case len(record.Voters) > 0 && !inRecord && record.NewerThan(logged):
		return true
	}
	return len(logged.Voters) > 0 && !inLog
}

// startVoter starts this dispatcher's voter if the record lists the dispatcher as one or, without voters in the record, if the
// settings make it a founder.
func (a *Agent) startVoter(ctx context.Context, record configversions.Record) error {
	founderID := uint64(a.settings.VoterID)
	if len(record.Voters) > 0 {
		assigned := a.assignedVoter(record)
		if assigned.ID == 0 {
			return nil
		}
		if assigned.ID != founderID || record.Epoch > 0 {
			return a.rejoin(ctx, assigned)
		}
	}
	if founderID == 0 {
		return nil
	}
	return a.startFounder(ctx, founderID)
}

// assignedVoter returns the voter that a record assigns to this dispatcher; a voter with ID 0 if it assigns none. While a voter
// that lost its file is replaced by the same dispatcher, the record has two voters of that dispatcher; the one with the higher ID
// counts.
func (a *Agent) assignedVoter(record configversions.Record) (assigned voters.Voter) {
	for _, voter := range record.Voters {
		if voter.Address != a.address() || voter.Name != "" && voter.Name != a.options.Name {
			continue
		}
		if voter.ID > assigned.ID {
			assigned = voter
		}
	}
	return assigned
}

// rejoin runs a voter that is not a founder, or a voter of a recovered group. A voter that has lost its file has lost its votes,
// so it must not start again under its ID. A learner may start without a file.
func (a *Agent) rejoin(ctx context.Context, voter voters.Voter) error {
	_, err := os.Stat(raftlog.Path(a.settings.Directory, voter.ID))
	if err != nil && !voter.Learner {
		return nil
	}
	return a.runVoter(ctx, voter.ID, nil)
}

// runVoter opens a voter's log and runs it. founders is nil for a voter that is not a founder. The goroutines that it starts end
// when the context ends or stopVoter is called.
func (a *Agent) runVoter(ctx context.Context, id uint64, founders []voters.Voter) error {
	ctx, cancel := context.WithCancel(ctx)
	own := &ownVoter{
		relay:  newLeaderRelay(),
		sender: &raftSender{agent: a, peers: map[uint64]*raftPeer{}},
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	log, err := raftlog.Open(raftlog.Options{
		VoterID:           id,
		Founders:          founders,
		Directory:         a.settings.Directory,
		Send:              func(to uint64, message []byte) { own.sender.send(ctx, own.log, to, message) },
		RecordChanged:     a.logApplied,
		LeadershipChanged: a.leadershipChanged,
		Log:               a.log,
	})
	if err != nil {
		cancel()
		return err
	}
	own.log = log
	a.mu.Lock()
	a.voter = own
	a.mu.Unlock()
	// internal/scale reads this line (raftstate.go).
	a.log.Info("became voter", "voter_id", id)
	go a.relayRequests(ctx, own)
	go func() {
		defer close(own.ended)
		if err := log.Run(ctx); err != nil && ctx.Err() == nil {
			a.log.Error("voter stopped, continuing as follower", "err", err)
		}
	}()
	return nil
}

// stopVoter stops this dispatcher's voter and waits until it has ended. Except at a shutdown it also removes the voter's file,
// because a voter ID is never used a second time.
func (a *Agent) stopVoter(reason string) {
	a.mu.Lock()
	own := a.voter
	a.voter = nil
	a.leadership = nil
	a.mu.Unlock()
	if own == nil {
		return
	}
	own.cancel()
	<-own.ended
	if reason == reasonShutdown {
		return
	}
	// internal/scale reads this line (raftstate.go).
	a.log.Info("no longer a voter", "voter_id", own.id(), "reason", reason)
	if err := os.Remove(raftlog.Path(a.settings.Directory, own.id())); err != nil {
		a.log.Warn("voter file not removed", "err", err)
	}
}

// logApplied applies a record that results from the voter's log. The goroutine of Log.Run calls it; it does not block.
func (a *Agent) logApplied(record configversions.Record) {
	a.mu.Lock()
	a.lessee.ApplyRecord(record)
	a.applyStateLocked()
	close(a.recordChanged)
	a.recordChanged = make(chan struct{})
	a.mu.Unlock()
	wake(a.stateChanged)
	wake(a.renewNow)
}

// leaveOldRaftGroup stops this dispatcher's voter and removes its file, because the fleet has a raft group of a higher epoch,
// recovered from one voter. It does not wait until the voter has ended: checkRequest calls it with a.mu held, and stopVoter locks
// a.mu.
func (a *Agent) leaveOldRaftGroup(epoch uint64) {
	a.log.Warn("newer raft group found", "epoch", epoch)
	go a.stopVoter(reasonNewerRaft)
}
