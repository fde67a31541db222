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

// State is what one message of an endpoint says of a job.
type State uint8

// The states: the job has started, it is under way, this is the last message.
const (
	Started State = iota
	Running
	Ended
)

// WorkerEvent is one message of an endpoint about a job.
type WorkerEvent struct {
	State  State
	Share  float64               // Running: the share that is done
	Result routing.AttemptResult // Ended
}

// maxLine bounds one message: a result, escaped at the worst, and its frame.
const maxLine = 6*MaxBodyBytes + 4096

// errMalformed is a message that is not of the protocol. What the endpoint did is unknown then.
var errMalformed = errors.New("malformed message")

// WorkerResponse reads an endpoint's answer to a job.
type WorkerResponse struct {
	id    string
	next  func() (text []byte, state string, err error)
	early *WorkerEvent // an answer that ends the call by its status
}

// NewWorkerResponse reads an answer's head. Chunks of JSON lines and server-sent events bring the same news.
func NewWorkerResponse(id string, resp *http.Response) *WorkerResponse {
	a := &WorkerResponse{id: id}
	if resp.StatusCode != http.StatusOK {
		end := routing.AttemptResult{Outcome: scheduler.Errored, Report: parseLoad(resp.Header.Get("Srv-Load"))}
		declined := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
		if declined && resp.Header.Get("Srv-Declined") == "1" {
			end.Outcome = scheduler.Full
		} else if resp.StatusCode >= 400 && resp.StatusCode < 500 {
			end.Outcome = scheduler.InvalidRequest
		}
		a.early = &WorkerEvent{State: Ended, Result: end}
		return a
	}
	if kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); kind == "text/event-stream" {
		events := NewEventReader(resp.Body)
		a.next = func() ([]byte, string, error) {
			ev, err := events.Next()
			return []byte(ev.Data), ev.Name, err
		}
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 1024), maxLine)
	a.next = func() ([]byte, string, error) {
		if lines.Scan() {
			return lines.Bytes(), "", nil
		}
		if err := lines.Err(); err != nil {
			return nil, "", err
		}
		return nil, "", io.EOF
	}
	return a
}

// Next gives the next news. An error means that the answer ended, broke or made no sense before its last
// message: the call's outcome is a reset then, or a time-out if nothing came until its deadline.
func (a *WorkerResponse) Next() (WorkerEvent, error) {
	if a.early != nil {
		return *a.early, nil
	}
	for {
		text, state, err := a.next()
		if err != nil {
			return WorkerEvent{}, err
		}
		if text = bytes.TrimSpace(text); len(text) == 0 {
			continue
		}
		return a.decode(text, state)
	}
}

func (a *WorkerResponse) decode(text []byte, state string) (WorkerEvent, error) {
	var m struct {
		ID     string
		State  string
		Share  float64
		Result json.RawMessage
		Load   map[string]any
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return WorkerEvent{}, fmt.Errorf("%w: %v", errMalformed, err)
	}
	if m.ID != a.id && (m.ID != "" || state == "") {
		return WorkerEvent{}, fmt.Errorf("%w: of job %q", errMalformed, m.ID)
	}
	if m.State == "" {
		m.State = state
	}
	ended := func(o scheduler.Outcome) (WorkerEvent, error) {
		return WorkerEvent{State: Ended, Result: routing.AttemptResult{Outcome: o, Report: loadOf(m.Load)}}, nil
	}
	switch m.State {
	case "started":
		return WorkerEvent{State: Started}, nil
	case "running", "progress":
		return WorkerEvent{State: Running, Share: min(max(m.Share, 0), 1)}, nil
	case "done":
		if len(m.Result) == 0 { // only a worker's result makes an answer
			return WorkerEvent{}, fmt.Errorf("%w: done without a result", errMalformed)
		}
		n, err := ended(scheduler.Served)
		n.Result.Result = m.Result
		var plain string
		if json.Unmarshal(m.Result, &plain) == nil {
			n.Result.Result = []byte(plain)
		}
		return n, err
	case "failed":
		return ended(scheduler.Errored)
	case "returned":
		return ended(scheduler.Full)
	case "lost":
		return ended(scheduler.Reset)
	}
	return WorkerEvent{}, fmt.Errorf("%w: state %q", errMalformed, m.State)
}

// ParseProbe reads an endpoint's answer to a probe: a report in the body or in the header, if any.
func ParseProbe(resp *http.Response, body []byte) (scheduler.Outcome, *scheduler.Report) {
	if resp.StatusCode != http.StatusOK {
		return scheduler.Errored, nil
	}
	if r := parseLoad(resp.Header.Get("Srv-Load")); r != nil {
		return scheduler.Served, r
	}
	var fields map[string]any
	if json.Unmarshal(body, &fields) == nil {
		if inner, ok := fields["load"].(map[string]any); ok {
			fields = inner
		}
		return scheduler.Served, loadOf(fields)
	}
	return scheduler.Served, parseLoad(string(body))
}

func loadOf(fields map[string]any) *scheduler.Report {
	r, found := emptyReport(), false
	for name, v := range fields {
		if x, ok := v.(float64); ok {
			setColumn(r, name, x)
			found = true
		}
	}
	if !found {
		return nil
	}
	return r
}

// parseLoad reads name=value,name=value; what is no such pair is skipped.
func parseLoad(text string) *scheduler.Report {
	fields := map[string]any{}
	for _, part := range strings.FieldsFunc(text, func(c rune) bool { return c == ',' || c == '\n' || c == ' ' }) {
		name, value, _ := strings.Cut(part, "=")
		if x, err := strconv.ParseFloat(value, 64); err == nil && !math.IsNaN(x) && !math.IsInf(x, 0) {
			fields[name] = x
		}
	}
	return loadOf(fields)
}
