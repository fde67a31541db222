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

// MaxBodyBytes is the most that a body of the platform's protocol holds.
const MaxBodyBytes = 64 << 10

// mostCost is the largest guess at a job's work that makes sense, in microseconds: an hour.
const mostCost = 3600e6

// Job is an inbound request, decoded. It passes through the core unread, to whichever endpoint gets it.
type Job struct {
	ID                  string
	Class               int // its number in the module
	ClassName           string
	Limits              routing.RequestLimits
	DeduplicationWindow time.Duration // how long repeats of the class are remembered
	IdempotencyKey      string        // Idempotency-Key
	Account             string        // Req-Owner: whose job it is
	Method              string
	Target              string // path and query, as the client wrote them
	Body                []byte
	Slots               float64
	EstimatedWork       time.Duration // a guess at its work; 0 when not told
	AffinityKey         uint64        // what the job is about: a number for the cookie's user, 0 without one
	Deadline            time.Time
	Events              bool        // endpoints are asked to answer in server-sent events
	ForwardedHeaders    http.Header // further headers that go on to the endpoint
}

// RequestError says why an inbound request is no job, as the HTTP status to answer with.
type RequestError struct {
	Status int
	Reason string
}

func (r *RequestError) Error() string { return r.Reason }

func reject(status int, format string, a ...any) error {
	return &RequestError{status, fmt.Sprintf(format, a...)}
}

// passed are the headers that go on to endpoints beside those that the protocol names.
var passed = []string{"Req-Kind", "Req-Owner", "Req-Retry", "Req-Extra", "Req-Cost", "Cookie", "Content-Type"}

// ClassOf gives the class that a request names, known or not.
func ClassOf(r *http.Request) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return name
}

// DecodeInbound reads a whole request. Until its body is read to the end net/http does not look for the
// client's leaving, so nothing may be handed on before.
func DecodeInbound(r *http.Request, p *Settings, arrived time.Time) (*Job, error) {
	if r.Method != http.MethodPost {
		return nil, reject(http.StatusMethodNotAllowed, "jobs come by POST")
	}
	name := ClassOf(r)
	class, ok := p.Class(name)
	if !ok {
		return nil, reject(http.StatusNotFound, "no class %q", name)
	}
	j := &Job{ID: r.Header.Get("Req-Id"), Class: p.numbers[class], ClassName: name, DeduplicationWindow: p.Classes[class].Window.Duration(),
		Limits: routing.RequestLimits{MaxAttempts: p.Limits.MaxAttempts, AnswerSlack: p.Rules.AnswerSlack.Duration()}, IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Account: r.Header.Get("Req-Owner"),
		Method:  r.Method, Target: r.URL.RequestURI(), Slots: 1, ForwardedHeaders: http.Header{}}
	if kind := r.Header.Get("Req-Kind"); kind != "" && kind != name {
		if !p.HasClass(kind) {
			return nil, reject(http.StatusNotFound, "no class %q", kind)
		}
		return nil, reject(http.StatusBadRequest, "Req-Kind %q, path %q", kind, name)
	}
	if j.ID == "" {
		return nil, reject(http.StatusBadRequest, "Req-Id is absent")
	}
	// What goes on must be of one meaning to whoever reads it next: an endpoint closes on what it cannot read,
	// and that would look like the endpoint's fault.
	for _, h := range [...]string{"Req-Id", "Idempotency-Key", "Req-Deadline-Ms", "Req-Kind", "Req-Owner", "Req-Extra"} {
		if v := r.Header.Values(h); len(v) > 1 || len(v) == 1 && !plain(v[0]) {
			return nil, reject(http.StatusBadRequest, "%s comes twice, is too long or not plain text", h)
		}
	}
	if j.IdempotencyKey == "" && p.Classes[class].Effect == "keyed" {
		return nil, reject(http.StatusBadRequest, "Idempotency-Key is absent")
	}
	wait := p.ClassDeadline(class)
	if text := r.Header.Get("Req-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 63) // no sign
		if err != nil {
			return nil, reject(http.StatusBadRequest, "Req-Deadline-Ms is not a number of milliseconds")
		}
		if ms < uint64(wait.Milliseconds()) { // no class waits for longer than its own deadline
			wait = time.Duration(ms) * time.Millisecond
		}
	}
	j.Deadline = arrived.Add(wait)
	if err := j.extras(r.Header.Get("Req-Extra")); err != nil {
		return nil, err
	}
	if us, err := strconv.ParseFloat(r.Header.Get("Req-Cost"), 64); err == nil && us > 0 && us < mostCost {
		j.EstimatedWork = time.Duration(us * float64(time.Microsecond)) // what makes no sense is no guess
	}
	if user, err := r.Cookie("user"); err == nil && user.Value != "" {
		j.AffinityKey = hash(user.Value)
	}
	for _, h := range passed {
		if v := r.Header.Values(h); len(v) > 0 && !slices.ContainsFunc(v, func(s string) bool { return !plain(s) }) {
			j.ForwardedHeaders[h] = v
		}
	}
	if r.ContentLength > MaxBodyBytes {
		return nil, reject(http.StatusRequestEntityTooLarge, "the body is over %d bytes", MaxBodyBytes)
	}
	var whole bytes.Buffer
	whole.Grow(int(max(r.ContentLength, 0)) + bytes.MinRead) // grown bit by bit, bodies cost thrice their memory
	_, err := whole.ReadFrom(http.MaxBytesReader(nil, r.Body, MaxBodyBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, reject(http.StatusRequestEntityTooLarge, "the body is over %d bytes", MaxBodyBytes)
	} else if err != nil {
		return nil, reject(http.StatusBadRequest, "the body cannot be read: %v", err)
	}
	j.Body = whole.Bytes()
	return j, nil
}

// plain tells whether a header's value is printable ASCII of a sane length.
func plain(text string) bool {
	return len(text) <= 1024 && strings.IndexFunc(text, func(c rune) bool { return c < ' ' || c > '~' }) < 0
}

// extras reads name=value,name=value. The module asks for the slots only.
func (j *Job) extras(text string) error {
	for part := range strings.SplitSeq(text, ",") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		name, value, ok := strings.Cut(part, "=")
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return reject(http.StatusBadRequest, "Req-Extra: %q is not name=value", part)
		}
		switch strings.TrimSpace(name) {
		case "slots", "width":
			if x > 0 {
				j.Slots = x
			}
		}
	}
	return nil
}

// Encode writes the request for an endpoint, in one piece: it counts from its last byte, so how much of
// it went out must be known. It tells the endpoint how long it has.
func (j *Job) Encode(host string, left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(j.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nReq-Id: %s\r\n", j.Method, j.Target, host, j.ID)
	if j.IdempotencyKey != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", j.IdempotencyKey)
	}
	if j.Events {
		b.WriteString("Accept: text/event-stream\r\n")
	}
	_ = j.ForwardedHeaders.Write(&b) // a bytes.Buffer takes all
	fmt.Fprintf(&b, "Req-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", max(left.Milliseconds(), 1), len(j.Body))
	b.Write(j.Body)
	return b.Bytes()
}

// EncodeProbe writes a probe. Its answer carries a load report where the deployment has any.
func EncodeProbe(host string, p *Settings) []byte {
	path := "/stats"
	if p.LoadReport.Via == "silent" || p.LoadReport.Via == "" {
		path = "/health/live"
	}
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, host)
}
