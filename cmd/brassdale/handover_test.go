package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The program is started again beside itself: clients find one dispatcher throughout. What waits at the listener is
// the successor's, open jobs end where they are, kept connections end behind an answer, an id is open once.
func TestHandover_noRequestLost(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Idempotency-Key"), "held") {
			<-release
		}
		completeJob(worker, conn, r)
	})
	dispatcher := startDispatcher(t, "", worker)
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	ask := func(key string) *http.Response {
		resp, err := kept.Do(newRequest(dispatcher.http1URL, key))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body) // else its connection is not kept
		resp.Body.Close()
		return resp
	}
	if resp := ask("first"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("before: %d, closes %v", resp.StatusCode, resp.Close)
	}
	held := dispatcher.sendInBackground(worker, "held")

	// Clients with a connection for each job, all the time.
	stop, done := make(chan struct{}), make(chan int)
	go func() {
		jobs := 0
		defer func() { done <- jobs }()
		for each := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}); ; jobs++ {
			select {
			case <-stop:
				return
			default:
			}
			if resp, err := each.Do(newRequest(dispatcher.http1URL, fmt.Sprint("each-", jobs))); err != nil {
				t.Errorf("job %d: %v", jobs, err)
			} else if resp.Body.Close(); resp.StatusCode != 200 {
				t.Errorf("job %d: %d", jobs, resp.StatusCode)
			}
		}
	}()
	successor := dispatcher.startSuccessor("")
	if successor.http1URL != dispatcher.http1URL {
		t.Fatalf("serves at %s, not at %s", successor.http1URL, dispatcher.http1URL)
	}
	if status, _ := successor.callAdmin("GET", "/_ready", ""); status != 200 {
		t.Errorf("ready: %d", status)
	}
	dispatcher.waitForHandovers(1)
	if resp := ask("kept"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("on a kept connection: %d, closes %v", resp.StatusCode, resp.Close)
	}
	dispatcher.terminate()
	close(release)
	if status := <-held; status != 200 {
		t.Errorf("the open job: %d", status)
	}
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	successor.waitFor("the end of the predecessor", func() bool { return strings.Contains(successor.log(), "predecessor ended") })
	before := successor.metric("replies.price-part.success")
	if resp := ask("last"); resp.StatusCode != 200 || successor.metric("replies.price-part.success") <= before {
		t.Errorf("after: %d", resp.StatusCode)
	}
	close(stop)
	if jobs := <-done; jobs < 10 {
		t.Errorf("only %d jobs meanwhile", jobs)
	}
}

// Both processes together have an id open once, whichever has it.
func TestHandover_requestIDsOpenOnce(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeJob(worker, conn, r) })
	dispatcher := startDispatcher(t, "", worker)
	old := dispatcher.dial() // accepted there before the successor serves
	if err := newRequest(dispatcher.http1URL, "old").Write(old); err != nil {
		t.Fatal(err)
	}
	dispatcher.waitFor("the job", func() bool { _, jobs := worker.count(); return jobs == 1 })
	successor := dispatcher.startSuccessor("")
	dispatcher.waitForHandovers(1)
	if status, _, _ := successor.send(newRequest(successor.http1URL, "old")); status != 409 {
		t.Errorf("an id that is open at the predecessor: %d", status)
	}
	next := successor.sendInBackground(worker, "next")
	if status, _, _ := successor.send(newRequest(successor.http1URL, "other", "Req-Id", "id-next")); status != 409 {
		t.Errorf("an id that is open here: %d", status)
	}
	close(release)
	if status := <-next; status != 200 {
		t.Errorf("the job: %d", status)
	}
	if status, _, _ := successor.send(newRequest(successor.http1URL, "again", "Req-Id", "id-next")); status != 200 {
		t.Errorf("an id that is free again: %d", status)
	}
}

// A process that finds nobody, a dead one's leftovers, or one that hangs, starts alone; one whose successor dies
// serves on and can be replaced again.
func TestHandover_peerFailures(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", completeJob))
	killed := dispatcher.startSuccessor("")
	dispatcher.waitForHandovers(1)
	killed.command.Process.Kill()
	<-killed.exited
	dispatcher.waitFor("the successor's end", func() bool { return strings.Contains(dispatcher.log(), "continuing alone") })
	each := func(dispatcher *testDispatcher, key string) {
		t.Helper()
		r := newRequest(dispatcher.http1URL, key)
		r.Close = true
		if status, _, _ := dispatcher.send(r); status != 200 {
			t.Errorf("%s: %d", key, status)
		}
	}
	each(dispatcher, "on")
	if dispatcher.metric("replies.price-part.success") != 1 {
		t.Error("the job was not served by the process that is left")
	}
	dispatcher.waitFor("the name", func() bool {
		files, _ := filepath.Glob(filepath.Join(dispatcher.tempDir, "*.sock"))
		return len(files) == 1
	})
	second := dispatcher.startSuccessor("")
	dispatcher.waitForHandovers(2)
	dispatcher.terminate()
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	each(second, "second")
	second.command.Process.Kill()
	<-second.exited

	files, _ := filepath.Glob(filepath.Join(dispatcher.tempDir, "*.sock"))
	if len(files) != 1 {
		t.Fatalf("leftovers: %v", files)
	}
	afterKill := dispatcher.startSuccessor("")
	each(afterKill, "alone")
	afterKill.command.Process.Kill()
	<-afterKill.exited

	// It takes the connection and says nothing.
	hung, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dispatcher.tempDir, "hung"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer hung.Close()
	if err := os.Rename(filepath.Join(dispatcher.tempDir, "hung"), files[0]); err != nil {
		t.Fatal(err)
	}
	besideHung := dispatcher.startSuccessor("")
	each(besideHung, "beside a hung one")
	if !strings.Contains(besideHung.log(), "starting alone") {
		t.Error("it did not notice")
	}
}

// Where no Unix socket can be had the program starts and serves, and says once what it goes without.
func TestHandover_withoutUnixSockets(t *testing.T) {
	t.Parallel()
	dispatcher := &testDispatcher{t: t, discovery: &testDiscovery{revision: 1, workers: []*testWorker{startWorker(t, "a", completeJob)}, changed: make(chan struct{})}, exited: make(chan struct{})}
	dispatcher.tempDir = filepath.Join(t.TempDir(), strings.Repeat("far-", 30)) // past the 107 bytes of such a socket's path
	if err := os.Mkdir(dispatcher.tempDir, 0o700); err != nil {
		t.Fatal(err)
	}
	dispatcher.start("", func(config string) string { return config })
	for i := range 3 {
		if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint("k-", i))); status != 200 {
			t.Errorf("job %d: %d", i, status)
		}
	}
	if times := strings.Count(dispatcher.log(), "handover socket not available"); times != 1 {
		t.Errorf("said %d times", times)
	}
}

// A front that the successor has not is closed with the predecessor: clients would wait at its listener for nobody.
func TestHandover_frontendRemoved(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, progressFrontend("lines"), startWorker(t, "a", completeJob))
	successor := dispatcher.startSuccessor("")
	dispatcher.waitForHandovers(1)
	dispatcher.terminate()
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	if conn, err := net.Dial("tcp", strings.TrimPrefix(dispatcher.progressURL, "http://")); err == nil {
		conn.Close()
		t.Error("the front that is off takes connections")
	}
	if status, _, _ := successor.send(newRequest(successor.http1URL, "k")); status != 200 {
		t.Errorf("the front that is on: %d", status)
	}
}
