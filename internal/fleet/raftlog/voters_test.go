package raftlog

import (
	"context"
	"slices"
	"testing"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// changeVoters proposes a change of the voters to the current leader until the record meets a condition, for 10 s at most.
func (c *cluster) changeVoters(change voters.Change, done func(configversions.Record) bool) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		_, leader := c.leader()
		if done(leader.Record()) {
			return
		}
		ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
		err := leader.ChangeVoters(ctx, change)
		stop()
		if time.Now().After(end) {
			c.t.Fatalf("change %+v not applied within 10 s: error %v, voters %+v", change, err, leader.Record().Voters)
		}
	}
}

// hasVoter returns the condition that a record has a voter, or a learner, with an ID.
func hasVoter(id uint64, learner bool) func(configversions.Record) bool {
	return func(record configversions.Record) bool {
		return slices.ContainsFunc(record.Voters, func(voter voters.Voter) bool { return voter.ID == id && voter.Learner == learner })
	}
}

// awaitCaughtUp waits until the leader reports that the learner n4 has all entries, and that another voter has been silent for
// more than a second. It waits for 10 s at most.
func (c *cluster) awaitCaughtUp(learner, silent int) {
	c.t.Helper()
	_, leader := c.leader()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		statuses := leader.VoterStatuses()
		l := slices.IndexFunc(statuses, func(status voters.Status) bool { return status.ID == uint64(learner) })
		s := slices.IndexFunc(statuses, func(status voters.Status) bool { return status.ID == uint64(silent) })
		if l >= 0 && s >= 0 && statuses[l].Learner && statuses[l].Name == "n4" && statuses[l].EntriesBehind == 0 &&
			statuses[l].SilentFor < time.Second && statuses[s].SilentFor > time.Second {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("the learner has not caught up, or the stopped voter is not reported as silent, within 10 s; voters %+v", statuses)
		}
	}
}

// checkUpdateSince checks that a follower that lacks the last entry, an announcement, gets only that entry, and that a follower with
// another epoch gets the whole record.
func checkUpdateSince(t *testing.T, log *Log) {
	t.Helper()
	current := log.Record()
	update := log.UpdateSince(0, current.Revision-1)
	previous := current
	previous.Revision, previous.Announced = current.Revision-1, nil
	if after, err := previous.Apply(update.Entries[0]); len(update.Entries) != 1 || update.Record != nil || err != nil || recordJSON(after) != recordJSON(current) {
		t.Errorf("update since the revision before the last: got %+v, want only the last entry", update)
	}
	if log.UpdateSince(9, current.Revision-1).Record == nil {
		t.Error("a follower with another epoch did not get the whole record")
	}
}

// TestChangeVoters_replaceAndRecover replaces a stopped voter by a learner. After that the group still applies entries when another voter
// stops, and the replaced voter changes nothing when it restarts. Then all voters stop, and a group is recovered from the file of one.
func TestChangeVoters_replaceAndRecover(t *testing.T) {
	group := newCluster(t, 3)
	group.propose(announce(0))
	leaderID, _ := group.leader()
	replaced := leaderID%3 + 1
	group.stop(replaced)
	const newVoterID = 4
	learner := &voters.Voter{ID: newVoterID, Name: "n4", Address: "a4", Learner: true}
	group.changeVoters(voters.Change{AddLearner: learner}, hasVoter(newVoterID, true))
	group.start(newVoterID)
	group.propose(configversions.Entry{ID: "f1", PutInForce: 1})
	group.awaitRevision(group.log(leaderID).Record().Revision, leaderID, newVoterID)
	group.awaitCaughtUp(newVoterID, replaced)
	group.changeVoters(voters.Change{Promote: newVoterID, Remove: uint64(replaced)}, func(r configversions.Record) bool { return hasVoter(newVoterID, false)(r) && len(r.Voters) == 3 })
	other := 6 - leaderID - replaced
	group.stop(other)
	group.start(replaced) // with the votes in its file
	group.propose(announce(1))
	group.awaitRevision(group.log(leaderID).Record().Revision, leaderID, newVoterID)
	checkUpdateSince(t, group.log(leaderID))
	for _, id := range []int{replaced, leaderID, newVoterID} {
		group.stop(id)
	}
	recovered, err := Recover(group.dirs[newVoterID], newVoterID, "n4", "a4")
	if err != nil || recovered.Epoch != 1 || recovered.InForce.Number != 3 || recovered.Announced != nil || len(recovered.Withdrawn) != 1 ||
		len(recovered.Voters) != 1 || recovered.NextVoterID != 5 {
		t.Fatalf("recovered %+v, error %v", recovered, err)
	}
	group.start(newVoterID)
	group.propose(announce(3))
	if record := group.log(newVoterID).Record(); record.Epoch != 1 || record.Announced == nil {
		t.Errorf("after an announcement: got %+v, want epoch 1 and an announced version", record)
	}
}
