package main

import (
	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// entry is a worker as the simulator lists it. The field names are the simulator's keys.
type entry struct {
	Pod         int
	Machine     int
	RegionPart  int
	Worker      string
	Status      string
	Weight      float64
	OnlineSince protocol.Micros
}

// message holds the fields of every event; each event uses a few. The field names are the simulator's keys.
type message struct {
	Time         protocol.Micros
	DispatcherID *int `json:"dispatcherId"`
	InitSeed     uint64
	Params       protocol.Settings
	Ref          uint64
	NodesList    []entry
	Form         string
	Handle       uint64
	Qos          int
	Subject      uint64
	Expires      protocol.Micros
	Effort       protocol.Micros
	Width        float64
	Bitmap       int
	Worker       string
	SeqNo        int
	Verdict      string
	Final        bool
	Stats        []float64
	Topic        int
	X            float64
}

const (
	hintValid    = 1 // bit of message.Bitmap: message.Effort is valid
	topicStarted = 1 // message.Topic of an interim event: the attempt has started to run
)

// The simulator's codes and their values in package scheduler.
var (
	outcomes = map[string]scheduler.Outcome{
		"S": scheduler.Served, "E": scheduler.Errored, "F": scheduler.Full, "T": scheduler.TimedOut,
		"C": scheduler.NoConnect, "R": scheduler.Reset, "X": scheduler.Cancelled, "N": scheduler.NeverSent,
	}
	listKinds = map[string]scheduler.ListKind{
		"INCREMENTAL": scheduler.ListDelta, "FULL": scheduler.ListFull, "SAVED": scheduler.ListCached, "FAILED": scheduler.ListFailed,
	}
	states = map[string]scheduler.WorkerState{"live": scheduler.Ready, "quiescing": scheduler.Draining, "dead": scheduler.Gone}
)

// The bodies of the actions that are written to the simulator.
type (
	forward struct {
		DispatcherID int    `json:"dispatcherId"`
		Handle       uint64 `json:"handle"`
		Worker       string `json:"worker"`
	}
	abort struct {
		DispatcherID int    `json:"dispatcherId"`
		Handle       uint64 `json:"handle"`
		SeqNo        int    `json:"seqNo"`
	}
	busy struct {
		DispatcherID int    `json:"dispatcherId"`
		Handle       uint64 `json:"handle"`
		RetryAfter   int64  `json:"retryAfter,omitempty"`
	}
	endFailed struct {
		DispatcherID int    `json:"dispatcherId"`
		Handle       uint64 `json:"handle"`
	}
	workerAction struct {
		DispatcherID int    `json:"dispatcherId"`
		Worker       string `json:"worker"`
	}
	track struct {
		DispatcherID int  `json:"dispatcherId"`
		Active       bool `json:"active"`
	}
	wakeAt struct {
		DispatcherID int    `json:"dispatcherId"`
		Ref          uint64 `json:"ref"`
		Span         int64  `json:"span"`
	}
	sayLog struct {
		DispatcherID int    `json:"dispatcherId"`
		What         string `json:"what"`
	}
)
