package routing

import "sync"

// Mailbox is the queue of messages of an actor. Any goroutine may call Post; one goroutine, the owner, receives from Signal and
// calls Take. Post never blocks, so that actors that post to each other cannot deadlock. The queue has no bound of its own: the
// frontends bound it by limiting the requests that they admit.
type Mailbox[T any] struct {
	mu     sync.Mutex
	queue  []T
	spare  []T // the slice that the last Take returned, for reuse
	signal chan struct{}
}

// NewMailbox returns an empty mailbox.
func NewMailbox[T any]() *Mailbox[T] { return &Mailbox[T]{signal: make(chan struct{}, 1)} }

// Post appends a message. It does not block.
func (m *Mailbox[T]) Post(message T) {
	m.mu.Lock()
	m.queue = append(m.queue, message)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// Signal returns the channel on which the owner waits. A receive means that there may be messages.
func (m *Mailbox[T]) Signal() <-chan struct{} { return m.signal }

// Take returns all messages in the order in which they were posted. The slice is valid until the next Take.
func (m *Mailbox[T]) Take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.queue
	clear(m.spare) // so that messages taken before can be garbage-collected
	m.queue, m.spare = m.spare[:0], taken
	return taken
}
