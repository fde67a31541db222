package soak

import (
	"bufio"
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

// worker is the stand-in for a worker. Each dispatcher reaches it at an address of its own.
type worker struct {
	number int
	record *Record
	slots  chan struct{}

	unready atomic.Bool // discovery does not list it as active: it answers probes with 503

	mu             sync.Mutex
	addresses      []string // by dispatcher
	listeners      []net.Listener
	connections    map[net.Conn]bool
	hangsUntil     time.Time // until then it says nothing more of its jobs
	resetsUntil    time.Time // until then it breaks connections under jobs
	readsLateUntil time.Time // until then it takes a while to read from new connections
}

func newWorker(number, dispatchers int, r *Record) (*worker, error) {
	w := &worker{number: number, record: r, slots: make(chan struct{}, workerSlots), addresses: make([]string, dispatchers), connections: map[net.Conn]bool{}}
	for i := range w.addresses {
		w.addresses[i] = "127.0.0.1:0"
	}
	return w, w.start()
}

// cellCount is how many cellCount there are.
const cellCount = 2

func (w *worker) cell() int { return w.number % cellCount }

func (w *worker) address(dispatcher int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addresses[dispatcher]
}

// start listens at its addresses, the same ones each time.
func (w *worker) start() error {
	for i := range w.addresses {
		l, err := net.Listen("tcp", w.address(i))
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.addresses[i] = l.Addr().String()
		w.listeners = append(w.listeners, l)
		w.mu.Unlock()
		go w.accept(l, i)
	}
	return nil
}

// stop ends it as a process that dies: its connections are reset.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.listeners {
		l.Close()
	}
	w.listeners = nil
	for c := range w.connections {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// injectFault sets until when something is wrong with it.
func (w *worker) injectFault(kind Kind, until time.Time) {
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

func (w *worker) hasFault(until *time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(*until)
}

func (w *worker) accept(l net.Listener, dispatcher int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.connections[c] = true
		w.mu.Unlock()
		go func() {
			pause := time.Duration(0)
			if w.hasFault(&w.readsLateUntil) {
				pause = time.Duration(rand.IntN(1000)) * time.Millisecond
			}
			w.serve(c, dispatcher, pause)
			c.Close()
			w.mu.Lock()
			delete(w.connections, c)
			w.mu.Unlock()
		}()
	}
}

// firstByte is when the first byte of a request firstByte, or why none did.
type firstByte struct {
	at  time.Time
	err error
}

// awaitByte waits for the next byte beside who calls it.
func awaitByte(in *bufio.Reader) <-chan firstByte {
	next := make(chan firstByte, 1)
	go func() {
		_, err := in.Peek(1)
		next <- firstByte{time.Now(), err}
	}()
	return next
}

// serve serves a connection, one request at a time, the first behind a pause.
func (w *worker) serve(c net.Conn, dispatcher int, pause time.Duration) {
	in := bufio.NewReader(c)
	for next := awaitByte(in); ; pause = 0 {
		first := <-next
		time.Sleep(pause)
		if first.err != nil {
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		last := time.Now().Add(-pause)
		next = awaitByte(in)
		if r.URL.Path == "/stats" && w.unready.Load() {
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if r.URL.Path == "/stats" {
			free := cap(w.slots) - len(w.slots)
			text := fmt.Sprintf("util=%.2f,queue=0,x0=%d,x1=5", float64(len(w.slots))/float64(cap(w.slots)), free)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		left, _ := strconv.Atoi(r.Header.Get("Req-Deadline-Ms"))
		a := &Attempt{ID: r.Header.Get("Req-Id"), Dispatcher: dispatcher, Worker: w.number, Cell: w.cell(), FirstByteAt: first.at, LastByteAt: last,
			Timeout: time.Duration(left) * time.Millisecond, MayHaveExecuted: true}
		w.record.addAttempt(a)
		if !w.runJob(c, a, next, pause > 0) {
			return
		}
	}
}

// runJob does a job, and tells whether its connection may carry a further one. Of a job that was read late nobody knows when it was
// given up: it counts as given up at once.
func (w *worker) runJob(c net.Conn, a *Attempt, next <-chan firstByte, late bool) bool {
	end := func(result string) {
		w.record.locked(func() {
			if a.EndedAt, a.Result = time.Now(), result; late && result == "" {
				a.EndedAt = a.LastByteAt
			}
		})
	}
	if w.hasFault(&w.resetsUntil) {
		resetConn(c)
		end("")
		return false
	}
	select {
	case w.slots <- struct{}{}:
	case <-next: // given up while it waited
		end("")
		return false
	}
	defer func() { <-w.slots }()
	say := func(text string) {
		line := fmt.Sprintf("{\"id\":%q,\"from\":\"w%d\",%s}\n", a.ID, w.number, text)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(line), line)
	}
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	say(`"state":"started"`)
	takes := time.Duration((0.5 + rand.Float64()) * float64(jobTime))
	for {
		select {
		case <-next: // given up
			end("")
			return false
		case <-time.After(takes):
		}
		if !w.hasFault(&w.hangsUntil) {
			break
		}
	}
	result := fmt.Sprintf("%s by w%d", a.ID, w.number)
	end(result) // first: the client's record must not have it before
	say(fmt.Sprintf(`"state":"done","result":%q`, result))
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		return false
	}
	return true // the byte that is awaited belongs to the next request
}
