package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"brassdale/internal/routing"
)

// MaxBodyBytes is the maximum size of a body in the platform's protocol.
const MaxBodyBytes = 64 << 10

// maxEstimatedWork is the bound below which an estimate of a request's work is accepted, in microseconds: an hour.
const maxEstimatedWork = 3600e6

// maxHeaderValue is the longest header value that is passed on to workers, in bytes.
const maxHeaderValue = 1024

// requestHeadSize is the buffer space allocated for the head of a request to a worker, in bytes.
const requestHeadSize = 512

// Job is a decoded request of a client. The core passes it on to the worker without reading it.
type Job struct {
	ID                  string // Req-Id
	Class               int    // its number at the scheduler
	ClassName           string // first part of the path
	Limits              routing.RequestLimits
	DeduplicationWindow time.Duration // how long workers remember idempotency keys of the class
	IdempotencyKey      string        // Idempotency-Key
	Account             string        // Req-Owner
	Method              string
	Target              string // path and query, as the client wrote them
	Body                []byte
	Slots               float64       // slots or width of Req-Extra; 1 if absent
	EstimatedWork       time.Duration // Req-Cost, microseconds on the wire; 0 for unknown
	AffinityKey         uint64        // a hash of the cookie "user"; 0 if absent
	Deadline            time.Time     // Req-Deadline-Ms after the request arrived, at most the deadline of its class
	Events              bool          // workers are asked to respond with server-sent events
	ForwardedHeaders    http.Header   // further headers that are passed on to the worker
}

// RequestError is the reason why a request is rejected, and the HTTP status of the response. The client sees the reason.
type RequestError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Reason }

func reject(status int, format string, values ...any) error {
	return &RequestError{status, fmt.Sprintf(format, values...)}
}

// forwardedHeaders are the headers that are passed on to workers in addition to those that the protocol names.
var forwardedHeaders = []string{"Req-Kind", "Req-Owner", "Req-Retry", "Req-Extra", "Req-Cost", "Cookie", "Content-Type"}

// ClassOf returns the name of the class in the path of a request. The settings may have no such class.
func ClassOf(r *http.Request) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return name
}

// DecodeInbound reads and checks a whole request. It blocks until the body is read: until then net/http does not notice that the
// client disconnects, so the request must not be submitted earlier. An error is a *RequestError.
func DecodeInbound(r *http.Request, settings *Settings, arrived time.Time) (*Job, error) {
	if r.Method != http.MethodPost {
		return nil, reject(http.StatusMethodNotAllowed, "jobs come by POST")
	}
	name := ClassOf(r)
	class, ok := settings.Class(name)
	if !ok {
		return nil, reject(http.StatusNotFound, "no class %q", name)
	}
	if err := checkHeaders(r.Header, settings, class); err != nil {
		return nil, err
	}
	wait, err := clientWait(r.Header.Get("Req-Deadline-Ms"), settings.ClassDeadline(class))
	if err != nil {
		return nil, err
	}
	slots, err := parseSlots(r.Header.Get("Req-Extra"))
	if err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	return &Job{
		ID: r.Header.Get("Req-Id"), Class: settings.classNumbers[class], ClassName: name, Account: r.Header.Get("Req-Owner"),
		Limits:              routing.RequestLimits{MaxAttempts: settings.Limits.MaxAttempts, AnswerSlack: settings.Rules.AnswerSlack.Duration()},
		DeduplicationWindow: settings.Classes[class].Window.Duration(), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Target: r.URL.RequestURI(), Body: body,
		Slots: slots, EstimatedWork: estimatedWork(r.Header.Get("Req-Cost")), AffinityKey: affinityKey(r),
		Deadline: arrived.Add(wait), ForwardedHeaders: selectHeaders(r.Header),
	}, nil
}

// checkHeaders returns an error if the headers of a request are invalid for its class.
func checkHeaders(header http.Header, settings *Settings, class int) error {
	name := settings.Classes[class].Name
	if kind := header.Get("Req-Kind"); kind != "" && kind != name {
		if !settings.HasClass(kind) {
			return reject(http.StatusNotFound, "no class %q", kind)
		}
		return reject(http.StatusBadRequest, "Req-Kind %q, path %q", kind, name)
	}
	if header.Get("Req-Id") == "" {
		return reject(http.StatusBadRequest, "Req-Id is absent")
	}
	// A header that is passed on must be unambiguous and readable: a worker closes the connection if it cannot read one, which would
	// look like a fault of the worker.
	for _, field := range [...]string{"Req-Id", "Idempotency-Key", "Req-Deadline-Ms", "Req-Kind", "Req-Owner", "Req-Extra"} {
		if values := header.Values(field); len(values) > 1 || len(values) == 1 && !isPlain(values[0]) {
			return reject(http.StatusBadRequest, "%s comes twice, is too long or not plain text", field)
		}
	}
	if header.Get("Idempotency-Key") == "" && settings.Classes[class].Effect == effectKeyed {
		return reject(http.StatusBadRequest, "Idempotency-Key is absent")
	}
	return nil
}

// clientWait returns how long a client waits. The parameter text is the value of Req-Deadline-Ms. The result is at most the
// parameter longest, and exactly that if text is empty.
func clientWait(text string, longest time.Duration) (time.Duration, error) {
	if text == "" {
		return longest, nil
	}
	milliseconds, err := strconv.ParseUint(text, 10, 63) // accepts no sign
	if err != nil {
		return 0, reject(http.StatusBadRequest, "Req-Deadline-Ms is not a number of milliseconds")
	}
	if milliseconds < uint64(longest.Milliseconds()) {
		return time.Duration(milliseconds) * time.Millisecond, nil
	}
	return longest, nil
}

// estimatedWork parses Req-Cost. It returns 0, for no estimate, if the value is invalid.
func estimatedWork(text string) time.Duration {
	microseconds, err := strconv.ParseFloat(text, 64)
	if err == nil && microseconds > 0 && microseconds < maxEstimatedWork {
		return time.Duration(microseconds * float64(time.Microsecond))
	}
	return 0
}

// affinityKey returns a hash of the cookie "user"; 0 if it is absent.
func affinityKey(r *http.Request) uint64 {
	if user, err := r.Cookie("user"); err == nil && user.Value != "" {
		return hash(user.Value)
	}
	return 0
}

// selectHeaders returns the forwardedHeaders of a request, without headers that have a value that is not plain.
func selectHeaders(header http.Header) http.Header {
	selected := http.Header{}
	for _, field := range forwardedHeaders {
		if values := header.Values(field); len(values) > 0 && !slices.ContainsFunc(values, func(value string) bool { return !isPlain(value) }) {
			selected[field] = values
		}
	}
	return selected
}

// readBody reads the body of a request, up to MaxBodyBytes.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > MaxBodyBytes {
		return nil, reject(http.StatusRequestEntityTooLarge, "the body is over %d bytes", MaxBodyBytes)
	}
	var body bytes.Buffer
	body.Grow(int(max(r.ContentLength, 0)) + bytes.MinRead) // a buffer that grows step by step takes three times the memory
	_, err := body.ReadFrom(http.MaxBytesReader(nil, r.Body, MaxBodyBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, reject(http.StatusRequestEntityTooLarge, "the body is over %d bytes", MaxBodyBytes)
	} else if err != nil {
		return nil, reject(http.StatusBadRequest, "the body cannot be read: %v", err)
	}
	return body.Bytes(), nil
}

// isPlain reports whether a header value is printable ASCII of at most maxHeaderValue bytes.
func isPlain(text string) bool {
	return len(text) <= maxHeaderValue && strings.IndexFunc(text, func(c rune) bool { return c < ' ' || c > '~' }) < 0
}

// parseSlots parses Req-Extra, a list of name=value, and returns the value of slots or width; 1 if the list has neither. Other
// names are ignored.
func parseSlots(text string) (float64, error) {
	slots := 1.0
	for part := range strings.SplitSeq(text, ",") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		name, value, ok := strings.Cut(part, "=")
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			return 0, reject(http.StatusBadRequest, "Req-Extra: %q is not name=value", part)
		}
		switch strings.TrimSpace(name) {
		case "slots", "width":
			if number > 0 {
				slots = number
			}
		}
	}
	return slots, nil
}

// Encode returns the request to a worker as one block: an attempt counts as sent with the last byte, so the caller must know how
// much was written. The parameter left is how long the dispatcher will wait for the response.
func (j *Job) Encode(host string, left time.Duration) []byte {
	var text bytes.Buffer
	text.Grow(requestHeadSize + len(j.Body))
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nReq-Id: %s\r\n", j.Method, j.Target, host, j.ID)
	if j.IdempotencyKey != "" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", j.IdempotencyKey)
	}
	if j.Events {
		text.WriteString("Accept: text/event-stream\r\n")
	}
	_ = j.ForwardedHeaders.Write(&text) // a bytes.Buffer returns no error
	fmt.Fprintf(&text, "Req-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", max(left.Milliseconds(), 1), len(j.Body))
	text.Write(j.Body)
	return text.Bytes()
}

// EncodeProbe returns a probe: a request for the load report if workers have load reports, else for their health.
func EncodeProbe(host string, settings *Settings) []byte {
	path := "/stats"
	if settings.LoadReport.Via == reportsNever || settings.LoadReport.Via == "" {
		path = "/health/live"
	}
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, host)
}
