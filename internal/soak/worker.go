package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// worker is the stand-in for a worker. Each dispatcher reaches it at an address of its own, from which the worker knows the sender.
type worker struct {
	number int
	record *Record
	slots  chan struct{}

	ports []*reservedPort // by dispatcher: where it listens

	restarting sync.Mutex // locked while it is ended and started again

	unready atomic.Bool // discovery does not list it as active: probes are answered 503

	mu             sync.Mutex
	random         *rand.Rand
	listeners      []net.Listener
	connections    map[net.Conn]bool
	hangsUntil     time.Time // until then its started jobs send nothing more
	resetsUntil    time.Time // until then it resets connections that carry jobs
	readsLateUntil time.Time // until then it reads late from new connections
}

// newWorker starts a worker that the dispatchers of a plan can reach.
func newWorker(number int, plan Plan, record *Record) (*worker, error) {
	started := &worker{number: number, record: record, random: rand.New(rand.NewPCG(plan.Seed, uint64(number))),
		slots: make(chan struct{}, workerSlots), connections: map[net.Conn]bool{}}
	for range plan.Dispatchers {
		port, err := reservePort()
		if err != nil {
			return nil, err
		}
		started.ports = append(started.ports, port)
	}
	return started, started.start()
}

// cellCount is the number of cells that workers belong to.
const cellCount = 2

// cell returns the worker's cell.
func (w *worker) cell() int { return w.number % cellCount }

// address returns where a dispatcher reaches the worker.
func (w *worker) address(dispatcher int) string { return w.ports[dispatcher].address }

// draw returns a random number in [0, 1).
func (w *worker) draw() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

// maxLateRead is the longest delay before a worker with the fault WorkerReadsLate reads from a new connection.
const maxLateRead = time.Second

// start listens at the worker's addresses, which stay the same over restarts.
func (w *worker) start() error {
	for i, port := range w.ports {
		listener, err := port.listen()
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.listeners = append(w.listeners, listener)
		w.mu.Unlock()
		go w.accept(listener, i)
	}
	return nil
}

// stop ends the worker as if its process had died: connections are reset.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, listener := range w.listeners {
		_ = listener.Close() // if this fails, so does the restart at the same address
	}
	w.listeners = nil
	for conn := range w.connections {
		resetConn(conn)
	}
}

// resetConn closes a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close() // the reset is intended
}

// injectFault makes the worker show a fault until a time.
func (w *worker) injectFault(kind EventKind, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch kind {
	case WorkerHangs:
		w.hangsUntil = until
	case WorkerResets:
		w.resetsUntil = until
	case WorkerReadsLate:
		w.readsLateUntil = until
	}
}

// hasFault reports whether a fault still lasts. The parameter until points to the field with the fault's end, which is read under the lock.
func (w *worker) hasFault(until *time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(*until)
}

// accept serves the connections of a dispatcher.
func (w *worker) accept(listener net.Listener, dispatcher int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.connections[conn] = true
		w.mu.Unlock()
		go func() {
			pause := time.Duration(0)
			if w.hasFault(&w.readsLateUntil) {
				pause = time.Duration(w.draw() * float64(maxLateRead))
			}
			w.serve(conn, dispatcher, pause)
			_ = conn.Close() // serve has read all that it needs
			w.mu.Lock()
			delete(w.connections, conn)
			w.mu.Unlock()
		}()
	}
}

// firstByte is the time at which the first byte of a request was received, or the reason why none was received.
type firstByte struct {
	at  time.Time
	err error
}

// awaitByte returns a channel that gets the time of the next byte, which is not consumed.
func awaitByte(reader *bufio.Reader) <-chan firstByte {
	next := make(chan firstByte, 1)
	go func() {
		_, err := reader.Peek(1)
		next <- firstByte{time.Now(), err}
	}()
	return next
}

// serve serves a connection, one request at a time. It reads the first one after a pause.
func (w *worker) serve(conn net.Conn, dispatcher int, pause time.Duration) {
	reader := bufio.NewReader(conn)
	for next := awaitByte(reader); ; pause = 0 {
		first := <-next
		time.Sleep(pause)
		if first.err != nil {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		last := time.Now().Add(-pause)
		next = awaitByte(reader)
		if request.URL.Path == "/stats" && w.unready.Load() {
			fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if request.URL.Path == "/stats" {
			free := cap(w.slots) - len(w.slots)
			text := fmt.Sprintf("util=%.2f,queue=0,x0=%d,x1=5", float64(len(w.slots))/float64(cap(w.slots)), free)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		remaining, _ := strconv.Atoi(request.Header.Get("Req-Deadline-Ms"))
		attempt := &Attempt{ID: request.Header.Get("Req-Id"), Key: request.Header.Get("Idempotency-Key"), Dispatcher: dispatcher, Worker: w.number, Cell: w.cell(), FirstByteAt: first.at, LastByteAt: last,
			Timeout: time.Duration(remaining) * time.Millisecond, MayHaveExecuted: true}
		w.record.addAttempt(attempt)
		if !w.runJob(conn, attempt, next, pause > 0) {
			return
		}
	}
}

// sendMessage sends a message of a job's response, with further JSON members.
func (w *worker) sendMessage(conn net.Conn, attempt *Attempt, members string) {
	line := fmt.Sprintf("{\"id\":%q,\"from\":\"w%d\",%s}\n", attempt.ID, w.number, members)
	fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line)
}

// runJob runs a job, and reports whether its connection may carry another. If a job that was read late is cancelled, the time of the
// cancellation is unknown. The job then counts as cancelled at once.
func (w *worker) runJob(conn net.Conn, attempt *Attempt, next <-chan firstByte, late bool) bool {
	recordEnd := func(result string) {
		w.record.locked(func() {
			if attempt.EndedAt, attempt.Result = time.Now(), result; late && result == "" {
				attempt.EndedAt = attempt.LastByteAt
			}
		})
	}
	markBroken := func() { w.record.locked(func() { attempt.Broken = true }) }
	cancel := func(next firstByte) bool {
		if errors.Is(next.err, net.ErrClosed) || w.hasFault(&w.hangsUntil) { // closed by stop rather than by the dispatcher, or the dispatcher gave up on a hung job
			markBroken()
		}
		recordEnd("")
		return false
	}
	if w.hasFault(&w.resetsUntil) {
		resetConn(conn)
		markBroken()
		recordEnd("")
		return false
	}
	select {
	case w.slots <- struct{}{}:
	case first := <-next: // cancelled while it waited for a slot
		return cancel(first)
	}
	defer func() { <-w.slots }()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	w.sendMessage(conn, attempt, `"state":"started"`)
	jobDuration := shortestJob + time.Duration(w.draw()*float64(jobTime))
	for {
		select {
		case first := <-next: // cancelled
			return cancel(first)
		case <-time.After(jobDuration):
		}
		if !w.hasFault(&w.hangsUntil) {
			break
		}
	}
	result := fmt.Sprintf("%s by w%d", attempt.ID, w.number)
	recordEnd(result) // recorded before it is sent, so that no client records it earlier
	w.sendMessage(conn, attempt, fmt.Sprintf(`"state":"done","result":%q`, result))
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		markBroken()
		return false
	}
	return true // the next byte belongs to the next request
}
