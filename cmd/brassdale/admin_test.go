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

// TestAdminAPI_unfinishedAndInvalidCalls checks that other calls are answered within 1 s while more unfinished calls are open than the
// admin API accepts at a time, and that invalid calls are answered with the status for their fault.
func TestAdminAPI_unfinishedAndInvalidCalls(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", completeJob))
	for i := range 40 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(dispatcher.adminURL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, []string{"", "GET /_ready HT", "POST /_workers/detach HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\na"}[i%3])
		if i%5 == 0 {
			calledAt := time.Now()
			if status, _ := dispatcher.callAdmin("GET", "/_ready", ""); status != 200 || time.Since(calledAt) > time.Second {
				t.Errorf("with %d unfinished calls: status %d after %v, want 200 within 1 s", i, status, time.Since(calledAt))
			}
		}
	}
	for _, test := range []struct {
		method, path, body string
		want               int
	}{
		{"POST", "/_ready", "", 405}, {"GET", "/_workers/detach", "", 405}, {"GET", "/nowhere", "", 404},
		{"POST", "/_workers/detach", "", 400}, {"POST", "/_workers/detach", strings.Repeat("a", 300), 400},
		{"POST", "/_workers/detach", "never-listed", 404}, {"POST", "/_workers/attach", "never-listed", 404},
		{"POST", "/_workers/detach", "a\n", 200}, {"POST", "/_workers/detach", "a", 200}, {"POST", "/_workers/attach", "a", 200},
	} {
		if status, text := dispatcher.callAdmin(test.method, test.path, test.body); status != test.want {
			t.Errorf("%s %s %.20q: status %d %s, want %d", test.method, test.path, test.body, status, text, test.want)
		}
	}
	if _, err := http.Get(dispatcher.http1URL + "/_vars"); err != nil {
		t.Error(err)
	} else if status, _, _ := dispatcher.sendKey("k"); status != 200 {
		t.Errorf("a request: status %d, want 200", status)
	}
	dispatcher.terminate()
	dispatcher.waitFor("no readiness after SIGTERM", func() bool {
		status, _ := dispatcher.callAdmin("GET", "/_ready", "")
		return status == 503
	})
}

// TestMetrics_eachRequestCountedOnce checks the metrics of requests by their outcome, of attempts, of open requests and of reloads.
func TestMetrics_eachRequestCountedOnce(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		switch key := r.Header.Get("Idempotency-Key"); {
		case strings.HasPrefix(key, "bad"):
			respondRaw("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")(worker, conn, r)
		case key == "waits":
			<-release
			fallthrough
		default:
			completeJob(worker, conn, r)
		}
	})
	dispatcher := startDispatcher(t, "", worker)
	dispatcher.checkMetrics("at the start", map[string]int{"replies.price-part.success": 0, "replies.price-part.overload": 0,
		"replies.price-part.error": 0, "dispatches": 0, "concurrent": 0, "targets": 1, "targets_disabled": 0, "reload_success": 0, "reload_failure": 0})
	for i := range 3 {
		dispatcher.sendKey(fmt.Sprint("good-", i))
	}
	waiting := dispatcher.sendInBackground(worker, "waits")
	dispatcher.checkMetrics("with an open job", map[string]int{"concurrent": 1, "dispatches": 4, "replies.price-part.success": 3})
	close(release)
	if status := <-waiting; status != 200 {
		t.Errorf("the open request: status %d, want 200", status)
	}
	dispatcher.sendKey("x", "Req-Deadline-Ms", "soon") // invalid: not counted
	failed, _, _ := dispatcher.sendKey("bad", "Req-Deadline-Ms", "300")
	if failed != 502 && failed != 504 {
		t.Errorf("a request whose job fails at the worker: status %d, want 502 or 504", failed)
	}
	dispatcher.checkMetrics("after a failure", map[string]int{"concurrent": 0,
		"replies.price-part.success": 4, "replies.price-part.error": 1, "replies.price-part.overload": 0})
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "a"); status != 200 {
		t.Errorf("detach: status %d, want 200", status)
	}
	rejected, _, _ := dispatcher.sendKey("nobody", "Req-Deadline-Ms", "300")
	if rejected != 503 {
		t.Errorf("without a worker: status %d, want 503", rejected)
	}
	dispatcher.checkMetrics("without a worker", map[string]int{"replies.price-part.overload": 1, "targets": 1, "targets_disabled": 1})
	dispatcher.reload("{")
	dispatcher.waitForMetric("reload_failure", 1)
	dispatcher.reload(dispatcher.config)
	dispatcher.waitForMetric("reload_success", 1)
	dispatcher.checkMetrics("after reloads", map[string]int{"targets_disabled": 1, "replies.price-part.success": 4})
}

// TestDetachedWorker_getsNoRequests checks that a detached worker gets no requests from this process and its successor, regardless of
// discovery's list. Once reattached, it gets requests again at once, without a slow start. A call to either admin API applies to both
// processes.
func TestDetachedWorker_getsNoRequests(t *testing.T) {
	t.Parallel()
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := startDispatcher(t, "", workerA, workerB)
	discovery := dispatcher.discovery
	sendEight := func(dispatcher *testDispatcher, keyPrefix string) (atDetached int) {
		t.Helper()
		before := workerA.jobCount()
		dispatcher.checkServed(keyPrefix, 8)
		return workerA.jobCount() - before
	}
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "a"); status != 200 {
		t.Fatalf("detach: status %d, want 200", status)
	}
	if jobs := sendEight(dispatcher, "detached"); jobs != 0 {
		t.Errorf("%d requests at the detached worker, want 0", jobs)
	}
	discovery.update(func() { workerA.phase = "leaving" })
	dispatcher.waitForLog("revision=2")
	discovery.update(func() { workerA.phase = "active" })
	dispatcher.waitForLog("revision=3")
	dispatcher.reload(dispatcher.config)
	dispatcher.waitForLog("settings reloaded")
	if jobs := sendEight(dispatcher, "listed"); jobs != 0 {
		t.Errorf("%d requests at the detached worker after it was listed as active again, want 0", jobs)
	}
	successor := dispatcher.startSuccessor("")
	if jobs := sendEight(successor, "successor"); jobs != 0 || successor.metric("targets_disabled") != 1 {
		t.Errorf("successor: %d requests at the detached worker, targets_disabled=%d, want 0 and 1", jobs, successor.metric("targets_disabled"))
	}
	if status, _ := successor.callAdmin("POST", "/_workers/attach", "a"); status != 200 || dispatcher.metric("targets_disabled") != 0 {
		t.Errorf("attach at the successor: status %d, targets_disabled=%d at the predecessor, want 200 and 0", status, dispatcher.metric("targets_disabled"))
	}
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "a"); status != 200 || successor.metric("targets_disabled") != 1 {
		t.Errorf("detach at the predecessor: status %d, targets_disabled=%d at the successor, want 200 and 1", status, successor.metric("targets_disabled"))
	}
	if status, _ := successor.callAdmin("POST", "/_workers/attach", "a"); status != 200 {
		t.Errorf("attach: status %d, want 200", status)
	}
	rounds := 0
	successor.waitFor("a request at the reattached worker", func() bool {
		rounds++
		return sendEight(successor, fmt.Sprint("reattached-", rounds, "-")) > 0
	})
}

// TestDetachedWorkers_restoredAfterKill checks that the file of detached workers is written before the call is answered: a kill right after
// the answer loses nothing. An invalid file is logged and otherwise ignored.
func TestDetachedWorkers_restoredAfterKill(t *testing.T) {
	t.Parallel()
	detached := startWorker(t, "a", completeJob)
	dispatcher := startDispatcher(t, "", detached, startWorker(t, "b", completeJob))
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "a"); status != 200 {
		t.Fatalf("detach: status %d, want 200", status)
	}
	files, _ := filepath.Glob(filepath.Join(dispatcher.tempDir, "*.detached"))
	if len(files) != 1 {
		t.Fatalf("files of detached workers: %v, want one", files)
	}
	dispatcher.kill()
	restarted := dispatcher.startSuccessor("") // finds the files of a killed process
	restarted.checkServed("after-kill-", 20)   // the first request must not reach the worker; the metric may change later
	if jobs := detached.jobCount(); jobs != 0 || !strings.Contains(restarted.log(), "starting alone") {
		t.Errorf("after a kill: %d jobs at the detached worker, want 0 and \"starting alone\" in the log", jobs)
	}
	restarted.waitForMetric("targets_disabled", 1)
	for _, text := range []string{"", "{", `{"name":"another","workers":["a"]}`} {
		restarted.kill()
		if err := os.WriteFile(files[0], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		restarted = dispatcher.startSuccessor("")
		restarted.checkServed("invalid-file-", 20) // once these are served, the work that was queued at the start is done
		if detached := restarted.metric("targets_disabled"); detached != 0 || strings.Count(restarted.log(), "detached workers not read") != 1 {
			t.Errorf("file %q: %d detached workers, want 0 and one log line \"detached workers not read\"", text, detached)
		}
	}
}

// TestMetrics_unansweredConnections checks that connections which are closed without an answer are counted. The platform counts them as
// rejections.
func TestMetrics_unansweredConnections(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcherWith(t, "", withSetting(`"sockets":1024`, `"sockets":128`))
	if unsent, unanswered := dispatcher.metric("failed_unsent"), dispatcher.metric("connections_unanswered"); unsent != 0 || unanswered != 0 {
		t.Errorf("at the start: failed_unsent=%d, connections_unanswered=%d, want 0 and 0", unsent, unanswered)
	}
	dispatcher.dial().Close()
	for range 100 { // more than are accepted, so some are closed without an answer
		dispatcher.dial()
	}
	dispatcher.waitFor("connections_unanswered > 0", func() bool { return dispatcher.metric("connections_unanswered") > 0 })
}
