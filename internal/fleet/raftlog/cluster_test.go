package raftlog

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// cluster is a raft group in one process. Its network drops the messages that a test selects. mu guards all fields below it.
type cluster struct {
	t             *testing.T
	founders      int
	dirs          []string
	mu            sync.Mutex
	logs          []*Log // by voter ID; nil while the voter is down
	stops         []context.CancelFunc
	results       []chan error // returned by Run
	drop          func(from, to int) bool
	dropSnapshots int // number of further snapshots to drop, to any voter
}

const voterIDLimit = 8 // all voter IDs are below it

// founders returns the first n voters, with IDs from 1.
func founders(n int) (all []voters.Voter) {
	for i := range n {
		all = append(all, voters.Voter{ID: uint64(i + 1), Address: fmt.Sprint("a", i+1)})
	}
	return all
}

// newCluster starts a cluster of n founders, and stops it at the end of the test.
func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{t: t, founders: n, logs: make([]*Log, voterIDLimit), stops: make([]context.CancelFunc, voterIDLimit), results: make([]chan error, voterIDLimit),
		dirs: make([]string, voterIDLimit), drop: func(int, int) bool { return false }}
	for id := 1; id < voterIDLimit; id++ {
		if c.dirs[id] = t.TempDir(); id <= n {
			c.start(id)
		}
	}
	t.Cleanup(func() {
		for id := 1; id < voterIDLimit; id++ {
			c.stop(id)
		}
	})
	return c
}

// start opens and runs a voter with the file in its directory.
func (c *cluster) start(id int) {
	c.t.Helper()
	var founderList []voters.Voter
	if id <= c.founders {
		founderList = founders(c.founders)
	}
	log, err := Open(Options{VoterID: uint64(id), Founders: founderList, Directory: c.dirs[id], RecordChanged: func(configversions.Record) {}, LeadershipChanged: func(bool) {},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), SnapshotEvery: 30, Send: func(receiver uint64, message []byte) {
			to := int(receiver)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.dropSnapshots > 0 {
				var sent raftpb.Message
				if proto.Unmarshal(message, &sent) == nil && sent.GetType() == raftpb.MsgSnap {
					c.dropSnapshots--
					return
				}
			}
			if to < len(c.logs) && c.logs[to] != nil && c.logs[id] != nil && !c.drop(id, to) {
				c.logs[to].Step(message)
			}
		}})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	c.mu.Lock()
	c.logs[id], c.stops[id], c.results[id] = log, stop, result
	c.mu.Unlock()
	go func() { result <- log.Run(ctx) }()
}

// stop stops a voter and waits until Run has returned; it does nothing if the voter is down.
func (c *cluster) stop(id int) {
	c.t.Helper()
	c.mu.Lock()
	log, stop, result := c.logs[id], c.stops[id], c.results[id]
	c.logs[id] = nil
	c.mu.Unlock()
	if log == nil {
		return
	}
	stop()
	if err := <-result; err != nil {
		c.t.Errorf("voter %d: %v", id, err)
	}
}

// dropMessages sets which messages the network drops from now on.
func (c *cluster) dropMessages(drop func(from, to int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop = drop
}

// log returns the log of a voter; nil while the voter is down.
func (c *cluster) log(id int) *Log {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logs[id]
}

// leader waits until a majority confirms a leader, 10 s at most, and returns its voter ID and its log.
func (c *cluster) leader() (int, *Log) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for id := range c.logs {
			if log := c.log(id); log != nil {
				ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(300*time.Millisecond))
				err := log.Confirm(ctx)
				stop()
				if err == nil {
					return id, log
				}
			}
		}
	}
	c.t.Fatal("no leader was confirmed within 10 s")
	return 0, nil
}

// propose proposes an entry to the current leader until the entry is applied, for 10 s at most.
func (c *cluster) propose(entry configversions.Entry) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		_, leader := c.leader()
		ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
		err := leader.Propose(ctx, entry)
		stop()
		if err == nil {
			return
		}
		if _, again := leader.Record().Apply(entry); again != nil && leader.Record().Revision > 0 {
			return // it was applied, but the result was lost
		}
	}
	c.t.Fatalf("entry %s was not applied within 10 s", entry.ID)
}

// awaitRevision waits until the given voters have applied a revision, 10 s at most, and checks that voters at the same revision have the
// same record.
func (c *cluster) awaitRevision(revision uint64, ids ...int) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		all := true
		for _, id := range ids {
			all = all && c.log(id).Record().Revision >= revision
		}
		if all {
			for _, id := range ids {
				if a, b := recordJSON(c.log(id).Record()), recordJSON(c.log(ids[0]).Record()); a != b && c.log(id).Record().Revision == c.log(ids[0]).Record().Revision {
					c.t.Errorf("records differ at the same revision: voter %d has %s, voter %d has %s", id, a, ids[0], b)
				}
			}
			return
		}
	}
	c.t.Fatalf("revision %d was not applied within 10 s by all of the voters %v", revision, ids)
}

// recordJSON returns a record as JSON, for comparison and failure messages.
func recordJSON(record configversions.Record) string {
	text, _ := json.Marshal(record) // a record can always be encoded
	return string(text)
}

// announce returns an entry that announces the version after base.
func announce(base uint64) configversions.Entry {
	return configversions.Entry{ID: fmt.Sprint("a", base), Announce: &configversions.Version{Number: base, Rules: configversions.Rules{RetryRatio: 0.1, RetriesAllowed: true}}}
}
