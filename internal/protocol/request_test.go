package protocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"brassdale/scheduler"
)

// FuzzDecodeInbound checks that an arbitrary request is either rejected with a 4xx status, or decoded as a job that has at most the
// deadline of its class and MaxBodyBytes of body, and that is encoded for a worker with the same ID, target and length.
func FuzzDecodeInbound(f *testing.F) {
	head := "POST /price-part?sheet=7 HTTP/1.1\r\nHost: h\r\nReq-Id: a\r\nIdempotency-Key: k\r\n"
	f.Add([]byte(head + "Req-Deadline-Ms: 300\r\nReq-Kind: price-part\r\nReq-Owner: o\r\nReq-Extra: slots=2,memory=1.5\r\nCookie: user=7\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte(head + "Req-Id: b\r\n\r\n"))
	f.Add([]byte(head + "Req-Deadline-Ms: 99999999999999999999\r\n\r\n"))
	f.Add([]byte("GET /none HTTP/1.1\r\nHost: h\r\n\r\n"))
	settings := &Settings{}
	if err := json.Unmarshal([]byte(`{"classes":[{"name":"price-part","effect":"keyed","deadline":5000000}],"limits":{"maxAttempts":4}}`), settings); err != nil {
		f.Fatal(err)
	}
	(&LiveSettings{}).Replace(settings, func(scheduler.Settings) {})
	now := time.Unix(1e9, 0)
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		job, err := DecodeInbound(r, settings, now)
		if err != nil {
			rejected := (*RequestError)(nil)
			if !errors.As(err, &rejected) || rejected.Status < 400 || rejected.Status > 499 {
				t.Fatalf("rejected with %v, want a RequestError with a 4xx status", err)
			}
			return
		}
		if job.Deadline.Before(now) || job.Deadline.After(now.Add(5*time.Second)) || len(job.Body) > MaxBodyBytes || job.ID == "" || job.Slots <= 0 || job.EstimatedWork < 0 {
			t.Fatalf("decoded a job outside the limits: %+v", job)
		}
		forwarded, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(job.Encode("endpoint:1", job.Deadline.Sub(now)))))
		if err != nil {
			t.Fatalf("cannot be forwarded: %v", err)
		}
		if forwarded.Header.Get("Req-Id") != strings.TrimSpace(job.ID) || forwarded.RequestURI != job.Target || forwarded.ContentLength != int64(len(job.Body)) {
			t.Fatalf("forwarded with another ID, target or length: %v", forwarded)
		}
	})
}

// TestDecodeInbound_estimatedWork checks that Req-Cost, in microseconds, is the estimated work of a job, and that a value other than a
// positive number below maxEstimatedWork is ignored and does not reject the job.
func TestDecodeInbound_estimatedWork(t *testing.T) {
	settings := &Settings{}
	if err := json.Unmarshal([]byte(`{"classes":[{"name":"stock-check","effect":"safe","deadline":5000000}]}`), settings); err != nil {
		t.Fatal(err)
	}
	(&LiveSettings{}).Replace(settings, func(scheduler.Settings) {})
	for text, want := range map[string]time.Duration{"152000": 152 * time.Millisecond, "": 0, "-5": 0, "many": 0, "NaN": 0, "1e300": 0} {
		r, err := http.NewRequest("POST", "/stock-check", strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Req-Id", "a")
		r.Header.Set("Req-Cost", text)
		if job, err := DecodeInbound(r, settings, time.Now()); err != nil || job.EstimatedWork != want {
			t.Errorf("Req-Cost %q: job %+v, error %v, want estimated work %v", text, job, err, want)
		}
	}
}
