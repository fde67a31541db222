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

// clientBehavior is how a client behaves with a request.
type clientBehavior int

const (
	plainClient       clientBehavior = iota
	freshConnection                  // on a new connection
	slowWriter                       // writes in pieces
	pipelinedRequests                // writes two at once
	leavesEarly                      // closes soon behind its request
	halfCloses                       // shuts its own side soon behind its request
	stopsHalfway                     // stops in the middle of a request and stays
	sendsGarbage                     // sends what is no request
)

// clientBehaviors weighs them.
var clientBehaviors = []clientBehavior{plainClient, plainClient, plainClient, plainClient, plainClient, plainClient, plainClient, plainClient, freshConnection, freshConnection, slowWriter, pipelinedRequests, leavesEarly, halfCloses, stopsHalfway, sendsGarbage}

const (
	badClientTimeout = 3 * time.Second // a client that stops has its error or its end by then
	extraReadTime    = 2 * time.Second // so much longer than its deadline a client reads on, to record what comes
)

// clientGroup are those of one dispatcher.
type clientGroup struct {
	dispatcher *dispatcherProcess
	record     *Record
	plan       Plan
	rng        *rand.Rand
	requests   sync.WaitGroup

	mu              sync.Mutex
	idle            []*clientConn
	lastNumber      int
	leaveEarlyUntil time.Time // until then all clients leave soon
}

// clientConn is a connection that may carry a further request.
type clientConn struct {
	net.Conn
	reader     *bufio.Reader
	processRun int
	reused     bool
}

// run sends requests until the end.
func (c *clientGroup) run(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(time.Second) / c.plan.Rate))
		life, up := c.dispatcher.current()
		if !up {
			continue
		}
		how := clientBehaviors[c.rng.IntN(len(clientBehaviors))]
		if c.leavesEarlyNow() && how == plainClient {
			how = leavesEarly
		}
		wait := time.Duration(c.rng.IntN(300)) * time.Millisecond
		c.requests.Go(func() { c.send(how, life, wait) })
	}
	c.requests.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
}

func (c *clientGroup) leavesEarlyNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.leaveEarlyUntil)
}

// newRequest makes a newRequest's record and text.
func (c *clientGroup) newRequest(life int) (*Request, []byte) {
	c.mu.Lock()
	c.lastNumber++
	id := fmt.Sprintf("%04x-%d-%d", c.plan.Seed, c.dispatcher.number, c.lastNumber)
	c.mu.Unlock()
	key := ""
	if c.plan.Idempotency == IdempotentWithKey {
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	text := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: %d\r\n%sContent-Length: 7\r\n\r\ndrawing",
		className, id, className, c.plan.Deadline.Milliseconds(), key)
	return &Request{ID: id, Dispatcher: c.dispatcher.number, ProcessRun: life, Deadline: c.plan.Deadline}, []byte(text)
}

// connection gives a connection that rests, or a new one; nil where none comes up.
func (c *clientGroup) connection(life int, anew bool) *clientConn {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !anew {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.dispatcher.listen, time.Second)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), processRun: life}
}

func (c *clientGroup) releaseConnection(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.reused = true
	c.idle = append(c.idle, conn)
}

// send has a client send a request in its manner.
func (c *clientGroup) send(how clientBehavior, l *ProcessRun, wait time.Duration) {
	conn := c.connection(l.Number, how != plainClient && how != pipelinedRequests)
	if conn == nil {
		return
	}
	q, text := c.newRequest(conn.processRun)
	q.ConnectionReused = conn.reused
	switch how {
	case leavesEarly, halfCloses:
		c.writeAndLeave(conn, q, text, how == halfCloses, wait)
	case stopsHalfway, sendsGarbage:
		c.stopHalfway(conn, text, how == sendsGarbage)
	case pipelinedRequests:
		second, more := c.newRequest(conn.processRun)
		second.ConnectionReused = true
		c.write(conn, append(bytes.Clone(text), more...), q, second)
		switch {
		case !c.read(conn, q):
			second.AnsweredAt, second.Error = time.Now(), "the connection ended behind the one before"
			if q.Status == 0 && q.ConnectionReused {
				c.resend(l, q)
			}
			c.resend(l, second)
		case c.read(conn, second):
			c.releaseConnection(conn)
		case second.Status == 0:
			c.resend(l, second)
		}
		c.record.addRequest(second)
	case slowWriter:
		for i := 0; i < len(text)-1; i += 40 {
			if _, err := conn.Write(text[i:min(i+40, len(text)-1)]); err != nil {
				conn.Close()
				return // it was never whole
			}
			time.Sleep(wait / 3)
		}
		c.write(conn, text[len(text)-1:], q)
		c.readAndRelease(conn, q)
	default:
		c.write(conn, text, q)
		if !c.readAndRelease(conn, q) && q.ConnectionReused && q.Status == 0 && len(q.Error) > 0 {
			c.resend(l, q)
		}
	}
	if how != stopsHalfway && how != sendsGarbage {
		c.record.addRequest(q)
	}
}

// resend sends a request once more on a new connection, whose first one was ended before it.
func (c *clientGroup) resend(l *ProcessRun, q *Request) {
	q.Resent = true
	if conn := c.connection(l.Number, true); conn != nil {
		next, text := c.newRequest(conn.processRun)
		c.write(conn, text, next)
		c.readAndRelease(conn, next)
		c.record.addRequest(next)
	}
}

// write writes the last bytes of requests.
func (c *clientGroup) write(conn *clientConn, text []byte, requests ...*Request) {
	_ = conn.SetWriteDeadline(time.Now().Add(c.plan.Deadline))
	_, err := conn.Write(text)
	now := time.Now()
	for _, q := range requests {
		if err == nil {
			q.WrittenAt = now
		}
	}
}

// readAndRelease reads an answer and keeps the connection if it may carry more.
func (c *clientGroup) readAndRelease(conn *clientConn, q *Request) bool {
	ok := c.read(conn, q)
	if ok {
		c.releaseConnection(conn)
	}
	return ok
}

// read reads an answer, and tells whether the connection may carry more.
func (c *clientGroup) read(conn *clientConn, q *Request) bool {
	_ = conn.SetReadDeadline(q.WrittenAt.Add(c.plan.Deadline + extraReadTime))
	resp, err := http.ReadResponse(conn.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	q.AnsweredAt = time.Now()
	if err != nil {
		q.Error = err.Error()
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

// writeAndLeave writes a request and goes.
func (c *clientGroup) writeAndLeave(conn *clientConn, q *Request, text []byte, half bool, wait time.Duration) {
	c.write(conn, text, q)
	time.Sleep(wait)
	q.LeftAt = time.Now()
	if t, ok := conn.Conn.(*net.TCPConn); ok && half {
		_ = t.CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, conn)
	}
	conn.Close()
}

// stopHalfway sends half a request, or what is none, and stays. It is owed an error or an end.
func (c *clientGroup) stopHalfway(conn *clientConn, text []byte, noisy bool) {
	defer conn.Close()
	half := text[:len(text)/2]
	if noisy {
		half = []byte("\x16\x03\x01 no request\r\n\r\n")
	}
	begun := time.Now()
	if _, err := conn.Write(half); err != nil {
		return
	}
	_ = conn.SetReadDeadline(begun.Add(badClientTimeout + time.Second))
	_, err := io.Copy(io.Discard, conn)
	l := conn.processRun
	if late, ok := err.(net.Error); ok && late.Timeout() {
		c.record.addRequest(&Request{ID: fmt.Sprintf("stopper at n%d", c.dispatcher.number), Dispatcher: c.dispatcher.number, ProcessRun: l, WrittenAt: begun,
			Deadline: badClientTimeout - answerSlack, AnsweredAt: time.Now(), Error: "half a request got neither an error nor an end"})
	}
}

// openIdleConnections opens connections that say nothing for a while.
func (c *clientGroup) openIdleConnections(count int, until time.Time) {
	var conns []net.Conn
	for range count {
		if conn, err := net.DialTimeout("tcp", c.dispatcher.listen, 200*time.Millisecond); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(time.Until(until))
	for _, conn := range conns {
		conn.Close()
	}
}

func (c *clientGroup) setLeaveEarly(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveEarlyUntil = t
}
