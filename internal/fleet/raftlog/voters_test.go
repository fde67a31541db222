package raftlog

import (
	"context"
	"slices"
	"testing"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// changeVoters proposes a change of the voters to the leader until the record meets a condition, 10 s at most, whichever voter leads.
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

// hasVoter returns the condition that a record has a voter, or a learner, of an ID.
func hasVoter(id uint64, learner bool) func(configversions.Record) bool {
	return func(record configversions.Record) bool {
		return slices.ContainsFunc(record.Voters, func(voter voters.Voter) bool { return voter.ID == id && voter.Learner == learner })
	}
}

// awaitCaughtUp waits until the leader reports that the learner n4 has all entries, and that another voter has been silent for a second;
// 10 s at most.
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
			c.t.Fatalf("not within 10 s; voters %+v", statuses)
		}
	}
}

// checkUpdateSince checks that a follower that lacks the last entry, an announcement, gets that entry, and one of another epoch
// the whole record.
func checkUpdateSince(t *testing.T, log *Log) {
	t.Helper()
	now := log.Record()
	update := log.UpdateSince(0, now.Revision-1)
	before := now
	before.Revision, before.Announced = now.Revision-1, nil
	if after, err := before.Apply(update.Entries[0]); len(update.Entries) != 1 || update.Record != nil || err != nil || text(after) != text(now) {
		t.Errorf("update since the last revision but one: %+v", update)
	}
	if log.UpdateSince(9, now.Revision-1).Record == nil {
		t.Error("entries of another epoch were returned")
	}
}

// TestChangeVoters_replaceAndRecover replaces a stopped voter by a learner, after which the group survives the loss of another one; the
// replaced voter restarts and changes nothing. Then all voters stop, and a group is recovered from the file of one.
func TestChangeVoters_replaceAndRecover(t *testing.T) {
	group := newCluster(t, 3)
	group.propose(announce(0))
	lead, _ := group.leader()
	replaced := lead%3 + 1
	group.stop(replaced)
	const fresh = 4
	learner := &voters.Voter{ID: fresh, Name: "n4", Address: "a4", Learner: true}
	group.changeVoters(voters.Change{AddLearner: learner}, hasVoter(fresh, true))
	group.start(fresh)
	group.propose(configversions.Entry{ID: "f1", PutInForce: 1})
	group.awaitRevision(group.log(lead).Record().Revision, lead, fresh)
	group.awaitCaughtUp(fresh, replaced)
	group.changeVoters(voters.Change{Promote: fresh, Remove: uint64(replaced)}, func(r configversions.Record) bool { return hasVoter(fresh, false)(r) && len(r.Voters) == 3 })
	other := 6 - lead - replaced
	group.stop(other)
	group.start(replaced) // with the votes in its file
	group.propose(announce(1))
	group.awaitRevision(group.log(lead).Record().Revision, lead, fresh)
	checkUpdateSince(t, group.log(lead))
	for _, id := range []int{replaced, lead, fresh} {
		group.stop(id)
	}
	recovered, err := Recover(group.dirs[fresh], fresh, "n4", "a4")
	if err != nil || recovered.Epoch != 1 || recovered.InForce.Number != 3 || recovered.Announced != nil || len(recovered.Withdrawn) != 1 ||
		len(recovered.Voters) != 1 || recovered.NextVoterID != 5 {
		t.Fatalf("recovered %+v, error %v", recovered, err)
	}
	group.start(fresh)
	group.propose(announce(3))
	if record := group.log(fresh).Record(); record.Epoch != 1 || record.Announced == nil {
		t.Errorf("after an announcement: %+v", record)
	}
}
