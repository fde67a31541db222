package transport

import "time"

// readAheadQueue holds bytes of a connection that were read before their turn, each with the time when it came: a request's time
// counts from its last byte, however long it waits behind another one.
type readAheadQueue struct {
	chunks []readAheadChunk
	size   int
}

type readAheadChunk struct {
	bytes      []byte
	receivedAt time.Time
}

// chunkMergeInterval is how close to each other bytes may come to be kept together.
const chunkMergeInterval = time.Millisecond

// push adds bytes that came now, behind all others.
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

// pushFront puts bytes before all others.
func (q *readAheadQueue) pushFront(b []byte, came time.Time) {
	if len(b) == 0 {
		return
	}
	q.size += len(b)
	q.chunks = append([]readAheadChunk{{append([]byte(nil), b...), came}}, q.chunks...)
}

// pop moves bytes that came together into b, and gives how many and when they came.
func (q *readAheadQueue) pop(b []byte) (n int, came time.Time) {
	first := &q.chunks[0]
	n, came = copy(b, first.bytes), first.receivedAt
	q.size -= n
	if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
		if q.chunks = q.chunks[1:]; len(q.chunks) == 0 {
			q.chunks = nil // its room is free
		}
	}
	return n, came
}
