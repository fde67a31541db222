// Package routing is the core of the dispatcher. It knows requests, outbound calls and outcomes, and no
// wire: what a request holds passes through unread, and fronts and endpoints are interfaces here.
package routing

import "sync"

// Mailbox is an actor's queue. Post never blocks, so no actor waits for another one and none can
// deadlock. What it holds is bounded by the requests that the fronts let in.
type Mailbox[T any] struct {
	mu     sync.Mutex
	queue  []T
	spare  []T
	signal chan struct{}
}

// NewMailbox makes an empty mailbox.
func NewMailbox[T any]() *Mailbox[T] { return &Mailbox[T]{signal: make(chan struct{}, 1)} }

// Post adds a message.
func (m *Mailbox[T]) Post(v T) {
	m.mu.Lock()
	m.queue = append(m.queue, v)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// Signal tells the owner that there may be messages.
func (m *Mailbox[T]) Signal() <-chan struct{} { return m.signal }

// Take gives all messages in order. They are valid until the next Take.
func (m *Mailbox[T]) Take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.queue
	clear(m.spare) // hold on to nothing that was taken before
	m.queue, m.spare = m.spare[:0], taken
	return taken
}
