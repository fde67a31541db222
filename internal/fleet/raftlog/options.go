package raftlog

import (
	"log/slog"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// Options configure a voter. The callbacks are called by the goroutine of Run and must not block.
type Options struct {
	// VoterID is the raft ID of this voter, from 1.
	VoterID uint64
	// Founders are the voters that founded the raft group; all of them have the same list. It is nil for a voter that joins
	// later, which starts with an empty log and receives everything from the leader.
	Founders []voters.Voter
	// Directory is where the voter's file is.
	Directory string
	// Send sends an encoded raft message to another voter. It may drop messages: raft sends lost ones again.
	Send func(to uint64, message []byte)
	// RecordChanged is called with the new record after each entry or snapshot that changed it.
	RecordChanged func(configversions.Record)
	// LeadershipChanged is called when this voter becomes the leader and when it stops being the leader.
	LeadershipChanged func(leads bool)
	// Log receives the warnings and errors of raft.
	Log *slog.Logger
	// SnapshotEvery is the number of applied entries between two snapshots; 0 means defaultSnapshotEvery.
	SnapshotEvery uint64
}

// defaultSnapshotEvery is the number of applied entries between two snapshots if the options set none.
const defaultSnapshotEvery = 512
