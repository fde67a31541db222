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

	mu        sync.Mutex
	ports     []string // by dispatcher
	listeners []net.Listener
	conns     map[net.Conn]bool
	hangs     time.Time // until then it says nothing more of its jobs
	resets    time.Time // until then it breaks connections under jobs
	late      time.Time // until then it takes a while to read from new connections
}

func newWorker(number, dispatchers int, r *Record) (*worker, error) {
	w := &worker{number: number, record: r, slots: make(chan struct{}, workerSlots), ports: make([]string, dispatchers), conns: map[net.Conn]bool{}}
	for i := range w.ports {
		w.ports[i] = "127.0.0.1:0"
	}
	return w, w.start()
}

// cells is how many cells there are.
const cells = 2

func (w *worker) cell() int { return w.number % cells }

func (w *worker) address(dispatcher int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ports[dispatcher]
}

// start listens at its addresses, the same ones each time.
func (w *worker) start() error {
	for i := range w.ports {
		l, err := net.Listen("tcp", w.address(i))
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.ports[i] = l.Addr().String()
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
	for c := range w.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// trouble sets until when something is wrong with it.
func (w *worker) trouble(kind Kind, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch kind {
	case WorkerHangs:
		w.hangs = until
	case WorkerResets:
		w.resets = until
	case WorkerLate:
		w.late = until
	}
}

func (w *worker) troubled(until *time.Time) bool {
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
		w.conns[c] = true
		w.mu.Unlock()
		go func() {
			pause := time.Duration(0)
			if w.troubled(&w.late) {
				pause = time.Duration(rand.IntN(1000)) * time.Millisecond
			}
			w.serve(c, dispatcher, pause)
			c.Close()
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
		}()
	}
}

// came is when the first byte of a request came, or why none did.
type came struct {
	at  time.Time
	err error
}

// await waits for the next byte beside who calls it.
func await(in *bufio.Reader) <-chan came {
	next := make(chan came, 1)
	go func() {
		_, err := in.Peek(1)
		next <- came{time.Now(), err}
	}()
	return next
}

// serve serves a connection, one request at a time, the first behind a pause.
func (w *worker) serve(c net.Conn, dispatcher int, pause time.Duration) {
	in := bufio.NewReader(c)
	for next := await(in); ; pause = 0 {
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
		next = await(in)
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
		a := &Attempt{ID: r.Header.Get("Req-Id"), Dispatcher: dispatcher, Worker: w.number, Cell: w.cell(), First: first.at, Last: last,
			Told: time.Duration(left) * time.Millisecond, Ran: true}
		w.record.attempt(a)
		if !w.work(c, a, next, pause > 0) {
			return
		}
	}
}

// work does a job, and tells whether its connection may carry a further one. Of a job that was read late nobody knows when it was
// given up: it counts as given up at once.
func (w *worker) work(c net.Conn, a *Attempt, next <-chan came, late bool) bool {
	end := func(result string) {
		w.record.add(func() {
			if a.Ended, a.Result = time.Now(), result; late && result == "" {
				a.Ended = a.Last
			}
		})
	}
	if w.troubled(&w.resets) {
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
		if !w.troubled(&w.hangs) {
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
