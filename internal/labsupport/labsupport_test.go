package labsupport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

// TestJob checks what a dispatcher receives for a job, that a complete answer is returned, and that an incomplete one is an error.
func TestJob(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got := []string{r.Method, r.URL.Path, string(body)}
		for _, name := range []string{"Req-Id", "Req-Kind", "Req-Owner", "Idempotency-Key", "Req-Deadline-Ms"} {
			got = append(got, r.Header.Get(name))
		}
		if r.Header.Get("Req-Owner") == "incomplete" {
			w.Header().Set("Content-Length", "1000")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, strings.Join(got, "|"))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	job := Job{Seed: 0xab, Number: 0xcd, Class: "render", Account: "team-1"}
	answer, err := job.Post(context.Background(), http.DefaultClient, address)
	id := "00000000000000ab00000000000000cd"
	want := JobAnswer{http.StatusServiceUnavailable, "POST|/render|drawing|" + id + "|render|team-1|" + id + "|5000"}
	if err != nil || answer != want {
		t.Errorf("got %+v, %v, want %+v", answer, err, want)
	}
	job.Account = "incomplete"
	if answer, err := job.Post(context.Background(), http.DefaultClient, address); err == nil {
		t.Errorf("no error for an incomplete answer: %+v", answer)
	}
}

// TestWaitUntil checks a wait that reaches its time, and one whose context ends first.
func TestWaitUntil(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	at := time.Now().Add(20 * time.Millisecond)
	if !WaitUntil(ctx, at) || time.Now().Before(at) {
		t.Error("WaitUntil returned false, or before the time")
	}
	cancel()
	if WaitUntil(ctx, time.Now().Add(time.Hour)) {
		t.Error("WaitUntil returned true after the end of the context")
	}
}

// TestReadUsage checks that this process has used memory, that processor time and the interface's bytes grow with use, and that a process
// that does not exist is an error.
func TestReadUsage(t *testing.T) {
	before, err := ReadProcessUsage(os.Getpid())
	if err != nil || before.MemoryMB < 1 {
		t.Fatalf("%+v, %v", before, err)
	}
	loopback, err := ReadLoopbackUsage()
	if err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(10 * time.Second)
	for used := before; used.CPUMS-before.CPUMS < 50; {
		if used, err = ReadProcessUsage(os.Getpid()); err != nil || time.Now().After(deadline) {
			t.Fatalf("processor time %v ms, then %v ms, %v", before.CPUMS, used.CPUMS, err)
		}
	}
	conn, err := net.Dial("udp", "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(make([]byte, 1000))
	after, err := ReadLoopbackUsage()
	if err != nil || after.Bytes < loopback.Bytes+1000 || after.Packets < loopback.Packets+1 {
		t.Errorf("received on loopback: %+v, then %+v, error %v", loopback, after, err)
	}
	if _, err := ReadProcessUsage(-1); err == nil {
		t.Error("no error for a process that does not exist")
	}
}

// TestParseNumber checks that numbers are parsed and that any other text gives 0.
func TestParseNumber(t *testing.T) {
	for text, want := range map[string]float64{"0": 0, "12": 12, "1.5": 1.5, "": 0, "x": 0} {
		if got := ParseNumber(text); got != want {
			t.Errorf("ParseNumber(%q) = %v, want %v", text, got, want)
		}
	}
}
