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
	// Founders are the voters that the raft group was founded with, the same list at each of them. It is nil for a voter
	// that joined later: that one starts with an empty log and learns everything from the leader.
	Founders []voters.Voter
	// Directory is where the voter's file is.
	Directory string
	// Send sends an encoded raft message to another voter. It may drop messages: raft sends again what is lost.
	Send func(to uint64, message []byte)
	// RecordChanged is called with the new record after each entry or snapshot that changed it.
	RecordChanged func(configversions.Record)
	// LeadershipChanged is called when this voter becomes the leader and when it no longer is.
	LeadershipChanged func(leads bool)
	// Log receives the warnings and errors of raft.
	Log *slog.Logger
	// SnapshotEvery is the number of applied entries between two snapshots; 0 stands for defaultSnapshotEvery.
	SnapshotEvery uint64
}

// defaultSnapshotEvery is the number of applied entries between two snapshots where the options name none.
const defaultSnapshotEvery = 512
