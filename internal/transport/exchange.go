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
	call     routing.Attempt
	probe    bool
	deadline time.Time
	cut      atomic.Bool   // called off
	wire     *wire         // once one carries it
	latest   time.Time     // it must not be begun later; set once a connection carries it
	idle     time.Duration // for so long that had stood idle
}

// void tells whether an exchange must not leave any more, if it has not yet.
func (x *exchange) void(now time.Time) bool {
	return x.cut.Load() || !now.Before(x.deadline) || !x.probe && x.call.MustNotSend(now)
}

// voidBecause names what makes an exchange void.
func (x *exchange) voidBecause(now time.Time) string {
	switch {
	case x.cut.Load():
		return "called off"
	case !now.Before(x.deadline):
		return "its deadline has come"
	case x.call.ClientGone != nil && x.call.ClientGone():
		return "its client has gone"
	}
	return "the window for a repeat is over"
}

// name is the id that the client gave its request.
func (x *exchange) name() string {
	if job, ok := x.call.Job.(*protocol.Job); ok {
		return job.ID
	}
	return ""
}

// tell gives an exchange's outcome, once for each. It touches nothing that the actor owns.
func (e *endpoint) tell(x *exchange, end routing.AttemptResult) {
	if x.probe {
		e.fleet.sink.ProbeCompleted(e.id, end.Outcome, end.Report)
	} else {
		end.ConnectionIdle = x.idle
		e.fleet.sink.AttemptFinished(x.call.ID, end)
	}
}

// writeBy is when the last byte of an exchange must have left.
func (x *exchange) writeBy() time.Time {
	if by := x.call.SendBy; !by.IsZero() && by.Before(x.deadline) {
		return by
	}
	return x.deadline
}

// exchange runs beside the actor: it writes the request and reads the answer, tells the core of all that
// comes, and hands the connection back. The connection's deadline is the call's.
func (e *endpoint) exchange(x *exchange) {
	reuse := false
	defer func() { e.box.Post(ended{x, reuse}) }()
	x.wire.quota.N = mostAnswer
	text := e.word(x)
	if now := time.Now(); x.void(now) || now.After(x.latest) { // this may have waited for its turn
		e.heldBack(x, "it waited too long for its turn")
		reuse = !x.cut.Load()
		e.tell(x, routing.AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if out, ok := x.write(text); !ok {
		e.tell(x, routing.AttemptResult{Outcome: out})
		return
	}
	if !x.probe {
		e.fleet.sink.AttemptSent()
	}
	resp, err := e.read(x)
	if err != nil {
		e.tell(x, routing.AttemptResult{Outcome: x.broken(err)})
		return
	}
	reuse = x.drain(resp) && !x.cut.Load()
}

// word gives the text of a request.
func (e *endpoint) word(x *exchange) []byte {
	host := x.wire.conn.RemoteAddr().String()
	if x.probe {
		return protocol.EncodeProbe(host, e.fleet.params.Current())
	}
	job, _ := x.call.Job.(*protocol.Job)
	return job.Encode(host, passedOn(time.Until(job.Deadline)))
}

// write writes a request, and tells how the exchange ended if its last byte did not leave: the endpoint has not begun what it
// has not got whole.
func (x *exchange) write(text []byte) (out scheduler.Outcome, ok bool) {
	conn := x.wire.conn
	_ = conn.SetReadDeadline(x.deadline) // fails only on a closed connection, as does what follows
	_ = conn.SetWriteDeadline(x.writeBy())
	n, err := conn.Write(text)
	switch {
	case err == nil || n == len(text):
		return 0, true
	case x.cut.Load():
		return scheduler.NeverSent, false
	}
	return scheduler.NoConnect, false
}

// read reads the answer up to its last message, and tells the core of all that comes.
func (e *endpoint) read(x *exchange) (*http.Response, error) {
	resp, err := http.ReadResponse(x.wire.in, nil)
	for err == nil && resp.StatusCode < http.StatusOK { // an interim answer ends nothing
		resp, err = http.ReadResponse(x.wire.in, nil)
	}
	if err != nil {
		return nil, err
	}
	if !x.probe {
		return resp, e.follow(x, protocol.NewWorkerResponse(x.name(), resp))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, protocol.MaxBodyBytes))
	if err != nil {
		return nil, err
	}
	outcome, report := protocol.ParseProbe(resp, body)
	e.tell(x, routing.AttemptResult{Outcome: outcome, Report: report})
	return resp, nil
}

// broken gives the outcome of an exchange whose reading ended with an error.
func (x *exchange) broken(err error) scheduler.Outcome {
	switch {
	case x.cut.Load():
		return scheduler.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return scheduler.TimedOut
	}
	return scheduler.Reset
}

// drain reads the end of the framing, and tells whether the connection may carry a further request. A peer that holds it back
// costs the connection only.
func (x *exchange) drain(resp *http.Response) bool {
	conn := x.wire.conn
	_ = conn.SetDeadline(time.Now().Add(drainWithin))
	rest, err := io.Copy(io.Discard, io.LimitReader(resp.Body, protocol.MaxBodyBytes))
	_ = conn.SetDeadline(time.Time{})
	return err == nil && rest < protocol.MaxBodyBytes && !resp.Close
}

// follow passes a job's news on until its last message.
func (e *endpoint) follow(x *exchange, a *protocol.WorkerResponse) error {
	for {
		news, err := a.Next()
		if err != nil {
			return err
		}
		switch news.State {
		case protocol.Started:
			e.fleet.sink.AttemptStarted(x.call.ID)
		case protocol.Running:
			e.fleet.sink.AttemptProgressed(x.call.ID, news.Share)
		case protocol.Ended:
			e.tell(x, news.Result)
			return nil
		}
	}
}
