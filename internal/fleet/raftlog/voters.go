package raftlog

import (
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/voters"
)

// proposeChange proposes a change of the voters, or starts a transfer of the leadership.
func (l *Log) proposeChange(change *voters.Change) error {
	if change.TransferLeadership > 0 {
		l.node.TransferLeader(change.TransferLeadership)
		return nil
	}
	if l.inJointConfiguration() {
		return ErrVoterChangeInProgress
	}
	confChange, err := newConfChange(change)
	if err != nil {
		return err
	}
	return l.node.ProposeConfChange(confChange)
}

// inJointConfiguration reports whether a change of several voters is applied but not completed, in raft's joint consensus.
func (l *Log) inJointConfiguration() bool {
	return l.confState.GetAutoLeave() || len(l.confState.GetVotersOutgoing()) > 0
}

// newConfChange converts a change to raft's type. Its context contains the added voter, because raft itself knows only IDs.
func newConfChange(change *voters.Change) (*raftpb.ConfChangeV2, error) {
	confChange := &raftpb.ConfChangeV2{}
	add := func(kind raftpb.ConfChangeType, id uint64) {
		single := &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(id)}
		confChange.Changes = append(confChange.Changes, single)
	}
	if change.AddLearner != nil {
		encoded, err := json.Marshal(change.AddLearner)
		if err != nil {
			return nil, err
		}
		confChange.Context = encoded
		add(raftpb.ConfChangeAddLearnerNode, change.AddLearner.ID)
	}
	if change.Promote > 0 {
		add(raftpb.ConfChangeAddNode, change.Promote)
	}
	if change.Remove > 0 {
		add(raftpb.ConfChangeRemoveNode, change.Remove)
	}
	return confChange, nil
}

// votersOf returns the voters and learners of the current configuration. Their names and addresses come from the record, or for
// an added voter from the context of the change that was just applied.
func (l *Log) votersOf(changeContext []byte) []voters.Voter {
	l.mu.Lock()
	known := slices.Clone(l.record.Voters)
	l.mu.Unlock()
	var added voters.Voter
	if len(changeContext) > 0 && json.Unmarshal(changeContext, &added) == nil {
		known = append(known, added)
	}
	current := []voters.Voter{}
	add := func(ids []uint64, learner bool) {
		for _, id := range ids {
			hasID := func(voter voters.Voter) bool { return voter.ID == id }
			i := slices.IndexFunc(known, hasID)
			if i < 0 || slices.ContainsFunc(current, hasID) {
				continue
			}
			voter := known[i]
			voter.Learner = learner
			current = append(current, voter)
		}
	}
	add(l.confState.GetVoters(), false)
	add(l.confState.GetVotersOutgoing(), false)
	add(l.confState.GetLearners(), true)
	add(l.confState.GetLearnersNext(), true)
	return current
}
