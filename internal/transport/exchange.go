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

// exchange is a call or a probe, from its start here to its outcome.
type exchange struct {
	attempt        routing.Attempt
	probe          bool
	deadline       time.Time
	cancelled      atomic.Bool   // called off
	connection     *connection   // once one carries it
	sendDeadline   time.Time     // it must not be begun later; set once a connection carries it
	connectionIdle time.Duration // for so long that had stood idle
}

// mustNotSend tells whether an exchange must not leave any more, if it has not yet.
func (x *exchange) mustNotSend(now time.Time) bool {
	return x.cancelled.Load() || !now.Before(x.deadline) || !x.probe && x.attempt.MustNotSend(now)
}

// mustNotSendReason names what makes an exchange void.
func (x *exchange) mustNotSendReason(now time.Time) string {
	switch {
	case x.cancelled.Load():
		return "called off"
	case !now.Before(x.deadline):
		return "its deadline has come"
	case x.attempt.ClientGone != nil && x.attempt.ClientGone():
		return "its client has gone"
	}
	return "the window for a repeat is over"
}

// requestID is the id that the client gave its request.
func (x *exchange) requestID() string {
	if job, ok := x.attempt.Job.(*protocol.Job); ok {
		return job.ID
	}
	return ""
}

// report gives an exchange's outcome, once for each. It touches nothing that the actor owns.
func (e *endpoint) report(x *exchange, end routing.AttemptResult) {
	if x.probe {
		e.pool.sink.ProbeCompleted(e.id, end.Outcome, end.Report)
	} else {
		end.ConnectionIdle = x.connectionIdle
		e.pool.sink.AttemptFinished(x.attempt.ID, end)
	}
}

// writeDeadline is when the last byte of an exchange must have left.
func (x *exchange) writeDeadline() time.Time {
	if by := x.attempt.SendBy; !by.IsZero() && by.Before(x.deadline) {
		return by
	}
	return x.deadline
}

// runExchange runs beside the actor: it writes the request and reads the answer, tells the core of all that
// comes, and hands the connection back. The connection's deadline is the call's.
func (e *endpoint) runExchange(x *exchange) {
	reuse := false
	defer func() { e.mailbox.Post(exchangeEnded{x, reuse}) }()
	x.connection.readLimit.N = maxResponseBytes
	text := e.requestText(x)
	if now := time.Now(); x.mustNotSend(now) || now.After(x.sendDeadline) { // this may have waited for its turn
		e.logNotSent(x, "it waited too long for its turn")
		reuse = !x.cancelled.Load()
		e.report(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if out, ok := x.writeRequest(text); !ok {
		e.report(x, routing.AttemptResult{Outcome: out})
		return
	}
	if !x.probe {
		e.pool.sink.AttemptSent()
	}
	resp, err := e.readResponse(x)
	if err != nil {
		e.report(x, routing.AttemptResult{Outcome: x.outcomeOfError(err)})
		return
	}
	reuse = x.drainResponse(resp) && !x.cancelled.Load()
}

// requestText gives the text of a request.
func (e *endpoint) requestText(x *exchange) []byte {
	host := x.connection.conn.RemoteAddr().String()
	if x.probe {
		return protocol.EncodeProbe(host, e.pool.settings.Current())
	}
	job, _ := x.attempt.Job.(*protocol.Job)
	return job.Encode(host, passedOn(time.Until(job.Deadline)))
}

// writeRequest writes a request, and tells how the exchange ended if its last byte did not leave: the endpoint has not begun what it
// has not got whole.
func (x *exchange) writeRequest(text []byte) (out scheduler.Outcome, ok bool) {
	conn := x.connection.conn
	_ = conn.SetReadDeadline(x.deadline) // fails only on a closed connection, as does what follows
	_ = conn.SetWriteDeadline(x.writeDeadline())
	n, err := conn.Write(text)
	switch {
	case err == nil || n == len(text):
		return 0, true
	case x.cancelled.Load():
		return scheduler.NeverSent, false
	}
	return scheduler.NoConnect, false
}

// readResponse reads the answer up to its last message, and tells the core of all that comes.
func (e *endpoint) readResponse(x *exchange) (*http.Response, error) {
	resp, err := http.ReadResponse(x.connection.reader, nil)
	for err == nil && resp.StatusCode < http.StatusOK { // an interim answer ends nothing
		resp, err = http.ReadResponse(x.connection.reader, nil)
	}
	if err != nil {
		return nil, err
	}
	if !x.probe {
		return resp, e.followJob(x, protocol.NewWorkerResponse(x.requestID(), resp))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, protocol.MaxBodyBytes))
	if err != nil {
		return nil, err
	}
	outcome, report := protocol.ParseProbe(resp, body)
	e.report(x, routing.AttemptResult{Outcome: outcome, Report: report})
	return resp, nil
}

// outcomeOfError gives the outcome of an exchange whose reading ended with an error.
func (x *exchange) outcomeOfError(err error) scheduler.Outcome {
	switch {
	case x.cancelled.Load():
		return scheduler.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return scheduler.TimedOut
	}
	return scheduler.Reset
}

// drainResponse reads the end of the framing, and tells whether the connection may carry a further request. A peer that holds it back
// costs the connection only.
func (x *exchange) drainResponse(resp *http.Response) bool {
	conn := x.connection.conn
	_ = conn.SetDeadline(time.Now().Add(responseDrainTimeout))
	rest, err := io.Copy(io.Discard, io.LimitReader(resp.Body, protocol.MaxBodyBytes))
	_ = conn.SetDeadline(time.Time{})
	return err == nil && rest < protocol.MaxBodyBytes && !resp.Close
}

// followJob passes a job's news on until its last message.
func (e *endpoint) followJob(x *exchange, a *protocol.WorkerResponse) error {
	for {
		news, err := a.Next()
		if err != nil {
			return err
		}
		switch news.State {
		case protocol.Started:
			e.pool.sink.AttemptStarted(x.attempt.ID)
		case protocol.Running:
			e.pool.sink.AttemptProgressed(x.attempt.ID, news.Share)
		case protocol.Ended:
			e.report(x, news.Result)
			return nil
		}
	}
}
