package protocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// State is the state of a job in one message of a worker.
type State uint8

const (
	// Started is the state of a job that has started: "started" on the wire.
	Started State = iota
	// Running is the state of a job that reports its progress: "running", in events also "progress".
	Running
	// Ended is the state of a job in the last message of a response.
	Ended
)

// WorkerEvent is one message of a worker about a job.
type WorkerEvent struct {
	State  State
	Share  float64               // the share of the job that is done, 0 to 1, if Running
	Result routing.AttemptResult // if Ended
}

// maxLine is the longest message of a worker, in bytes: a result of MaxBodyBytes in which each byte is escaped as 6 bytes, and the
// frame around it.
const maxLine = 6*MaxBodyBytes + 4096

// lineBufferSize is the initial size of the buffer for messages, in bytes.
const lineBufferSize = 1024

// errMalformed is the error for a message that violates the protocol. It is then unknown what the worker did.
var errMalformed = errors.New("malformed message")

// WorkerResponse reads the response of a worker to a job. It is not safe for concurrent use.
type WorkerResponse struct {
	id          string                                        // of the job
	next        func() (text []byte, state string, err error) // returns the next message, and its state if the frame names one
	statusEvent *WorkerEvent                                  // not nil if the status of the response ends the attempt
}

// NewWorkerResponse returns a reader for a response whose head was read. Its body is lines of JSON or server-sent events.
func NewWorkerResponse(id string, resp *http.Response) *WorkerResponse {
	response := &WorkerResponse{id: id}
	if resp.StatusCode != http.StatusOK {
		response.statusEvent = &WorkerEvent{State: Ended, Result: resultOfStatus(resp)}
		return response
	}
	if kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); kind == "text/event-stream" {
		events := NewEventReader(resp.Body)
		response.next = func() ([]byte, string, error) {
			event, err := events.Next()
			return []byte(event.Data), event.Name, err
		}
		return response
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, lineBufferSize), maxLine)
	response.next = func() ([]byte, string, error) {
		if lines.Scan() {
			return lines.Bytes(), "", nil
		}
		if err := lines.Err(); err != nil {
			return nil, "", err
		}
		return nil, "", io.EOF
	}
	return response
}

// resultOfStatus returns the result of an attempt that ended with a status other than 200. If a 503 or 504 has Srv-Declined, the
// job never ran. Without Srv-Declined, the job may have run.
func resultOfStatus(resp *http.Response) routing.AttemptResult {
	result := routing.AttemptResult{Outcome: scheduler.Errored, Report: parseLoad(resp.Header.Get("Srv-Load"))}
	declined := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	if declined && resp.Header.Get("Srv-Declined") == "1" {
		result.Outcome = scheduler.Full
	} else if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		result.Outcome = scheduler.InvalidRequest
	}
	return result
}

// Next blocks until the next message is received, and returns it. An error means that the response ended, broke off or was malformed
// before its last message: the attempt then ends as Reset, or as TimedOut if its deadline has passed.
func (r *WorkerResponse) Next() (WorkerEvent, error) {
	if r.statusEvent != nil {
		return *r.statusEvent, nil
	}
	for {
		text, state, err := r.next()
		if err != nil {
			return WorkerEvent{}, err
		}
		if text = bytes.TrimSpace(text); len(text) == 0 {
			continue
		}
		return r.decode(text, state)
	}
}

// workerMessage is a message of a worker on the wire.
type workerMessage struct {
	ID     string
	State  string
	Share  float64
	Result json.RawMessage
	Load   map[string]any // load report
}

// decode decodes a message. The parameter state is the state that the message's frame names; it is empty if the frame names none.
func (r *WorkerResponse) decode(text []byte, state string) (WorkerEvent, error) {
	var message workerMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return WorkerEvent{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if message.ID != r.id && (message.ID != "" || state == "") {
		return WorkerEvent{}, fmt.Errorf("%w: unexpected job ID %q", errMalformed, message.ID)
	}
	if message.State == "" {
		message.State = state
	}
	switch message.State {
	case "started":
		return WorkerEvent{State: Started}, nil
	case "running", "progress":
		return WorkerEvent{State: Running, Share: min(max(message.Share, 0), 1)}, nil
	case "done":
		return message.served()
	case "failed":
		return message.ended(scheduler.Errored), nil
	case "returned":
		return message.ended(scheduler.Full), nil
	case "lost":
		return message.ended(scheduler.Reset), nil
	}
	return WorkerEvent{}, fmt.Errorf("%w: unknown state %q", errMalformed, message.State)
}

// ended returns the event for the last message of a response.
func (m *workerMessage) ended(outcome scheduler.Outcome) WorkerEvent {
	return WorkerEvent{State: Ended, Result: routing.AttemptResult{Outcome: outcome, Report: loadReport(m.Load)}}
}

// served returns the event for a job that is done. A message without a result is malformed: the client could not be answered.
func (m *workerMessage) served() (WorkerEvent, error) {
	if len(m.Result) == 0 {
		return WorkerEvent{}, fmt.Errorf("%w: done without a result", errMalformed)
	}
	event := m.ended(scheduler.Served)
	event.Result.Result = m.Result
	var plain string
	if json.Unmarshal(m.Result, &plain) == nil {
		event.Result.Result = []byte(plain)
	}
	return event, nil
}

// ParseProbe returns the outcome of a probe and its load report. The report is from the header, else from the body; it is nil if
// neither has one.
func ParseProbe(resp *http.Response, body []byte) (scheduler.Outcome, *scheduler.Report) {
	if resp.StatusCode != http.StatusOK {
		return scheduler.Errored, nil
	}
	if report := parseLoad(resp.Header.Get("Srv-Load")); report != nil {
		return scheduler.Served, report
	}
	var fields map[string]any
	if json.Unmarshal(body, &fields) == nil {
		if inner, ok := fields["load"].(map[string]any); ok {
			fields = inner
		}
		return scheduler.Served, loadReport(fields)
	}
	return scheduler.Served, parseLoad(string(body))
}

// loadReport converts a load report; nil if it has no numbers.
func loadReport(fields map[string]any) *scheduler.Report {
	report, found := emptyReport(), false
	for name, field := range fields {
		if value, ok := field.(float64); ok {
			setColumn(report, name, value)
			found = true
		}
	}
	if !found {
		return nil
	}
	return report
}

// parseLoad parses a load report of the form name=value,name=value. Anything else in the text is ignored.
func parseLoad(text string) *scheduler.Report {
	fields := map[string]any{}
	for _, part := range strings.FieldsFunc(text, func(c rune) bool { return c == ',' || c == '\n' || c == ' ' }) {
		name, value, _ := strings.Cut(part, "=")
		if number, err := strconv.ParseFloat(value, 64); err == nil && !math.IsNaN(number) && !math.IsInf(number, 0) {
			fields[name] = number
		}
	}
	return loadReport(fields)
}
