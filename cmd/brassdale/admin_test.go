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

// Callers that finish no call, more of them than the door holds, delay nobody; what is no call gets a no.
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
			begin := time.Now()
			if status, _ := dispatcher.callAdmin("GET", "/_ready", ""); status != 200 || time.Since(begin) > time.Second {
				t.Errorf("among %d that finish no call: %d after %v", i, status, time.Since(begin))
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
			t.Errorf("%s %s %.20q: %d %s, want %d", test.method, test.path, test.body, status, text, test.want)
		}
	}
	if _, err := http.Get(dispatcher.http1URL + "/_vars"); err != nil {
		t.Error(err)
	} else if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "k")); status != 200 {
		t.Errorf("a job: %d", status)
	}
	dispatcher.terminate()
	dispatcher.waitFor("a no after SIGTERM", func() bool { status, _ := dispatcher.callAdmin("GET", "/_ready", ""); return status == 503 })
}

// Every job is counted once, by how it ended, and a call when it is written; what was open is concurrent.
func TestMetrics_eachRequestCountedOnce(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		switch key := r.Header.Get("Idempotency-Key"); {
		case strings.HasPrefix(key, "bad"):
			respondRaw("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")(worker, conn, r)
		case strings.HasPrefix(key, "held"):
			<-release
			fallthrough
		default:
			completeJob(worker, conn, r)
		}
	})
	dispatcher := startDispatcher(t, "", worker)
	expect := func(what string, want map[string]int) {
		t.Helper()
		for name, x := range want {
			if got := dispatcher.metric(name); got != x {
				t.Errorf("%s: %s=%d, want %d", what, name, got, x)
			}
		}
	}
	expect("at the start", map[string]int{"replies.price-part.success": 0, "replies.price-part.overload": 0,
		"replies.price-part.error": 0, "dispatches": 0, "concurrent": 0, "targets": 1, "targets_disabled": 0, "reload_success": 0, "reload_failure": 0})
	for i := range 3 {
		dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint("good-", i)))
	}
	held := dispatcher.sendInBackground(worker, "held")
	expect("with an open job", map[string]int{"concurrent": 1, "dispatches": 4, "replies.price-part.success": 3})
	close(release)
	if status := <-held; status != 200 {
		t.Errorf("the held job: %d", status)
	}
	dispatcher.send(newRequest(dispatcher.http1URL, "x", "Req-Deadline-Ms", "soon")) // no job
	failed, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "bad", "Req-Deadline-Ms", "300"))
	if failed != 502 && failed != 504 {
		t.Errorf("the bad job: %d", failed)
	}
	expect("after a failure", map[string]int{"concurrent": 0, "replies.price-part.success": 4, "replies.price-part.error": 1, "replies.price-part.overload": 0})
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "a"); status != 200 {
		t.Errorf("detach: %d", status)
	}
	refused, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "nobody", "Req-Deadline-Ms", "300"))
	if refused != 503 {
		t.Errorf("with nobody left: %d", refused)
	}
	expect("with nobody left", map[string]int{"replies.price-part.overload": 1, "targets": 1, "targets_disabled": 1})
	dispatcher.reload("{")
	dispatcher.waitFor("a file turned down", func() bool { return dispatcher.metric("reload_failure") == 1 })
	dispatcher.reload(dispatcher.config)
	dispatcher.waitFor("a file taken", func() bool { return dispatcher.metric("reload_success") == 1 })
	expect("after reloads", map[string]int{"targets_disabled": 1, "replies.price-part.success": 4})
}

// A worker that is out by hand gets nothing, whatever discovery lists, in this process and in the one that replaces
// it; put back, it works again at once though it is cold.
func TestDetachedWorker_getsNoRequests(t *testing.T) {
	t.Parallel()
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := startDispatcher(t, "", workerA, workerB)
	discovery := dispatcher.discovery
	some := func(dispatcher *testDispatcher, name string) int {
		t.Helper()
		_, before := workerA.count()
		for i := range 8 {
			if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint(name, i))); status != 200 {
				t.Errorf("%s %d: %d", name, i, status)
			}
		}
		_, after := workerA.count()
		return after - before
	}
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "a"); status != 200 {
		t.Fatalf("detach: %d", status)
	}
	if jobs := some(dispatcher, "out"); jobs != 0 {
		t.Errorf("%d jobs came to the worker that is out", jobs)
	}
	discovery.update(func() { workerA.phase = "leaving" })
	dispatcher.waitFor("the list", func() bool { return strings.Contains(dispatcher.log(), "revision=2") })
	discovery.update(func() { workerA.phase = "active" })
	dispatcher.waitFor("the list", func() bool { return strings.Contains(dispatcher.log(), "revision=3") })
	dispatcher.reload(dispatcher.config)
	dispatcher.waitFor("the reload", func() bool { return strings.Contains(dispatcher.log(), "settings reloaded") })
	if jobs := some(dispatcher, "listed"); jobs != 0 {
		t.Errorf("%d jobs came to the worker that is out and listed anew", jobs)
	}
	successor := dispatcher.startSuccessor("")
	if jobs := some(successor, "replaced"); jobs != 0 || successor.metric("targets_disabled") != 1 {
		t.Errorf("%d jobs came to the worker that is out, %d avoided in the new process", jobs, successor.metric("targets_disabled"))
	}
	// A call at either door counts for both processes.
	if status, _ := successor.callAdmin("POST", "/_workers/attach", "a"); status != 200 || dispatcher.metric("targets_disabled") != 0 {
		t.Errorf("attach: %d, %d avoided in the old process", status, dispatcher.metric("targets_disabled"))
	}
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "a"); status != 200 || successor.metric("targets_disabled") != 1 {
		t.Errorf("detach at the old door: %d, %d avoided in the new process", status, successor.metric("targets_disabled"))
	}
	if status, _ := successor.callAdmin("POST", "/_workers/attach", "a"); status != 200 {
		t.Errorf("attach: %d", status)
	}
	jobs := 0
	successor.waitFor("a job at the worker that was put back", func() bool { jobs++; return some(successor, fmt.Sprint("back-", jobs, "-")) > 0 })
}

// Workers that are out are on file before the yes. A file that cannot be used is a line in the log and no more.
func TestDetachedWorkers_restoredAfterKill(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", completeJob), startWorker(t, "b", completeJob))
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "a"); status != 200 {
		t.Fatalf("detach: %d", status)
	}
	files, _ := filepath.Glob(filepath.Join(dispatcher.tempDir, "*.detached"))
	if len(files) != 1 {
		t.Fatalf("on file: %v", files)
	}
	dispatcher.command.Process.Kill()
	<-dispatcher.exited
	restarted := dispatcher.startSuccessor("") // finds leftovers only
	if restarted.metric("targets_disabled") != 1 || !strings.Contains(restarted.log(), "starting alone") {
		t.Errorf("after a kill %d are out", restarted.metric("targets_disabled"))
	}
	for _, text := range []string{"", "{", `{"name":"another","workers":["a"]}`} {
		restarted.command.Process.Kill()
		<-restarted.exited
		if err := os.WriteFile(files[0], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		restarted = dispatcher.startSuccessor("")
		if out := restarted.metric("targets_disabled"); out != 0 || strings.Count(restarted.log(), "detached workers not read") != 1 {
			t.Errorf("file %q: %d out", text, out)
		}
	}
}

// What counts as refused at the platform without being a refusal is counted at the door: a job that failed and was never sent
// on, and a connection that was closed with nothing written.
func TestMetrics_unansweredConnections(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcherWith(t, "", func(config string) string { return strings.Replace(config, `"sockets":1024`, `"sockets":128`, 1) })
	if got, also := dispatcher.metric("failed_unsent"), dispatcher.metric("connections_unanswered"); got != 0 || also != 0 {
		t.Errorf("at first %d, %d", got, also)
	}
	dispatcher.dial().Close()
	for range 100 { // more than may be held: some are closed again
		dispatcher.dial()
	}
	dispatcher.waitFor("closed connections in the figures", func() bool { return dispatcher.metric("connections_unanswered") > 0 })
}
