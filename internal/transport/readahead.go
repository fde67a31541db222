package transport

import "time"

// aheadQueue holds bytes of a connection that were read before their turn, each with the time when it came: a request's time
// counts from its last byte, however long it waits behind another one.
type aheadQueue struct {
	chunks []aheadChunk
	size   int
}

type aheadChunk struct {
	bytes []byte
	came  time.Time
}

// sameMoment is how close to each other bytes may come to be kept together.
const sameMoment = time.Millisecond

// push adds bytes that came now, behind all others.
func (q *aheadQueue) push(b []byte, now time.Time) {
	if len(b) == 0 {
		return
	}
	q.size += len(b)
	if n := len(q.chunks); n > 0 && now.Sub(q.chunks[n-1].came) < sameMoment {
		q.chunks[n-1].bytes = append(q.chunks[n-1].bytes, b...)
		return
	}
	q.chunks = append(q.chunks, aheadChunk{append([]byte(nil), b...), now})
}

// putBack puts bytes before all others.
func (q *aheadQueue) putBack(b []byte, came time.Time) {
	if len(b) == 0 {
		return
	}
	q.size += len(b)
	q.chunks = append([]aheadChunk{{append([]byte(nil), b...), came}}, q.chunks...)
}

// take moves bytes that came together into b, and gives how many and when they came.
func (q *aheadQueue) take(b []byte) (n int, came time.Time) {
	first := &q.chunks[0]
	n, came = copy(b, first.bytes), first.came
	q.size -= n
	if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
		if q.chunks = q.chunks[1:]; len(q.chunks) == 0 {
			q.chunks = nil // its room is free
		}
	}
	return n, came
}
