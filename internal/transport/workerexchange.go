package transport

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

const (
	// probeTimeout is the time for a probe, from when it is requested.
	probeTimeout = 300 * time.Millisecond

	// drainTimeout is the time for reading the rest of a response after its last message.
	drainTimeout = time.Second

	// maxResponseBytes limits the bytes that one exchange reads. If a worker sends more, only this exchange fails.
	maxResponseBytes = 1 << 20
)

// workerExchange is one attempt or probe: a request to a worker and its response. The endpoint's actor owns it until it is assigned
// to a connection; then the goroutine of endpoint.runExchange owns it, until it posts exchangeEnded. cancelled may be read by both.
type workerExchange struct {
	attempt          routing.Attempt // zero for a probe
	isProbe          bool
	deadline         time.Time
	cancelled        atomic.Bool
	waitsForCapacity bool          // owned by the actor
	conn             *workerConn   // nil until one is assigned
	writeBy          time.Time     // the request must not be written later; set before conn
	connIdle         time.Duration // how long the connection had been idle
}

// mustNotWrite reports whether an exchange whose request has not been written must not be sent any more: it is cancelled, its
// deadline has passed, its client has gone or its SendBy has passed. It may cost a system call.
func (x *workerExchange) mustNotWrite(now time.Time) bool {
	return x.cancelled.Load() || !now.Before(x.deadline) || !x.isProbe && x.attempt.MustNotSend(now)
}

// mustNotWriteReason returns the reason after mustNotWrite has reported true.
func (x *workerExchange) mustNotWriteReason(now time.Time) string {
	switch {
	case x.cancelled.Load():
		return notSentCancelled
	case !now.Before(x.deadline):
		return notSentDeadlinePassed
	case x.attempt.ClientGone != nil && x.attempt.ClientGone():
		return notSentClientGone
	}
	return notSentSendByPassed
}

// requestID returns the id that the client gave its request. It is empty for a probe.
func (x *workerExchange) requestID() string {
	if job, ok := x.attempt.Job.(*protocol.Job); ok {
		return job.ID
	}
	return ""
}

// writeDeadline returns when the last byte of the request must have been written.
func (x *workerExchange) writeDeadline() time.Time {
	if sendBy := x.attempt.SendBy; !sendBy.IsZero() && sendBy.Before(x.deadline) {
		return sendBy
	}
	return x.deadline
}

// reportResult reports the result of an exchange to the core. It must be called exactly once for each exchange, from any goroutine,
// and does not block.
func (e *endpoint) reportResult(exchange *workerExchange, result routing.AttemptResult) {
	if exchange.isProbe {
		e.pool.sink.ProbeCompleted(e.id, result.Outcome, result.Report)
		return
	}
	result.ConnectionIdle = exchange.connIdle
	e.pool.sink.AttemptFinished(exchange.attempt.ID, result)
}

// runExchange runs an exchange on its connection, in a goroutine of its own: it writes the request, reads the response, reports
// the result and returns the connection to the actor. It blocks at most until the exchange's deadline, and then for drainTimeout.
// It uses only those fields of the endpoint that never change.
func (e *endpoint) runExchange(exchange *workerExchange) {
	reusable := false
	defer func() { e.mailbox.Post(exchangeEnded{exchange, reusable}) }()
	exchange.conn.readLimit.N = maxResponseBytes
	request := e.encodeRequest(exchange)
	if now := time.Now(); exchange.mustNotWrite(now) || now.After(exchange.writeBy) { // the goroutine may have been delayed
		e.logNotSent(exchange, notSentDelayed)
		reusable = !exchange.cancelled.Load()
		e.reportResult(exchange, routing.AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if outcome, written := exchange.writeRequest(request); !written {
		e.reportResult(exchange, routing.AttemptResult{Outcome: outcome})
		return
	}
	if !exchange.isProbe {
		e.pool.sink.AttemptSent()
	}
	response, err := e.readResponse(exchange)
	if err != nil {
		e.reportResult(exchange, routing.AttemptResult{Outcome: exchange.outcomeOfReadError(err)})
		return
	}
	reusable = exchange.drainBody(response) && !exchange.cancelled.Load()
}

// encodeRequest returns the request as it is written to the connection.
func (e *endpoint) encodeRequest(exchange *workerExchange) []byte {
	host := exchange.conn.conn.RemoteAddr().String()
	if exchange.isProbe {
		return protocol.EncodeProbe(host, e.pool.settings.Current())
	}
	job, _ := exchange.attempt.Job.(*protocol.Job)
	return job.Encode(host, forwardedTimeLimit(time.Until(job.Deadline)))
}

// writeRequest writes the request and reports whether its last byte was written. If not, the worker has not started the request,
// and outcome is the outcome of the exchange: NoConnect, or NeverSent if it was cancelled.
func (x *workerExchange) writeRequest(request []byte) (outcome scheduler.Outcome, written bool) {
	conn := x.conn.conn
	_ = conn.SetReadDeadline(x.deadline) // fails only on a closed connection, on which the next calls fail too
	_ = conn.SetWriteDeadline(x.writeDeadline())
	n, err := conn.Write(request)
	switch {
	case err == nil || n == len(request):
		return 0, true
	case x.cancelled.Load():
		return scheduler.NeverSent, false
	}
	return scheduler.NoConnect, false
}

// readResponse reads the response up to its last message and reports its messages to the core, including the result. If it
// returns an error, no result has been reported.
func (e *endpoint) readResponse(exchange *workerExchange) (*http.Response, error) {
	response, err := http.ReadResponse(exchange.conn.reader, nil)
	for err == nil && response.StatusCode < http.StatusOK { // informational responses precede the response
		response, err = http.ReadResponse(exchange.conn.reader, nil)
	}
	if err != nil {
		return nil, err
	}
	if !exchange.isProbe {
		return response, e.readJobMessages(exchange, protocol.NewWorkerResponse(exchange.requestID(), response))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxBodyBytes))
	if err != nil {
		return nil, err
	}
	outcome, report := protocol.ParseProbe(response, body)
	e.reportResult(exchange, routing.AttemptResult{Outcome: outcome, Report: report})
	return response, nil
}

// readJobMessages reports the messages of a job's response to the core, up to the last one, which has the result.
func (e *endpoint) readJobMessages(exchange *workerExchange, response *protocol.WorkerResponse) error {
	for {
		message, err := response.Next()
		if err != nil {
			return err
		}
		switch message.State {
		case protocol.Started:
			e.pool.sink.AttemptStarted(exchange.attempt.ID)
		case protocol.Running:
			e.pool.sink.AttemptProgressed(exchange.attempt.ID, message.Share)
		case protocol.Ended:
			e.reportResult(exchange, message.Result)
			return nil
		}
	}
}

// outcomeOfReadError returns the outcome of an exchange whose request was written and whose response could not be read to its last
// message: Reset, unless it was cancelled or timed out. The worker may have executed the request in each case.
func (x *workerExchange) outcomeOfReadError(err error) scheduler.Outcome {
	switch {
	case x.cancelled.Load():
		return scheduler.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return scheduler.TimedOut
	}
	return scheduler.Reset
}

// drainBody reads the rest of a response whose result has been reported, and reports whether the connection may carry another
// request. It blocks for drainTimeout at most.
func (x *workerExchange) drainBody(response *http.Response) bool {
	conn := x.conn.conn
	_ = conn.SetDeadline(time.Now().Add(drainTimeout)) // fails only on a closed connection, on which the next calls fail too
	rest, err := io.Copy(io.Discard, io.LimitReader(response.Body, protocol.MaxBodyBytes))
	_ = conn.SetDeadline(time.Time{})
	return err == nil && rest < protocol.MaxBodyBytes && !response.Close
}
