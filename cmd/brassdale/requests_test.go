package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestRequest_servedOrRejectedAsInvalid checks which parts of a request reach a worker, and with which statuses invalid requests are
// answered. No invalid request reaches a worker.
func TestRequest_servedOrRejectedAsInvalid(t *testing.T) {
	t.Parallel()
	var received http.Header
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		received = r.Header
		received.Set("Target", r.RequestURI)
		completeJob(worker, conn, r)
	})
	dispatcher := startDispatcher(t, "", worker)
	if status, body, _ := dispatcher.sendKey("k1"); status != 200 || body != "priced" {
		t.Errorf("a valid request: status %d %q, want 200 \"priced\"", status, body)
	}
	for name, want := range map[string]string{"Req-Id": "id-k1", "Idempotency-Key": "k1", "Target": "/price-part?sheet=7", "Body": "drawing"} {
		if value := received.Get(name); value != want {
			t.Errorf("%s reached the worker as %q, want %q", name, value, want)
		}
	}
	checkInvalidRequests(t, dispatcher)
	if jobs := worker.jobCount(); jobs != 2 { // one of them is the valid request of checkInvalidRequests
		t.Errorf("%d jobs at the worker, want 2", jobs)
	}
}

// checkInvalidRequests checks the answers to invalid requests, and to a valid request with an unknown extension.
func checkInvalidRequests(t *testing.T, dispatcher *testDispatcher) {
	t.Helper()
	resp, err := http.Get(dispatcher.http1URL + "/price-part")
	if err != nil || resp.StatusCode != 405 || resp.Header.Get("Allow") != "POST" {
		t.Errorf("GET: got answer %v, error %v, want status 405 with Allow: POST", resp, err)
	}
	large := newRequest(dispatcher.http1URL, "k2")
	setBody(large, 64<<10+1, -1)
	unknown := newRequest(dispatcher.http1URL, "k3")
	unknown.URL.Path = "/paint"
	for name, test := range map[string]struct {
		request *http.Request
		status  int
	}{
		"too large":       {large, 413},
		"unknown class":   {unknown, 404},
		"unknown kind":    {newRequest(dispatcher.http1URL, "k", "Req-Kind", "paint"), 404},
		"no id":           {newRequest(dispatcher.http1URL, "k", "Req-Id", ""), 400},
		"no key":          {newRequest(dispatcher.http1URL, "k", "Idempotency-Key", ""), 400},
		"deadline":        {newRequest(dispatcher.http1URL, "k", "Req-Deadline-Ms", "soon"), 400},
		"negative":        {newRequest(dispatcher.http1URL, "k", "Req-Deadline-Ms", "-1"), 400},
		"signed":          {newRequest(dispatcher.http1URL, "k", "Req-Deadline-Ms", "+5"), 400},
		"id not plain":    {newRequest(dispatcher.http1URL, "k", "Req-Id", "\u00e9"), 400},
		"extra":           {newRequest(dispatcher.http1URL, "k", "Req-Extra", "slots=many"), 400},
		"extra and noise": {newRequest(dispatcher.http1URL, "k4", "Req-Extra", "slots=2,new=1"), 200},
	} {
		if status, body, _ := dispatcher.send(test.request); status != test.status {
			t.Errorf("%s: status %d %q, want %d", name, status, body, test.status)
		}
	}
	for _, text := range []string{
		"POST /price-part HTTP/1.1\r\nHost: h\r\nContent-Length: -4\r\n\r\n",
		"POST /price-part HTTP/1.1\r\nHost: h\r\nReq Id: 1\r\n\r\n",
	} {
		conn := dispatcher.dial()
		io.WriteString(conn, text)
		if answer, _ := io.ReadAll(conn); !strings.HasPrefix(string(answer), "HTTP/1.1 400 ") {
			t.Errorf("%q: answered %q, want status 400", text, answer)
		}
		conn.Close()
	}
}

// TestRequestID_alreadyOpen checks that a second request with the ID of an open one is answered 409, and the first is served.
func TestRequestID_alreadyOpen(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", completeWhenReleased(release))
	dispatcher := startDispatcher(t, "", worker)
	answered := dispatcher.sendInBackground(worker, "k")
	if status, _, _ := dispatcher.sendKey("other", "Req-Id", "id-k"); status != 409 {
		t.Errorf("the ID of an open request: status %d, want 409", status)
	}
	close(release)
	if status := <-answered; status != 200 {
		t.Errorf("the first request: status %d, want 200", status)
	}
	if status, _, _ := dispatcher.sendKey("later", "Req-Id", "id-k"); status != 200 {
		t.Errorf("the ID of an answered request: status %d, want 200", status)
	}
}
