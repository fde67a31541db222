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

// cluster is a raft group in one process, with a network between its voters that drops what a test says. mu guards all fields
// below it.
type cluster struct {
	t             *testing.T
	founders      int
	dirs          []string
	mu            sync.Mutex
	logs          []*Log // by voter ID; nil while the voter is down
	stops         []context.CancelFunc
	ends          []chan error
	drop          func(from, to int) bool
	dropSnapshots int // the next ones, to any voter
}

const voterIDLimit = 8 // all voter IDs are below it

func founders(n int) (all []voters.Voter) {
	for i := range n {
		all = append(all, voters.Voter{ID: uint64(i + 1), Address: fmt.Sprint("a", i+1)})
	}
	return all
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, founders: n, logs: make([]*Log, voterIDLimit), stops: make([]context.CancelFunc, voterIDLimit), ends: make([]chan error, voterIDLimit),
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

func (c *cluster) start(id int) {
	c.t.Helper()
	var first []voters.Voter
	if id <= c.founders {
		first = founders(c.founders)
	}
	log, err := Open(Options{VoterID: uint64(id), Founders: first, Directory: c.dirs[id], RecordChanged: func(configversions.Record) {}, LeadershipChanged: func(bool) {},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), SnapshotEvery: 30, Send: func(receiver uint64, m []byte) {
			to := int(receiver)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.dropSnapshots > 0 {
				var sent raftpb.Message
				if proto.Unmarshal(m, &sent) == nil && sent.GetType() == raftpb.MsgSnap {
					c.dropSnapshots--
					return
				}
			}
			if to < len(c.logs) && c.logs[to] != nil && c.logs[id] != nil && !c.drop(id, to) {
				c.logs[to].Step(m)
			}
		}})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	end := make(chan error, 1)
	c.mu.Lock()
	c.logs[id], c.stops[id], c.ends[id] = log, stop, end
	c.mu.Unlock()
	go func() { end <- log.Run(ctx) }()
}

// stop ends a voter.
func (c *cluster) stop(id int) {
	c.mu.Lock()
	l, stop, end := c.logs[id], c.stops[id], c.ends[id]
	c.logs[id] = nil
	c.mu.Unlock()
	if l == nil {
		return
	}
	stop()
	if err := <-end; err != nil {
		c.t.Errorf("voter %d: %v", id, err)
	}
}

func (c *cluster) dropMessages(drop func(from, to int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop = drop
}

func (c *cluster) log(id int) *Log {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logs[id]
}

// leader waits until a majority confirms a leader, and returns it.
func (c *cluster) leader() (int, *Log) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for id := range c.logs {
			if l := c.log(id); l != nil {
				ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(300*time.Millisecond))
				err := l.Confirm(ctx)
				stop()
				if err == nil {
					return id, l
				}
			}
		}
	}
	c.t.Fatal("no leader was confirmed")
	return 0, nil
}

// propose has an entry applied, whichever voter leads.
func (c *cluster) propose(e configversions.Entry) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		_, l := c.leader()
		ctx, stop := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
		err := l.Propose(ctx, e)
		stop()
		if err == nil {
			return
		}
		if _, again := l.Record().Apply(e); again != nil && l.Record().Revision > 0 {
			return // it was applied, though the result was lost
		}
	}
	c.t.Fatal("the entry was never applied")
}

func (c *cluster) awaitRevision(revision uint64, ids ...int) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		all := true
		for _, id := range ids {
			all = all && c.log(id).Record().Revision >= revision
		}
		if all {
			for _, id := range ids {
				if a, b := text(c.log(id).Record()), text(c.log(ids[0]).Record()); a != b && c.log(id).Record().Revision == c.log(ids[0]).Record().Revision {
					c.t.Errorf("voter %d has %s, voter %d has %s", id, a, ids[0], b)
				}
			}
			return
		}
	}
	c.t.Fatalf("revision %d was never applied at all of the voters %v", revision, ids)
}

func text(r configversions.Record) string {
	text, _ := json.Marshal(r)
	return string(text)
}

func announce(base uint64) configversions.Entry {
	return configversions.Entry{ID: fmt.Sprint("a", base), Announce: &configversions.Version{Number: base, Rules: configversions.Rules{RetryRatio: 0.1, RetriesAllowed: true}}}
}
