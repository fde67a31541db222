package fleet

import (
	"context"
	"encoding/binary"
	"errors"
)

// maxBatch is the largest number of raft messages in one call, of raft messages queued for a voter, and of lease requests in one
// call to the leader.
const maxBatch = 256

// maxBatchBytes is the size at which a batch is sent even if more messages are queued.
const maxBatchBytes = maxBodyBytes / 2

// raftPeer queues the raft messages to another voter, in order. It may be used from any goroutine.
type raftPeer struct{ queue chan []byte }

func newRaftPeer() *raftPeer { return &raftPeer{queue: make(chan []byte, maxBatch)} }

// enqueue queues a message. It does not block: if the queue is full, the message is dropped, and raft sends it again.
func (p *raftPeer) enqueue(message []byte) {
	select {
	case p.queue <- message:
	default:
	}
}

// nextBatch waits for a message and returns all queued messages, up to the limits of a batch. It returns false when the context
// ends.
func (p *raftPeer) nextBatch(ctx context.Context) (batch []byte, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case message := <-p.queue:
		batch = appendMessage(batch, message)
	}
	for n := 1; n < maxBatch && len(p.queue) > 0 && len(batch) < maxBatchBytes; n++ {
		batch = appendMessage(batch, <-p.queue)
	}
	return batch, true
}

// appendMessage appends a message to a batch: its length as four bytes, big endian, then its bytes.
func appendMessage(batch, message []byte) []byte {
	batch = binary.BigEndian.AppendUint32(batch, uint32(len(message)))
	return append(batch, message...)
}

var errIncompleteBatch = errors.New("batch of raft messages is truncated")

// splitBatch returns the messages of a batch.
func splitBatch(batch []byte) (messages [][]byte, err error) {
	for len(batch) > 0 {
		if len(batch) < 4 {
			return nil, errIncompleteBatch
		}
		length := binary.BigEndian.Uint32(batch)
		batch = batch[4:]
		if uint64(length) > uint64(len(batch)) {
			return nil, errIncompleteBatch
		}
		messages = append(messages, batch[:length:length])
		batch = batch[length:]
	}
	return messages, nil
}
