package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestShutdown_answersOpenRequest checks that after SIGTERM a process reports that it is not ready while its listener is still open,
// answers the open request, and exits by itself.
func TestShutdown_answersOpenRequest(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", completeWhenReleased(release))
	dispatcher := startDispatcher(t, "", worker)
	answered := dispatcher.sendInBackground(worker, "k")
	dispatcher.terminate()
	dispatcher.waitFor("status 503 from /health/ready", func() bool {
		resp, err := http.Get(dispatcher.http1URL + "/health/ready")
		if err != nil {
			t.Fatal("the listener was closed before /health/ready reported status 503:", err)
		}
		resp.Body.Close()
		return resp.StatusCode == 503
	})
	dispatcher.waitFor("a closed listener", dispatcher.refusesConnections)
	close(release)
	if status := <-answered; status != 200 {
		t.Errorf("the open request: status %d, want 200", status)
	}
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
}

// TestShutdown_servesUntilShortlyBeforeKill checks that for 1 s after SIGTERM clients are served, also on new connections, and that a
// request whose worker stalls is answered before the process ends, within 3.7 s. The platform kills the process min(longest deadline, 3 s)
// + 0.7 s after SIGTERM.
func TestShutdown_servesUntilShortlyBeforeKill(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", stallOnStuckKeys)
	dispatcher := startDispatcher(t, "", worker)
	client := newHTTP1Client() // with an idle connection of its own
	send := func(key string) int {
		resp, err := client.Do(newRequest(dispatcher.http1URL, key))
		if err != nil {
			t.Fatalf("%s: no answer: %v", key, err)
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	answered := dispatcher.sendInBackground(worker, "stuck")
	send("before")
	terminatedAt := time.Now()
	dispatcher.terminate()
	for i := 0; time.Since(terminatedAt) < time.Second; i++ {
		if status := send(fmt.Sprint("idle-", i)); status != 200 {
			t.Errorf("on an idle connection: status %d, want 200", status)
		}
		dispatcher.dial().Close() // new connections must be accepted, because the client may have no other dispatcher
	}
	if status := <-answered; status != 502 && status != 504 {
		t.Errorf("a request whose worker stalls: status %d, want 502 or 504", status)
	}
	dispatcher.waitForLog("msg=\"shutdown complete\"")
	took := time.Since(terminatedAt) // without the exit itself, which takes a second more under the race detector
	if <-dispatcher.exited; took > 3700*time.Millisecond || dispatcher.command.ProcessState.ExitCode() != 0 {
		t.Errorf("exit code %d after %v, want 0 within 3.7 s", dispatcher.command.ProcessState.ExitCode(), took)
	}
}

// TestShutdown_reservesFreeConnections checks that during a shutdown requests on the last free connections are rejected with advice to
// retry, and that these connections stay open. During a shutdown no new connections arrive. If all were busy, the platform's load balancer
// would count the process as gone, and send no requests on connections that become free later.
func TestShutdown_reservesFreeConnections(t *testing.T) {
	t.Parallel()
	workers := startWorkers(t, 12, stallOnStuckKeys)                        // enough to start all jobs at once, because a rejected request frees its connection
	dispatcher := startDispatcherWith(t, "", withoutLateWeight, workers...) // waiting requests are rejected soon
	for i := range 30 {
		if err := newRequest(dispatcher.http1URL, fmt.Sprint("stuck-", i)).Write(dispatcher.dial()); err != nil {
			t.Fatal(err)
		}
	}
	free, other := dispatcher.dial(), dispatcher.dial()
	reader := bufio.NewReader(free)
	send := func(i int) *http.Response {
		if err := newRequest(dispatcher.http1URL, fmt.Sprint("k-", i)).Write(free); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: no answer: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp
	}
	io.WriteString(other, "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n") // not a request for a job, so the connection stays free
	dispatcher.waitFor("30 jobs at the workers", func() bool { return totalJobs(workers...) >= 30 })
	dispatcher.terminate()
	sent, resp := 0, (*http.Response)(nil)
	dispatcher.waitFor("a rejection on the last free connections", func() bool {
		resp = send(sent)
		sent++
		return strings.Contains(dispatcher.log(), "last free connections during shutdown")
	})
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || resp.Close {
		t.Errorf("status %d, Retry-After %q, connection closed: %v, want 503 with Retry-After, and false", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
	}
}

// TestShutdown_shortDeadlines checks that for 0.4 s after SIGTERM new connections are accepted and served, even if all deadlines are only
// 0.4 s.
func TestShutdown_shortDeadlines(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	dispatcher := startDispatcherWith(t, "", withSetting(`"deadline":5000000`, `"deadline":400000`), worker)
	dispatcher.sendKey("before")
	dispatcher.terminate()
	for i, terminatedAt := 0, time.Now(); time.Since(terminatedAt) < 400*time.Millisecond; i++ {
		conn, err := net.Dial("tcp", strings.TrimPrefix(dispatcher.http1URL, "http://"))
		if err != nil {
			t.Fatalf("no connection was accepted %v after SIGTERM: %v", time.Since(terminatedAt), err)
		}
		newRequest(dispatcher.http1URL, fmt.Sprint("k-", i)).Write(conn)
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("no answer with status 200 %v after SIGTERM: %v", time.Since(terminatedAt), err)
		}
		conn.Close()
		time.Sleep(20 * time.Millisecond)
	}
	dispatcher.waitForExit(time.Now().Add(3 * time.Second))
}

// readStatus reads an answer and returns its status. It reports an error as a test error and then returns 0.
func readStatus(t *testing.T, name string, conn net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("%s: no answer: %v", name, err)
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestShutdown_requestsInEachState checks a shutdown, with SIGHUP and a second SIGTERM in between, with a request whose worker stalls, one
// whose body is half received, one that is pipelined after another, and a client that sends requests until its connection ends. Each
// complete request that was read is answered, and no connection is reset.
func TestShutdown_requestsInEachState(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", stallOnStuckKeys)
	dispatcher := startDispatcher(t, "", worker)
	stalled, half, pipelined, repeating := dispatcher.dial(), dispatcher.dial(), dispatcher.dial(), dispatcher.dial()
	newRequest(dispatcher.http1URL, "stuck-1").Write(stalled)
	var text bytes.Buffer
	newRequest(dispatcher.http1URL, "half").Write(&text)
	half.Write(text.Bytes()[:text.Len()-3])
	newRequest(dispatcher.http1URL, "stuck-2").Write(pipelined)
	newRequest(dispatcher.http1URL, "after-stuck").Write(pipelined)
	dispatcher.waitFor("2 jobs at the worker", func() bool { return worker.jobCount() >= 2 })
	answers := bufio.NewReader(repeating)
	repeat := func(i int) (*http.Response, error) {
		newRequest(dispatcher.http1URL, fmt.Sprint("repeat-", i)).Write(repeating)
		resp, err := http.ReadResponse(answers, nil)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
	if resp, err := repeat(0); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	dispatcher.terminate()
	dispatcher.reload(dispatcher.config)
	dispatcher.terminate()
	half.Write(text.Bytes()[text.Len()-3:])
	if status := readStatus(t, "half received at SIGTERM", half); status != 200 {
		t.Errorf("half received at SIGTERM: status %d, want 200", status)
	}
	var err error
	for i := 1; err == nil; i++ {
		var resp *http.Response
		if resp, err = repeat(i); err == nil && resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Errorf("on an idle connection: status %d, want 200 or 503", resp.StatusCode)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("an idle connection ended with %v, want EOF", err)
	}
	for name, conn := range map[string]net.Conn{"stalled": stalled, "stalled, with one pipelined after it": pipelined} {
		if status := readStatus(t, name, conn); status != 502 && status != 504 {
			t.Errorf("%s: status %d, want 502 or 504", name, status)
		}
	}
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
}

// TestShutdown_rejectsUnfinishedRequests checks that requests which are incomplete when the process ends are answered 503, so that their
// clients know that no job ran. One request has only 10 bytes and one lacks its last byte; both are sent byte by byte.
func TestShutdown_rejectsUnfinishedRequests(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	dispatcher := startDispatcherWith(t, "", withSetting(`"deadline":5000000`, `"deadline":600000`), worker)
	for _, size := range []int{10, -1} { // -1: all but the last byte
		conn := dispatcher.dial()
		defer conn.Close()
		var text bytes.Buffer
		newRequest(dispatcher.http1URL, "half", "Req-Deadline-Ms", "600").Write(&text)
		if size < 0 {
			size += text.Len()
		}
		answered := make(chan error, 1)
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%d of %d bytes sent: status %d, want 503", size, text.Len(), resp.StatusCode)
			}
			answered <- err
		}()
		go func() { // until shortly before the kill
			for i := range size {
				conn.Write(text.Bytes()[i : i+1])
				time.Sleep(5 * time.Millisecond)
			}
		}()
		defer func() {
			if err := <-answered; err != nil {
				t.Errorf("%d bytes sent: want an answer, got error %v", size, err)
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	dispatcher.terminate()
	dispatcher.waitForExit(time.Now().Add(1300 * time.Millisecond))
	if jobs := worker.jobCount(); jobs != 0 {
		t.Errorf("%d jobs at the worker, want 0", jobs)
	}
}

// TestShutdown_requestIsAsYoungAsItArrived guards against rejecting requests as too late right after they arrive during a shutdown: the
// time that the shutdown leaves them is shorter than their deadline, and the difference must not count as time that has passed at the
// client.
func TestShutdown_requestIsAsYoungAsItArrived(t *testing.T) {
	t.Parallel()
	startsLate := func(worker *testWorker, conn net.Conn, r *http.Request) {
		time.Sleep(60 * time.Millisecond)
		completeJob(worker, conn, r)
	}
	worker := startWorker(t, "a", startsLate)
	dispatcher := startDispatcherWith(t, "", withSetting(`"lateWorth":0.1`, `"lateWorth":0`), worker)
	client := newHTTP1Client()
	sendOn := func(key string) int {
		status, _, _ := trySend(client, newRequest(dispatcher.http1URL, key))
		return status
	}
	if status := sendOn("before"); status != http.StatusOK {
		t.Fatalf("before SIGTERM: status %d, want 200", status)
	}
	dispatcher.terminate()
	for terminatedAt, i := time.Now(), 0; time.Since(terminatedAt) < time.Second; i++ {
		if status := sendOn(fmt.Sprint("after-", i)); status != http.StatusOK {
			t.Fatalf("%v after SIGTERM: status %d, want 200", time.Since(terminatedAt), status)
		}
	}
}
