package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// clientBehavior is how a client sends a request and takes its answer.
type clientBehavior int

const (
	plainClient       clientBehavior = iota
	freshConnection                  // on a new connection
	slowWriter                       // writes a request in pieces
	pipelinedRequests                // writes two requests at once
	leavesEarly                      // closes soon after its request
	halfCloses                       // closes its sending side soon after its request
	stopsHalfway                     // stops in the middle of a request and stays connected
	sendsGarbage                     // sends bytes that are not a request
)

// clientBehaviors has the behaviors to draw from. Each entry has the same probability, so a repeated behavior is more frequent.
var clientBehaviors = []clientBehavior{plainClient, plainClient, plainClient, plainClient, plainClient, plainClient, plainClient, plainClient, freshConnection, freshConnection, slowWriter, pipelinedRequests, leavesEarly, halfCloses, stopsHalfway, sendsGarbage}

const (
	badClientTimeout      = 3 * time.Second // a client that stops halfway must get an error or a close within this time
	readTimeAfterDeadline = 2 * time.Second // a client reads for this long after its deadline, to record a late answer
)

// clientGroup is the clients of one dispatcher.
type clientGroup struct {
	dispatcher *dispatcherProcess
	record     *Record
	plan       Plan
	rng        *rand.Rand
	requests   sync.WaitGroup

	mu              sync.Mutex
	idle            []*clientConn
	lastNumber      int
	leaveEarlyUntil time.Time // until then all clients leave early
}

// clientConn is a client's connection, which may carry several requests.
type clientConn struct {
	net.Conn
	reader     *bufio.Reader
	processRun int
	reused     bool
}

// run sends requests until the end, or until the context ends, and waits for their answers.
func (c *clientGroup) run(ctx context.Context, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(time.Second) / c.plan.Rate))
		processRun, up := c.dispatcher.current()
		if !up {
			continue
		}
		behavior := clientBehaviors[c.rng.IntN(len(clientBehaviors))]
		if c.leavesEarlyNow() && behavior == plainClient {
			behavior = leavesEarly
		}
		wait := time.Duration(c.rng.IntN(300)) * time.Millisecond
		c.requests.Go(func() { c.send(behavior, processRun, wait) })
	}
	c.requests.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close() // its outcome is recorded already
	}
}

// leavesEarlyNow reports whether clients leave early now.
func (c *clientGroup) leavesEarlyNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.leaveEarlyUntil)
}

// newRequest returns the record and the text of a new request.
func (c *clientGroup) newRequest(processRun int) (*Request, []byte) {
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
	return &Request{ID: id, Dispatcher: c.dispatcher.number, ProcessRun: processRun, Deadline: c.plan.Deadline}, []byte(text)
}

// newConnectionWindow is how long after SIGTERM clients still open connections to a process. By the protocol page, the load balancer sends new
// connections for 0.2 to 0.4 s. Open connections stay in use.
const newConnectionWindow = 500 * time.Millisecond

// connection returns an idle connection. If there is none, or if the parameter fresh is set, it returns a new connection. It returns nil if
// no connection can be established, or if the load balancer no longer sends new connections to the process.
func (c *clientGroup) connection(processRun int, fresh bool) *clientConn {
	c.mu.Lock()
	if idle := len(c.idle); idle > 0 && !fresh {
		conn := c.idle[idle-1]
		c.idle = c.idle[:idle-1]
		c.mu.Unlock()
		return conn
	}
	c.mu.Unlock()
	if c.dispatcher.timeSinceSIGTERM() > newConnectionWindow {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.dispatcher.listen, time.Second)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), processRun: processRun}
}

// releaseConnection adds a connection to the idle ones.
func (c *clientGroup) releaseConnection(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.reused = true
	c.idle = append(c.idle, conn)
}

// send sends a request in the manner of a behavior and records the outcome.
func (c *clientGroup) send(behavior clientBehavior, run *ProcessRun, wait time.Duration) {
	conn := c.connection(run.Number, behavior != plainClient && behavior != pipelinedRequests)
	if conn == nil {
		return
	}
	request, text := c.newRequest(conn.processRun)
	request.ConnectionReused = conn.reused
	switch behavior {
	case leavesEarly, halfCloses:
		c.writeAndLeave(conn, request, text, behavior == halfCloses, wait)
	case stopsHalfway, sendsGarbage:
		c.stopHalfway(conn, text, behavior == sendsGarbage)
	case pipelinedRequests:
		if c.sendPipelined(conn, run, request, text) {
			c.releaseConnection(conn)
		}
	case slowWriter:
		for i := 0; i < len(text)-1; i += 40 {
			if _, err := conn.Write(text[i:min(i+40, len(text)-1)]); err != nil {
				_ = conn.Close()
				return // the request was never complete
			}
			time.Sleep(wait / 3)
		}
		c.write(conn, text[len(text)-1:], request)
		c.readAndRelease(conn, request)
	default:
		if c.sendPlain(conn, run, request, text) {
			c.releaseConnection(conn)
		}
	}
	if behavior != stopsHalfway && behavior != sendsGarbage {
		c.record.addRequest(request)
	}
}

// sendPlain sends a request, and reports whether the connection may carry another. If the connection was reused and the request gets no answer,
// the request is sent again.
func (c *clientGroup) sendPlain(conn *clientConn, run *ProcessRun, request *Request, text []byte) bool {
	c.write(conn, text, request)
	if c.read(conn, request) {
		return true
	}
	if request.ConnectionReused && request.Status == 0 && len(request.Error) > 0 {
		c.resend(run, request)
	}
	return false
}

// sendPipelined sends a request together with a second one, records the second, and reports whether the connection may carry another.
func (c *clientGroup) sendPipelined(conn *clientConn, run *ProcessRun, request *Request, text []byte) bool {
	second, secondText := c.newRequest(conn.processRun)
	defer c.record.addRequest(second)
	second.ConnectionReused = true
	c.write(conn, append(bytes.Clone(text), secondText...), request, second)
	switch {
	case !c.read(conn, request):
		second.AnsweredAt, second.Error = time.Now(), "connection closed during or after the first of two pipelined requests"
		if request.Status == 0 && request.ConnectionReused {
			c.resend(run, request)
		}
		c.resend(run, second)
	case c.read(conn, second):
		return true
	case second.Status == 0:
		c.resend(run, second)
	}
	return false
}

// resend repeats a request that got no answer, with another ID and on a new connection. The earlier connection may have been closed before
// the request was read.
func (c *clientGroup) resend(run *ProcessRun, request *Request) {
	request.Resent = true
	if conn := c.connection(run.Number, true); conn != nil {
		next, text := c.newRequest(conn.processRun)
		c.write(conn, text, next)
		c.readAndRelease(conn, next)
		c.record.addRequest(next)
	}
}

// write writes the last bytes of requests, and records the time if that succeeded.
func (c *clientGroup) write(conn *clientConn, text []byte, requests ...*Request) {
	_ = conn.SetWriteDeadline(time.Now().Add(c.plan.Deadline))
	_, err := conn.Write(text)
	now := time.Now()
	for _, request := range requests {
		if err == nil {
			request.WrittenAt = now
		}
	}
}

// readAndRelease reads an answer, and makes the connection idle if it may carry another request.
func (c *clientGroup) readAndRelease(conn *clientConn, request *Request) {
	if c.read(conn, request) {
		c.releaseConnection(conn)
	}
}

// read reads and records an answer, and reports whether the connection may carry another request.
func (c *clientGroup) read(conn *clientConn, request *Request) bool {
	_ = conn.SetReadDeadline(request.WrittenAt.Add(c.plan.Deadline + readTimeAfterDeadline))
	resp, err := http.ReadResponse(conn.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	request.AnsweredAt = time.Now()
	if err != nil {
		request.Error = err.Error()
		_ = conn.Close() // its outcome is recorded already
		return false
	}
	request.Status, request.Result = resp.StatusCode, string(body)
	if resp.Close {
		_ = conn.Close() // its outcome is recorded already
		return false
	}
	return true
}

// writeAndLeave writes a request, and closes the connection after the duration wait. If the parameter half is set, it first closes only the
// sending side.
func (c *clientGroup) writeAndLeave(conn *clientConn, request *Request, text []byte, half bool, wait time.Duration) {
	c.write(conn, text, request)
	time.Sleep(wait)
	request.LeftAt = time.Now()
	if tcp, ok := conn.Conn.(*net.TCPConn); ok && half {
		_ = tcp.CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, conn)
	}
	_ = conn.Close() // the client leaves
}

// stopHalfway sends half a request, or garbage, and stays connected. The dispatcher must send an error or
// close the connection within badClientTimeout.
func (c *clientGroup) stopHalfway(conn *clientConn, text []byte, garbage bool) {
	defer func() { _ = conn.Close() }()
	half := text[:len(text)/2]
	if garbage {
		half = []byte("\x16\x03\x01 no request\r\n\r\n")
	}
	begun := time.Now()
	if _, err := conn.Write(half); err != nil {
		return
	}
	_ = conn.SetReadDeadline(begun.Add(badClientTimeout + time.Second))
	_, err := io.Copy(io.Discard, conn)
	run := conn.processRun
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		c.record.addRequest(&Request{ID: fmt.Sprintf("incomplete request at n%d", c.dispatcher.number), Dispatcher: c.dispatcher.number, ProcessRun: run, WrittenAt: begun,
			Deadline: badClientTimeout - answerSlack, AnsweredAt: time.Now(), Error: "incomplete request got neither an error nor a close"})
	}
}

// openIdleConnections opens connections that send nothing, and closes them at the given time.
func (c *clientGroup) openIdleConnections(count int, until time.Time) {
	var conns []net.Conn
	for range count {
		if conn, err := net.DialTimeout("tcp", c.dispatcher.listen, 200*time.Millisecond); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(time.Until(until))
	for _, conn := range conns {
		_ = conn.Close() // nothing was sent on it
	}
}

// setLeaveEarly makes all clients leave early until a time.
func (c *clientGroup) setLeaveEarly(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveEarlyUntil = until
}
