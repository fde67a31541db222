package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// manner is how a client behaves with a request.
type manner int

const (
	plain     manner = iota
	fresh            // on a new connection
	slow             // writes in pieces
	pipelined        // writes two at once
	leaver           // closes soon behind its request
	halfLeave        // shuts its own side soon behind its request
	stopper          // stops in the middle of a request and stays
	noise            // sends what is no request
)

// manners weighs them.
var manners = []manner{plain, plain, plain, plain, plain, plain, plain, plain, fresh, fresh, slow, pipelined, leaver, halfLeave, stopper, noise}

const (
	stopperWithin = 3 * time.Second // a client that stops has its error or its end by then
	patience      = 2 * time.Second // so much longer than its deadline a client reads on, to record what comes
)

// clients are those of one dispatcher.
type clients struct {
	d      *dispatcher
	record *Record
	plan   Plan
	rng    *rand.Rand
	wait   sync.WaitGroup

	mu      sync.Mutex
	idle    []*clientConn
	number  int
	leaving time.Time // until then all clients leave soon
}

// clientConn is a connection that may carry a further request.
type clientConn struct {
	net.Conn
	in   *bufio.Reader
	life int
	used bool
}

// run sends requests until the end.
func (c *clients) run(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(time.Second) / c.plan.Rate))
		life, up := c.d.current()
		if !up {
			continue
		}
		how := manners[c.rng.IntN(len(manners))]
		if c.leaveNow() && how == plain {
			how = leaver
		}
		wait := time.Duration(c.rng.IntN(300)) * time.Millisecond
		c.wait.Go(func() { c.send(how, life, wait) })
	}
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
}

func (c *clients) leaveNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.leaving)
}

// request makes a request's record and text.
func (c *clients) request(life int) (*Request, []byte) {
	c.mu.Lock()
	c.number++
	id := fmt.Sprintf("%04x-%d-%d", c.plan.Seed, c.d.number, c.number)
	c.mu.Unlock()
	key := ""
	if c.plan.Effect == Keyed {
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	text := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: %d\r\n%sContent-Length: 7\r\n\r\ndrawing",
		class, id, class, c.plan.Deadline.Milliseconds(), key)
	return &Request{ID: id, Dispatcher: c.d.number, Life: life, Deadline: c.plan.Deadline}, []byte(text)
}

// take gives a connection that rests, or a new one; nil where none comes up.
func (c *clients) take(life int, anew bool) *clientConn {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !anew {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.d.listen, time.Second)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn), life: life}
}

func (c *clients) rest(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.used = true
	c.idle = append(c.idle, conn)
}

// send has a client send a request in its manner.
func (c *clients) send(how manner, l *Life, wait time.Duration) {
	conn := c.take(l.Number, how != plain && how != pipelined)
	if conn == nil {
		return
	}
	q, text := c.request(conn.life)
	q.Reused = conn.used
	switch how {
	case leaver, halfLeave:
		c.leave(conn, q, text, how == halfLeave, wait)
	case stopper, noise:
		c.stop(conn, text, how == noise)
	case pipelined:
		second, more := c.request(conn.life)
		second.Reused = true
		c.write(conn, append(bytes.Clone(text), more...), q, second)
		switch {
		case !c.read(conn, q):
			second.Answered, second.Why = time.Now(), "the connection ended behind the one before"
			if q.Status == 0 && q.Reused {
				c.again(l, q)
			}
			c.again(l, second)
		case c.read(conn, second):
			c.rest(conn)
		case second.Status == 0:
			c.again(l, second)
		}
		c.record.request(second)
	case slow:
		for i := 0; i < len(text)-1; i += 40 {
			if _, err := conn.Write(text[i:min(i+40, len(text)-1)]); err != nil {
				conn.Close()
				return // it was never whole
			}
			time.Sleep(wait / 3)
		}
		c.write(conn, text[len(text)-1:], q)
		c.readOn(conn, q)
	default:
		c.write(conn, text, q)
		if !c.readOn(conn, q) && q.Reused && q.Status == 0 && len(q.Why) > 0 {
			c.again(l, q)
		}
	}
	if how != stopper && how != noise {
		c.record.request(q)
	}
}

// again sends a request once more on a new connection, whose first one was ended before it.
func (c *clients) again(l *Life, q *Request) {
	q.Resent = true
	if conn := c.take(l.Number, true); conn != nil {
		next, text := c.request(conn.life)
		c.write(conn, text, next)
		c.readOn(conn, next)
		c.record.request(next)
	}
}

// write writes the last bytes of requests.
func (c *clients) write(conn *clientConn, text []byte, requests ...*Request) {
	_ = conn.SetWriteDeadline(time.Now().Add(c.plan.Deadline))
	_, err := conn.Write(text)
	now := time.Now()
	for _, q := range requests {
		if err == nil {
			q.Written = now
		}
	}
}

// readOn reads an answer and keeps the connection if it may carry more.
func (c *clients) readOn(conn *clientConn, q *Request) bool {
	ok := c.read(conn, q)
	if ok {
		c.rest(conn)
	}
	return ok
}

// read reads an answer, and tells whether the connection may carry more.
func (c *clients) read(conn *clientConn, q *Request) bool {
	_ = conn.SetReadDeadline(q.Written.Add(c.plan.Deadline + patience))
	resp, err := http.ReadResponse(conn.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	q.Answered = time.Now()
	if err != nil {
		q.Why = err.Error()
		conn.Close()
		return false
	}
	q.Status, q.Result = resp.StatusCode, string(body)
	if resp.Close {
		conn.Close()
		return false
	}
	return true
}

// leave writes a request and goes.
func (c *clients) leave(conn *clientConn, q *Request, text []byte, half bool, wait time.Duration) {
	c.write(conn, text, q)
	time.Sleep(wait)
	q.Left = time.Now()
	if t, ok := conn.Conn.(*net.TCPConn); ok && half {
		_ = t.CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, conn)
	}
	conn.Close()
}

// stop sends half a request, or what is none, and stays. It is owed an error or an end.
func (c *clients) stop(conn *clientConn, text []byte, noisy bool) {
	defer conn.Close()
	half := text[:len(text)/2]
	if noisy {
		half = []byte("\x16\x03\x01 no request\r\n\r\n")
	}
	begun := time.Now()
	if _, err := conn.Write(half); err != nil {
		return
	}
	_ = conn.SetReadDeadline(begun.Add(stopperWithin + time.Second))
	_, err := io.Copy(io.Discard, conn)
	l := conn.life
	if late, ok := err.(net.Error); ok && late.Timeout() {
		c.record.request(&Request{ID: fmt.Sprintf("stopper at n%d", c.d.number), Dispatcher: c.d.number, Life: l, Written: begun,
			Deadline: stopperWithin - answerSlack, Answered: time.Now(), Why: "half a request got neither an error nor an end"})
	}
}

// crowd opens connections that say nothing for a while.
func (c *clients) crowd(count int, until time.Time) {
	var conns []net.Conn
	for range count {
		if conn, err := net.DialTimeout("tcp", c.d.listen, 200*time.Millisecond); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(time.Until(until))
	for _, conn := range conns {
		conn.Close()
	}
}

func (c *clients) leaveUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = t
}
