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
	// responseDrainTimeout is how long an endpoint has for the rest of a response after its last message.
	responseDrainTimeout = time.Second

	// maxResponseBytes is the most that an exchange reads: an endpoint that sends more ends its own attempt.
	maxResponseBytes = 1 << 20
)

// exchange is an attempt or a probe at an endpoint, from its start to its outcome. Its fields belong to the goroutine of endpoint.run
// until that has started runExchange, and do not change after; cancelled may be set at any time.
type exchange struct {
	attempt        routing.Attempt // unless it is a probe
	probe          bool
	deadline       time.Time
	cancelled      atomic.Bool
	connection     *connection   // nil until one carries it
	sendDeadline   time.Time     // it must not be begun later; set when a connection carries it
	connectionIdle time.Duration // how long that had been idle
}

// mustNotSend reports whether an exchange that was not sent must not be sent any more.
func (x *exchange) mustNotSend(now time.Time) bool {
	return x.cancelled.Load() || !now.Before(x.deadline) || !x.probe && x.attempt.MustNotSend(now)
}

// mustNotSendReason returns why mustNotSend is true, for the log.
func (x *exchange) mustNotSendReason(now time.Time) string {
	switch {
	case x.cancelled.Load():
		return "cancelled"
	case !now.Before(x.deadline):
		return "deadline passed"
	case x.attempt.ClientGone != nil && x.attempt.ClientGone():
		return "client left"
	}
	return "deduplication window over"
}

// requestID returns the ID that the client gave its request.
func (x *exchange) requestID() string {
	if job, ok := x.attempt.Job.(*protocol.Job); ok {
		return job.ID
	}
	return ""
}

// writeDeadline returns when the last byte of an exchange must have been written.
func (x *exchange) writeDeadline() time.Time {
	if by := x.attempt.SendBy; !by.IsZero() && by.Before(x.deadline) {
		return by
	}
	return x.deadline
}

// report passes the sink the result of an exchange. It is called once for each, from any goroutine: it uses nothing that run owns.
func (e *endpoint) report(ended *exchange, result routing.AttemptResult) {
	if ended.probe {
		e.pool.sink.ProbeCompleted(e.id, result.Outcome, result.Report)
	} else {
		result.ConnectionIdle = ended.connectionIdle
		e.pool.sink.AttemptFinished(ended.attempt.ID, result)
	}
}

// runExchange writes the request, reads the response, passes the sink what is received, and hands the connection back to run. It runs
// in a goroutine of its own and ends at the deadline of the exchange at the latest, but for responseDrainTimeout.
func (e *endpoint) runExchange(running *exchange) {
	reuse := false
	defer func() { e.mailbox.Post(exchangeEnded{running, reuse}) }()
	running.connection.readLimit.N = maxResponseBytes
	text := e.requestText(running)
	if now := time.Now(); running.mustNotSend(now) || now.After(running.sendDeadline) { // this goroutine may not have been run for a while
		e.logNotSent(running, "delayed before write")
		reuse = !running.cancelled.Load()
		e.report(running, routing.AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if outcome, ok := running.writeRequest(text); !ok {
		e.report(running, routing.AttemptResult{Outcome: outcome})
		return
	}
	if !running.probe {
		e.pool.sink.AttemptSent()
	}
	response, err := e.readResponse(running)
	if err != nil {
		e.report(running, routing.AttemptResult{Outcome: running.outcomeOfError(err)})
		return
	}
	reuse = running.drainResponse(response) && !running.cancelled.Load()
}

// requestText returns the text of a request.
func (e *endpoint) requestText(running *exchange) []byte {
	host := running.connection.conn.RemoteAddr().String()
	if running.probe {
		return protocol.EncodeProbe(host, e.pool.settings.Current())
	}
	job, _ := running.attempt.Job.(*protocol.Job)
	return job.Encode(host, forwardedWait(time.Until(job.Deadline)))
}

// writeRequest writes a request. If its last byte was not written, it returns the outcome and false: the endpoint begins a request
// only when it has all of it.
func (x *exchange) writeRequest(text []byte) (outcome scheduler.Outcome, ok bool) {
	conn := x.connection.conn
	_ = conn.SetReadDeadline(x.deadline) // fails only on a closed connection, as does the write
	_ = conn.SetWriteDeadline(x.writeDeadline())
	written, err := conn.Write(text)
	switch {
	case err == nil || written == len(text):
		return 0, true
	case x.cancelled.Load():
		return scheduler.NeverSent, false
	}
	return scheduler.NoConnect, false
}

// readResponse reads the response up to its last message and reports the result. On an error nothing has been reported.
func (e *endpoint) readResponse(running *exchange) (*http.Response, error) {
	response, err := http.ReadResponse(running.connection.reader, nil)
	for err == nil && response.StatusCode < http.StatusOK { // an interim response is not the last one
		response, err = http.ReadResponse(running.connection.reader, nil)
	}
	if err != nil {
		return nil, err
	}
	if !running.probe {
		return response, e.followJob(running, protocol.NewWorkerResponse(running.requestID(), response))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxBodyBytes))
	if err != nil {
		return nil, err
	}
	outcome, report := protocol.ParseProbe(response, body)
	e.report(running, routing.AttemptResult{Outcome: outcome, Report: report})
	return response, nil
}

// followJob passes the sink the messages of a worker about a job, up to the last one.
func (e *endpoint) followJob(running *exchange, response *protocol.WorkerResponse) error {
	for {
		event, err := response.Next()
		if err != nil {
			return err
		}
		switch event.State {
		case protocol.Started:
			e.pool.sink.AttemptStarted(running.attempt.ID)
		case protocol.Running:
			e.pool.sink.AttemptProgressed(running.attempt.ID, event.Share)
		case protocol.Ended:
			e.report(running, event.Result)
			return nil
		}
	}
}

// outcomeOfError returns the outcome of an exchange whose response could not be read.
func (x *exchange) outcomeOfError(err error) scheduler.Outcome {
	switch {
	case x.cancelled.Load():
		return scheduler.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return scheduler.TimedOut
	}
	return scheduler.Reset
}

// drainResponse reads the rest of a response and reports whether the connection may carry another exchange. The result has been
// reported before: an endpoint that does not end its response costs the connection only.
func (x *exchange) drainResponse(response *http.Response) bool {
	conn := x.connection.conn
	_ = conn.SetDeadline(time.Now().Add(responseDrainTimeout)) // fails only on a closed connection, as does the read
	rest, err := io.Copy(io.Discard, io.LimitReader(response.Body, protocol.MaxBodyBytes))
	_ = conn.SetDeadline(time.Time{})
	return err == nil && rest < protocol.MaxBodyBytes && !response.Close
}
