package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"brassdale/internal/decisions/voters"
	"brassdale/internal/fleet/raftlog"
	"brassdale/internal/traffic"
)

// raftSender sends raft messages to the other voters, with a goroutine for each voter. mu guards peers.
type raftSender struct {
	agent *Agent

	mu    sync.Mutex
	peers map[uint64]*raftPeer // by voter ID
}

// send queues a message to another voter. The goroutine of log.Run calls it; it does not block. For the first message to a voter
// it starts a goroutine, which runs until the context ends.
func (s *raftSender) send(ctx context.Context, log *raftlog.Log, to uint64, message []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.peers[to]
	if peer == nil {
		peer = newRaftPeer()
		s.peers[to] = peer
		go s.sendBatches(ctx, log, to, peer)
	}
	peer.enqueue(message)
}

// sendBatches sends the messages queued for a voter, one call at a time. raft sends lost messages again.
func (s *raftSender) sendBatches(ctx context.Context, log *raftlog.Log, to uint64, peer *raftPeer) {
	for {
		batch, ok := peer.nextBatch(ctx)
		if !ok {
			return
		}
		address, epoch, ok := s.agent.addressOfVoter(log, to)
		if !ok {
			continue // the addressee is no longer a voter
		}
		s.agent.countCall()
		url := s.agent.url(address, fmt.Sprintf("messages?era=%d", epoch))
		metered := s.agent.options.Meter.Call(ctx, traffic.Raft)
		status, text, err := Call(metered, s.agent.client, url, batch, time.Now().Add(callTimeout))
		if err != nil || status != http.StatusGone {
			continue
		}
		var got response
		if json.Unmarshal(text, &got) == nil && got.Epoch > epoch {
			s.agent.leaveOldRaftGroup(got.Epoch)
			return
		}
	}
}

// addressOfVoter returns the address of a voter, and the epoch of the record that contains it. It uses the newer of two records:
// the one in the own voter's log and the one that this dispatcher knows. The log of a voter that has just joined is empty, but
// the voter must answer the leader, which may not be a founder.
func (a *Agent) addressOfVoter(log *raftlog.Log, id uint64) (address string, epoch uint64, ok bool) {
	record := log.Record()
	a.mu.Lock()
	if known := a.lessee.Record(); known.NewerThan(record) {
		record = known
	}
	a.mu.Unlock()
	group := record.Voters
	if len(group) == 0 {
		group = a.settings.founders()
	}
	i := slices.IndexFunc(group, func(voter voters.Voter) bool { return voter.ID == id })
	if i < 0 {
		return "", 0, false
	}
	return group[i].Address, record.Epoch, true
}
