package transport

import "time"

// readAheadQueue queues bytes of a connection that were read after an unanswered request, each with the time at which it was
// received: the deadline of a request counts from its last byte, regardless of how long the request waits for earlier answers.
// It is owned by the goroutine that reads the connection.
type readAheadQueue struct {
	chunks []readAheadChunk // in the order of the bytes; none is empty
	size   int              // bytes in all chunks
}

// readAheadChunk holds bytes that were received within chunkMergeInterval.
type readAheadChunk struct {
	bytes      []byte
	receivedAt time.Time // of the first of them
}

// chunkMergeInterval is the time within which bytes count as received together.
const chunkMergeInterval = time.Millisecond

// push appends a copy of bytes that were received now.
func (q *readAheadQueue) push(b []byte, now time.Time) {
	if len(b) == 0 {
		return
	}
	q.size += len(b)
	if n := len(q.chunks); n > 0 && now.Sub(q.chunks[n-1].receivedAt) < chunkMergeInterval {
		q.chunks[n-1].bytes = append(q.chunks[n-1].bytes, b...)
		return
	}
	q.chunks = append(q.chunks, readAheadChunk{append([]byte(nil), b...), now})
}

// pushFront puts a copy of bytes before all others.
func (q *readAheadQueue) pushFront(b []byte, receivedAt time.Time) {
	if len(b) == 0 {
		return
	}
	q.size += len(b)
	q.chunks = append([]readAheadChunk{{append([]byte(nil), b...), receivedAt}}, q.chunks...)
}

// pop moves bytes of the first chunk into b, and returns how many and when they were received. The queue must not be empty.
func (q *readAheadQueue) pop(b []byte) (n int, receivedAt time.Time) {
	first := &q.chunks[0]
	n, receivedAt = copy(b, first.bytes), first.receivedAt
	q.size -= n
	if first.bytes = first.bytes[n:]; len(first.bytes) > 0 {
		return n, receivedAt
	}
	if q.chunks = q.chunks[1:]; len(q.chunks) == 0 {
		q.chunks = nil // frees the array
	}
	return n, receivedAt
}
