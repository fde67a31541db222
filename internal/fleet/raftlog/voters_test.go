package raftlog

import (
	"context"
	"slices"
	"testing"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// changeVoters has a change of the voters proposed until the record shows it, whichever voter leads.
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
			c.t.Fatalf("%+v: %v, %+v", change, err, leader.Record().Voters)
		}
	}
}

// has returns a condition: the record has a voter, or a learner, of that ID.
func has(id uint64, learner bool) func(configversions.Record) bool {
	return func(record configversions.Record) bool {
		return slices.ContainsFunc(record.Voters, func(voter voters.Voter) bool { return voter.ID == id && voter.Learner == learner })
	}
}

// awaitCaughtUp waits until the leader sees that the learner n4 has all entries, and that another voter is silent.
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
			c.t.Fatalf("%+v", statuses)
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
		t.Errorf("%+v", update)
	}
	if log.UpdateSince(9, now.Revision-1).Record == nil {
		t.Error("entries of another epoch were returned")
	}
}

// TestChangeVoters_replaceAndRecover replaces a voter that is gone for good by a learner, after which the group survives the
// loss of another one; the replaced voter comes back and changes nothing. Then all but one are gone, and a group is recovered
// from the file of that one.
func TestChangeVoters_replaceAndRecover(t *testing.T) {
	group := newCluster(t, 3)
	group.propose(announce(0))
	lead, _ := group.leader()
	gone := lead%3 + 1
	group.stop(gone)
	const fresh = 4
	learner := &voters.Voter{ID: fresh, Name: "n4", Address: "a4", Learner: true}
	group.changeVoters(voters.Change{AddLearner: learner}, has(fresh, true))
	group.start(fresh)
	group.propose(configversions.Entry{ID: "f1", PutInForce: 1})
	group.awaitRevision(group.log(lead).Record().Revision, lead, fresh)
	group.awaitCaughtUp(fresh, gone)
	group.changeVoters(voters.Change{Promote: fresh, Remove: uint64(gone)}, func(r configversions.Record) bool { return has(fresh, false)(r) && len(r.Voters) == 3 })
	other := 6 - lead - gone
	group.stop(other)
	group.start(gone) // with the votes on its file
	group.propose(announce(1))
	group.awaitRevision(group.log(lead).Record().Revision, lead, fresh)
	checkUpdateSince(t, group.log(lead))
	for _, id := range []int{gone, lead, fresh} {
		group.stop(id)
	}
	r, err := Recover(group.dirs[fresh], fresh, "n4", "a4")
	if err != nil || r.Epoch != 1 || r.InForce.Number != 3 || r.Announced != nil || len(r.Withdrawn) != 1 || len(r.Voters) != 1 || r.NextVoterID != 5 {
		t.Fatalf("%v, %+v", err, r)
	}
	group.start(fresh)
	group.propose(announce(3))
	if r := group.log(fresh).Record(); r.Epoch != 1 || r.Announced == nil {
		t.Errorf("%+v", r)
	}
}
