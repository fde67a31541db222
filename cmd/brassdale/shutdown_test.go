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

// SIGTERM: not ready at once, all that is open answered, then the end, by itself.
func TestShutdown_answersOpenRequest(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeJob(worker, conn, r) })
	dispatcher := startDispatcher(t, "", worker)
	answered := dispatcher.sendInBackground(worker, "k")
	dispatcher.terminate()
	dispatcher.waitFor("not ready", func() bool {
		resp, err := http.Get(dispatcher.http1URL + "/health/ready")
		if err != nil {
			t.Fatal("closed at once, though the front still brings clients:", err)
		}
		resp.Body.Close()
		return resp.StatusCode == 503
	})
	dispatcher.waitFor("the listener closed", dispatcher.refusesConnections)
	close(release)
	if status := <-answered; status != 200 {
		t.Errorf("the open job: %d", status)
	}
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
}

// After SIGTERM the platform kills 0.7 s after the longest deadline, of which it counts 3 s at most. Until
// shortly before, clients are served on, also on new connections; then a job whose endpoint is silent gets its answer.
func TestShutdown_servesUntilShortlyBeforeKill(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", stallOnStuckKeys)
	dispatcher := startDispatcher(t, "", worker)
	kept := &http.Client{Transport: &http.Transport{}}
	ask := func(key string) int {
		resp, err := kept.Do(newRequest(dispatcher.http1URL, key))
		if err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	answered := dispatcher.sendInBackground(worker, "stuck")
	ask("before")
	begin := time.Now()
	dispatcher.terminate()
	for i := 0; time.Since(begin) < time.Second; i++ {
		if status := ask(fmt.Sprint("kept-", i)); status != 200 {
			t.Errorf("on a kept connection: %d", status)
		}
		if conn := dispatcher.dial(); conn != nil { // the front may have nobody else to bring a client to
			conn.Close()
		}
	}
	if status := <-answered; status != 502 && status != 504 {
		t.Errorf("the stuck job: %d", status)
	}
	dispatcher.waitFor("the end", func() bool { return strings.Contains(dispatcher.log(), "msg=\"shutdown complete\"") })
	took := time.Since(begin) // the race detector holds up the exit itself by a second
	if <-dispatcher.exited; took > 3700*time.Millisecond || dispatcher.command.ProcessState.ExitCode() != 0 {
		t.Errorf("exit code %d after %v: it would have been killed", dispatcher.command.ProcessState.ExitCode(), took)
	}
}

// While it leaves no new connection comes: when all are busy, the platform's front tells whoever wants one that
// nobody is here, and sends no more requests on those that come free either. So the last free ones are kept free,
// by a refusal that leaves the connection open.
func TestShutdown_reservesFreeConnections(t *testing.T) {
	t.Parallel()
	var workers []*testWorker // so many that all jobs are taken at once: one that the module refuses frees its connection
	for i := range 12 {
		workers = append(workers, startWorker(t, fmt.Sprint("worker-", i), stallOnStuckKeys))
	}
	dispatcher := startDispatcherWith(t, "", withoutLateWeight, workers...) // what waits here is refused soon
	for i := range 30 {
		if err := newRequest(dispatcher.http1URL, fmt.Sprint("stuck-", i)).Write(dispatcher.dial()); err != nil {
			t.Fatal(err)
		}
	}
	free, other := dispatcher.dial(), dispatcher.dial()
	reader := bufio.NewReader(free)
	ask := func(i int) *http.Response {
		if err := newRequest(dispatcher.http1URL, fmt.Sprint("k-", i)).Write(free); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp
	}
	io.WriteString(other, "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n") // no job: it stays free
	dispatcher.waitFor("all jobs at the endpoints", func() bool { return totalJobs(workers...) >= 30 })
	dispatcher.terminate()
	i, resp := 0, (*http.Response)(nil)
	dispatcher.waitFor("a refusal for the sake of the last free connections", func() bool {
		resp = ask(i)
		i++
		return strings.Contains(dispatcher.log(), "last free connections during shutdown")
	})
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || resp.Close {
		t.Errorf("answered %d, Retry-After %q, closes %v", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
	}
}

// Where deadlines are short, the door stays open for a part of the time that is left, and all that comes is answered.
func TestShutdown_shortDeadlines(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	dispatcher := startDispatcherWith(t, "", func(config string) string {
		return strings.Replace(config, `"deadline":5000000`, `"deadline":400000`, 1)
	}, worker)
	dispatcher.send(newRequest(dispatcher.http1URL, "before"))
	dispatcher.terminate()
	for i, begin := 0, time.Now(); time.Since(begin) < 400*time.Millisecond; i++ {
		conn, err := net.Dial("tcp", strings.TrimPrefix(dispatcher.http1URL, "http://"))
		if err != nil {
			t.Fatalf("%v behind SIGTERM: %v", time.Since(begin), err)
		}
		newRequest(dispatcher.http1URL, fmt.Sprint("k-", i)).Write(conn)
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v behind SIGTERM: %v", time.Since(begin), err)
		}
		conn.Close()
		time.Sleep(20 * time.Millisecond)
	}
	dispatcher.waitForExit(time.Now().Add(3 * time.Second))
}

// SIGTERM with a job out, one whose body is half here, one that waits behind another on its connection, and a client that
// rests and sends on until its connection ends; with SIGHUP and a second SIGTERM in between, and a worker that hangs. Each
// whole request that was read is answered, and no connection is reset.
func TestShutdown_requestsInEachState(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", stallOnStuckKeys)
	dispatcher := startDispatcher(t, "", worker)
	hung, half, piped, rests := dispatcher.dial(), dispatcher.dial(), dispatcher.dial(), dispatcher.dial()
	newRequest(dispatcher.http1URL, "stuck-1").Write(hung)
	var text bytes.Buffer
	newRequest(dispatcher.http1URL, "half").Write(&text)
	half.Write(text.Bytes()[:text.Len()-3])
	newRequest(dispatcher.http1URL, "stuck-2").Write(piped)
	newRequest(dispatcher.http1URL, "behind").Write(piped)
	dispatcher.waitFor("the jobs at the worker", func() bool { _, jobs := worker.count(); return jobs >= 2 })
	resting := bufio.NewReader(rests)
	ask := func(i int) (*http.Response, error) {
		newRequest(dispatcher.http1URL, fmt.Sprint("rests-", i)).Write(rests)
		resp, err := http.ReadResponse(resting, nil)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
	if resp, err := ask(0); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	dispatcher.terminate()
	dispatcher.reload(dispatcher.config)
	dispatcher.terminate()
	half.Write(text.Bytes()[text.Len()-3:])
	answer := func(name string, reader *bufio.Reader) int {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			return 0
		}
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	if got := answer("half read at SIGTERM", bufio.NewReader(half)); got != 200 {
		t.Errorf("half read at SIGTERM: %d", got)
	}
	var err error
	for i := 1; err == nil; i++ {
		var resp *http.Response
		if resp, err = ask(i); err == nil && resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Errorf("on a resting connection: %d", resp.StatusCode)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a resting connection ended with %v", err)
	}
	for name, conn := range map[string]net.Conn{"hung": hung, "hung, one behind it": piped} {
		if got := answer(name, bufio.NewReader(conn)); got != 502 && got != 504 {
			t.Errorf("%s: %d", name, got)
		}
	}
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
}

// A process had been told to end. A client wrote its request in pieces, and wrote the last byte 76 ms behind the end of the process
// ("shutdown complete" open_requests=0): its connection had been closed with no answer. A request that is half here when the
// process ends is refused with a whole answer, so that its client knows that nothing ran, and the last byte is nobody's.
func TestShutdown_rejectsUnfinishedRequests(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	dispatcher := startDispatcherWith(t, "", func(config string) string {
		return strings.Replace(config, `"deadline":5000000`, `"deadline":600000`, 1)
	}, worker)
	for _, part := range []int{10, -1} { // in its head, and before its last byte
		conn := dispatcher.dial()
		defer conn.Close()
		var text bytes.Buffer
		newRequest(dispatcher.http1URL, "half", "Req-Deadline-Ms", "600").Write(&text)
		if part < 0 {
			part += text.Len()
		}
		answered := make(chan error, 1)
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("a request of %d bytes, %d of them sent, is answered %d", text.Len(), part, resp.StatusCode)
			}
			answered <- err
		}()
		go func() { // it goes on until shortly before the kill
			for i, left := 0, text.Bytes()[:part]; i < part; i++ {
				conn.Write(left[i : i+1])
				time.Sleep(5 * time.Millisecond)
			}
		}()
		defer func() {
			if err := <-answered; err != nil {
				t.Errorf("%d bytes sent: %v", part, err)
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	dispatcher.terminate()
	dispatcher.waitForExit(time.Now().Add(1300 * time.Millisecond))
	if _, jobs := worker.count(); jobs != 0 {
		t.Errorf("%d jobs reached the worker", jobs)
	}
}
