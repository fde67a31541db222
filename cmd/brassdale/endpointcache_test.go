package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestEndpointCache_startWithoutDiscovery checks that a dispatcher starts from the cached list and serves, regardless of how discovery
// fails.
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
			source, age := dispatcher.metricText("list_source"), dispatcher.metric("list_age_s")
			if !strings.Contains(dispatcher.log(), "started from endpoint cache") || source != "saved" || age < 3600 {
				t.Errorf("source %q, age %d s, want saved, 3600 s or more, and \"started from endpoint cache\" in the log", source, age)
			}
			dispatcher.waitFor("answers of both workers", func() bool { return dispatcher.metric("boxes_heard")+dispatcher.metric("boxes_proven") == 2 })
			dispatcher.waitUntilVerified(2)
		})
	}
}

// otherServices are services that are not workers but listen at addresses of the endpoint list.
type otherServices struct {
	mu          sync.Mutex
	misdirected int // number of requests that were sent to them
}

// start starts a service and returns the worker that the list has at its address.
func (s *otherServices) start(t *testing.T, id string, answer func(net.Conn)) *testWorker {
	t.Helper()
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, answer)
		}
	}()
	return listedWorker(id, listener)
}

// serve reads from a connection once and answers.
func (s *otherServices) serve(conn net.Conn, answer func(net.Conn)) {
	buffer := make([]byte, 4096)
	length, _ := conn.Read(buffer)
	if strings.HasPrefix(string(buffer[:length]), "POST") {
		s.mu.Lock()
		s.misdirected++
		s.mu.Unlock()
	}
	answer(conn)
}

// TestEndpointCache_reassignedAddresses checks a cached list that is two days old: one worker has drained, one does not run, one is good,
// and other services listen at the addresses of the rest. All requests are served, and only the good worker receives any.
func TestEndpointCache_reassignedAddresses(t *testing.T) {
	t.Parallel()
	good, drained, off := startWorker(t, "good", completeCachedJob), startWorker(t, "drained", completeCachedJob), startWorker(t, "off", completeCachedJob)
	drained.phase = "leaving"
	// No other test uses 127.0.0.9. At a shared address the system could give the port of the closed listener to a worker of a parallel
	// test.
	off.listener.Close()
	off.listener = must(net.Listen("tcp", "127.0.0.9:0"))
	off.listener.Close()
	var services otherServices
	page := services.start(t, "page", func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 6\r\n\r\n<html>")
	})
	missing := services.start(t, "missing", func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	})
	other := services.start(t, "other", func(conn net.Conn) {
		io.WriteString(conn, "220 mail ready\r\n")
		conn.Close()
	})
	silent := services.start(t, "silent", func(net.Conn) {})
	dir := t.TempDir()
	writeCachedList(t, dir, 48*time.Hour, nil, drained, page, missing, other, silent, off, good)
	dispatcher := startFromCache(t, dir, nil)
	dispatcher.checkServed("k-", 30)
	dispatcher.waitFor("boxes_foreign >= 3 and boxes_barred=1", func() bool {
		return dispatcher.metric("boxes_foreign") >= 3 && dispatcher.metric("boxes_barred") == 1
	})
	services.mu.Lock()
	defer services.mu.Unlock()
	if atDrained := drained.jobCount(); services.misdirected != 0 || atDrained != 0 {
		t.Errorf("%d requests at other services and %d at a drained worker, want 0 and 0", services.misdirected, atDrained)
	}
	if listed := dispatcher.metric("targets"); listed != 1 {
		t.Errorf("targets=%d, want 1", listed)
	}
}

// checkSavedCommand checks the exit code of a sub-command of 'saved', and that its output contains these texts.
func checkSavedCommand(t *testing.T, wantExitCode int, wantTexts []string, args ...string) {
	t.Helper()
	exitCode, output, errorOutput := runCommand(t, append([]string{"saved"}, args...)...)
	lacks := func(text string) bool { return !strings.Contains(output, text) }
	if exitCode != wantExitCode || slices.ContainsFunc(wantTexts, lacks) {
		t.Errorf("saved %v: exit code %d, want %d and %q\n%s%s", args, exitCode, wantExitCode, wantTexts, output, errorOutput)
	}
}

// TestEndpointCache_survivesKill checks that the cache of a killed process has the detached worker, the statistics, and the drain that the
// process had just learned of, and that the next process starts from it with another $TMPDIR. A damaged snapshot is reported by 'saved
// verify'; the next start renames it and reads the previous snapshot.
func TestEndpointCache_survivesKill(t *testing.T) {
	t.Parallel()
	workers := startNamedWorkers(t, completeCachedJob, "a", "b", "c")
	draining, detached := workers[0], workers[1]
	dir := t.TempDir()
	dispatcher := startDispatcher(t, savedListBlock(dir), workers...)
	dispatcher.waitForListSource("discovery")
	for i := range 10 {
		dispatcher.sendKey(fmt.Sprint("k-", i))
	}
	dispatcher.waitFor("a snapshot", func() bool { return dispatcher.metric("saved_snapshots") >= 1 })
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "b"); status != 200 {
		t.Fatalf("detach: status %d, want 200", status)
	}
	dispatcher.discovery.update(func() { draining.phase = "leaving" })
	dispatcher.waitFor("two records on disk", func() bool { return dispatcher.metric("saved_records") >= 2 })
	dispatcher.kill()
	atDraining, atDetached := draining.jobCount(), detached.jobCount()

	restarted := startFromCache(t, dir, nil)
	restarted.waitUntilServed("after")
	for i := range 20 {
		restarted.sendKey(fmt.Sprint("after-k-", i))
	}
	if jobs := draining.jobCount(); jobs != atDraining {
		t.Errorf("%d requests at the draining worker, want 0", jobs-atDraining)
	}
	if jobs := detached.jobCount(); jobs != atDetached {
		t.Errorf("%d requests at the detached worker, want 0", jobs-atDetached)
	}
	checkSavedCommand(t, 0, []string{"leaving", "out by hand"}, "show", dir)
	checkSavedCommand(t, 0, []string{"whole"}, "verify", dir)
	checkDamagedSnapshot(t, dir, workers[2])
	checkSavedCommand(t, 0, []string{"files removed"}, "prune", dir, "--keep", "1")
}

// checkDamagedSnapshot damages the newest snapshot of a cache, and checks that a start renames it and serves from the previous snapshot.
func checkDamagedSnapshot(t *testing.T, dir string, worker *testWorker) {
	t.Helper()
	snapshots, _ := filepath.Glob(filepath.Join(dir, "n0", "snapshot-*"))
	writeCachedList(t, dir, time.Minute, nil, worker)
	withNewest, _ := filepath.Glob(filepath.Join(dir, "n0", "snapshot-*"))
	newest := withNewest[len(withNewest)-1]
	if len(withNewest) != len(snapshots)+1 {
		t.Fatalf("snapshots %v, then %v, want one more", snapshots, withNewest)
	}
	text := must(os.ReadFile(newest))
	if err := os.WriteFile(newest, text[:len(text)-9], 0o600); err != nil {
		t.Fatal(err)
	}
	checkSavedCommand(t, 1, []string{"damaged"}, "verify", dir)
	restarted := startFromCache(t, dir, nil)
	restarted.waitUntilServed("third")
	if _, err := os.Stat(filepath.Join(dir, "n0", "damaged-"+filepath.Base(newest))); err != nil || !damagedLine.MatchString(restarted.log()) {
		t.Errorf("the damaged snapshot was not renamed and logged: %v", err)
	}
}

// TestEndpointCache_clockAndAge checks that a list dated a day in the future is used, because the machine's clock may be wrong, and that a
// list that is 73 hours old is not used.
func TestEndpointCache_clockAndAge(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeCachedJob)
	future, old := t.TempDir(), t.TempDir()
	writeCachedList(t, future, -24*time.Hour, nil, worker)
	writeCachedList(t, old, 73*time.Hour, nil, worker)
	withFutureList := startFromCache(t, future, nil)
	withFutureList.waitUntilServed("k")
	if !strings.Contains(withFutureList.log(), "age_known=false") {
		t.Error("no \"age_known=false\" in the log for a list dated in the future")
	}
	withOldList := startFromCache(t, old, nil)
	withOldList.waitForLog("endpoint cache too old")
	if status, _, after := withOldList.sendKey("k", "Req-Deadline-Ms", "1000"); status != 503 || after == "" {
		t.Errorf("without a list: status %d, Retry-After %q, want 503 with Retry-After", status, after)
	}
	if source := withOldList.metricText("list_source"); source != "none" {
		t.Errorf("source %q, want none", source)
	}
}

// TestEndpointCache_unusableDirectory checks that a dispatcher serves without a cache if its directory cannot be used. If others may write
// the directory, it does not start, and reports the place of the setting in the operator's file.
func TestEndpointCache_unusableDirectory(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	unusable := t.TempDir()
	if err := os.WriteFile(filepath.Join(unusable, "n0"), nil, 0o600); err != nil { // a file at the path of the dispatcher's directory
		t.Fatal(err)
	}
	dispatcher := startDispatcher(t, savedListBlock(unusable), worker)
	if status, _, _ := dispatcher.sendKey("k"); status != 200 || !strings.Contains(dispatcher.log(), "endpoint cache disabled") {
		t.Errorf("with an unusable directory: status %d, want 200 and \"endpoint cache disabled\" in the log", status)
	}
	writableByOthers := t.TempDir()
	if err := os.Chmod(writableByOthers, 0o777); err != nil {
		t.Fatal(err)
	}
	failed := newTestDispatcher(t, nil)
	failed.startProcess(dispatcher.config, savedListBlock(writableByOthers))
	<-failed.exited
	if text := failed.log(); failed.command.ProcessState.ExitCode() != 1 || !strings.Contains(text, "operator.hcl:2:15: Bad directory") {
		t.Errorf("exit code %d, want 1 and the place of the directory setting in the log: %s", failed.command.ProcessState.ExitCode(), text)
	}
}
