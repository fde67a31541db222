package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestEndpointCache_startWithoutDiscovery checks that a start from the cached list serves whichever way discovery fails.
func TestEndpointCache_startWithoutDiscovery(t *testing.T) {
	t.Parallel()
	answers := func(status int, body string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			io.WriteString(w, body)
		})
	}
	for name, discovery := range map[string]http.Handler{
		"refused":   nil,
		"silent":    http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }),
		"503":       answers(503, ""),
		"truncated": answers(200, `{"revision":50,"complete":true,"members":[{"id":"a","host_p`),
		"empty":     answers(200, `{"revision":50,"complete":true,"members":[]}`),
		"no list":   answers(200, `<html>`),
		"elsewhere": answers(200, `{"revision":50,"complete":true,"members":[{"id":"x","host_port":"127.0.0.1:1","locality":"swansea","flavor":"new-worker","cell":1,"phase":"active","size":1}]}`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workers := startNamedWorkers(t, completeCachedJob, "a", "b")
			dir := t.TempDir()
			writeCachedList(t, dir, time.Hour, nil, workers...)
			dispatcher := startFromCache(t, dir, discovery)
			dispatcher.waitUntilServed("first")
			if !strings.Contains(dispatcher.log(), "started from endpoint cache") || dispatcher.metricText("list_source") != "saved" || dispatcher.metric("list_age_s") < 3600 {
				t.Errorf("not started from the cache: source %q, age %d s", dispatcher.metricText("list_source"), dispatcher.metric("list_age_s"))
			}
			dispatcher.waitFor("answers of both workers", func() bool { return dispatcher.metric("boxes_heard")+dispatcher.metric("boxes_proven") == 2 })
			dispatcher.waitUntilProven(2)
		})
	}
}

// TestEndpointCache_reassignedAddresses checks a cached list of two days ago of which one worker drained, one is off, and the addresses of
// the others but one belong to something else. No request reaches any of them, and all are served.
func TestEndpointCache_reassignedAddresses(t *testing.T) {
	t.Parallel()
	good, drained, off := startWorker(t, "good", completeCachedJob), startWorker(t, "drained", completeCachedJob), startWorker(t, "off", completeCachedJob)
	drained.phase = "leaving"
	// At an address where no other test listens: the port of a closed listener may be given to a worker of a parallel test.
	off.listener.Close()
	off.listener = must(net.Listen("tcp", "127.0.0.9:0"))
	off.listener.Close()
	var mu sync.Mutex
	misdirected := 0
	listenInstead := func(id string, answer func(net.Conn)) *testWorker {
		listener := must(net.Listen("tcp", "127.0.0.1:0"))
		t.Cleanup(func() { listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					buffer := make([]byte, 4096)
					length, _ := conn.Read(buffer)
					if strings.HasPrefix(string(buffer[:length]), "POST") {
						mu.Lock()
						misdirected++
						mu.Unlock()
					}
					answer(conn)
				}()
			}
		}()
		return &testWorker{id: id, cell: "1", phase: "active", listener: listener}
	}
	page := listenInstead("page", func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 6\r\n\r\n<html>")
	})
	missing := listenInstead("missing", func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	})
	other := listenInstead("other", func(conn net.Conn) {
		io.WriteString(conn, "220 mail ready\r\n")
		conn.Close()
	})
	silent := listenInstead("silent", func(net.Conn) {})
	dir := t.TempDir()
	writeCachedList(t, dir, 48*time.Hour, nil, drained, page, missing, other, silent, off, good)
	dispatcher := startFromCache(t, dir, nil)
	dispatcher.checkServed("k-", 30)
	dispatcher.waitFor("boxes_foreign >= 3 and boxes_barred=1", func() bool {
		return dispatcher.metric("boxes_foreign") >= 3 && dispatcher.metric("boxes_barred") == 1
	})
	mu.Lock()
	defer mu.Unlock()
	if atDrained := drained.jobCount(); misdirected != 0 || atDrained != 0 {
		t.Errorf("%d requests at what is no worker, %d at a drained one", misdirected, atDrained)
	}
	if listed := dispatcher.metric("targets"); listed != 1 {
		t.Errorf("targets=%d, want 1", listed)
	}
}

// TestEndpointCache_survivesKill checks that a process which is killed leaves a cache with the drain that it has just learned of, the
// detached worker and the statistics, from which the next process starts with another $TMPDIR. A damaged snapshot is reported by
// 'saved verify' and set aside by a start, which reads the one before.
func TestEndpointCache_survivesKill(t *testing.T) {
	t.Parallel()
	workers := startNamedWorkers(t, completeCachedJob, "a", "b", "c")
	draining, detached := workers[0], workers[1]
	dir := t.TempDir()
	dispatcher := startDispatcher(t, savedListBlock(dir), workers...)
	dispatcher.waitForListSource("discovery")
	for i := range 10 {
		dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint("k-", i)))
	}
	dispatcher.waitFor("a snapshot", func() bool { return dispatcher.metric("saved_snapshots") >= 1 })
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "b"); status != 200 {
		t.Fatalf("detach: status %d", status)
	}
	dispatcher.discovery.update(func() { draining.phase = "leaving" })
	dispatcher.waitFor("two records on disk", func() bool { return dispatcher.metric("saved_records") >= 2 })
	dispatcher.kill()
	atDraining, atDetached := draining.jobCount(), detached.jobCount()

	restarted := startFromCache(t, dir, nil)
	restarted.waitUntilServed("after")
	for i := range 20 {
		restarted.send(newRequest(restarted.http1URL, fmt.Sprint("after-k-", i)))
	}
	if jobs := draining.jobCount(); jobs != atDraining {
		t.Errorf("%d requests at the draining worker", jobs-atDraining)
	}
	if jobs := detached.jobCount(); jobs != atDetached {
		t.Errorf("%d requests at the detached worker", jobs-atDetached)
	}
	code, out, _ := runCommand(t, "saved", "show", dir)
	if code != 0 || !strings.Contains(out, "leaving") || !strings.Contains(out, "out by hand") {
		t.Errorf("saved show: exit code %d\n%s", code, out)
	}
	if code, out, _ := runCommand(t, "saved", "verify", dir); code != 0 || !strings.Contains(out, "whole") {
		t.Errorf("saved verify: exit code %d\n%s", code, out)
	}

	snapshots, _ := filepath.Glob(filepath.Join(dir, "n0", "snapshot-*"))
	writeCachedList(t, dir, time.Minute, nil, workers[2])
	withNewest, _ := filepath.Glob(filepath.Join(dir, "n0", "snapshot-*"))
	newest := withNewest[len(withNewest)-1]
	if len(withNewest) != len(snapshots)+1 {
		t.Fatalf("snapshots %v, then %v", snapshots, withNewest)
	}
	text := must(os.ReadFile(newest))
	if err := os.WriteFile(newest, text[:len(text)-9], 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out, errors := runCommand(t, "saved", "verify", dir); code != 1 || !strings.Contains(out, "damaged") {
		t.Errorf("saved verify of a damaged snapshot: exit code %d\n%s%s", code, out, errors)
	}
	third := startFromCache(t, dir, nil)
	third.waitUntilServed("third")
	if _, err := os.Stat(filepath.Join(dir, "n0", "damaged-"+filepath.Base(newest))); err != nil || !damagedLine.MatchString(third.log()) {
		t.Errorf("the damaged snapshot was not set aside and logged: %v", err)
	}
	if code, out, _ := runCommand(t, "saved", "prune", dir, "--keep", "1"); code != 0 || !strings.Contains(out, "files removed") {
		t.Errorf("saved prune: exit code %d\n%s", code, out)
	}
}

// TestEndpointCache_clockAndAge checks that a list from a day in the future serves, as the machine's clock may be wrong, and that a list of
// 73 hours ago is not used.
func TestEndpointCache_clockAndAge(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeCachedJob)
	future, old := t.TempDir(), t.TempDir()
	writeCachedList(t, future, -24*time.Hour, nil, worker)
	writeCachedList(t, old, 73*time.Hour, nil, worker)
	withFutureList := startFromCache(t, future, nil)
	withFutureList.waitUntilServed("k")
	if !strings.Contains(withFutureList.log(), "age_known=false") {
		t.Error("the age of a list from the future is known")
	}
	withOldList := startFromCache(t, old, nil)
	withOldList.waitForLog("endpoint cache too old")
	if status, _, after := withOldList.send(newRequest(withOldList.http1URL, "k", "Req-Deadline-Ms", "300")); status != 503 || after == "" {
		t.Errorf("without a list: status %d, Retry-After %q", status, after)
	}
	if source := withOldList.metricText("list_source"); source != "none" {
		t.Errorf("source %q, want none", source)
	}
}

// TestEndpointCache_unusableDirectory checks that a dispatcher serves without a cache where its directory cannot be used, and does not
// start with a directory that others may write, whose place in the operator's file it reports.
func TestEndpointCache_unusableDirectory(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	unusable := t.TempDir()
	if err := os.WriteFile(filepath.Join(unusable, "n0"), nil, 0o600); err != nil { // a file where its own directory would be
		t.Fatal(err)
	}
	dispatcher := startDispatcher(t, savedListBlock(unusable), worker)
	if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "k")); status != 200 || !strings.Contains(dispatcher.log(), "endpoint cache disabled") {
		t.Errorf("with an unusable directory: status %d, or not logged", status)
	}
	writableByOthers := t.TempDir()
	if err := os.Chmod(writableByOthers, 0o777); err != nil {
		t.Fatal(err)
	}
	failed := newTestDispatcher(t, nil)
	failed.startProcess(dispatcher.config, savedListBlock(writableByOthers))
	<-failed.exited
	if text := failed.log(); failed.command.ProcessState.ExitCode() != 1 || !strings.Contains(text, "operator.hcl:2:15: Bad directory") {
		t.Errorf("exit code %d, %s", failed.command.ProcessState.ExitCode(), text)
	}
}
