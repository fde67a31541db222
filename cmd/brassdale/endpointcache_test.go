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

// Whatever becomes of discovery, a start on the saved list serves.
func TestEndpointCache_startWithoutDiscovery(t *testing.T) {
	t.Parallel()
	answers := func(status int, body string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(status); io.WriteString(w, body) })
	}
	for name, discovery := range map[string]http.Handler{
		"refused":   nil,
		"silent":    http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }),
		"503":       answers(503, ""),
		"cut":       answers(200, `{"revision":50,"complete":true,"members":[{"id":"a","host_p`),
		"empty":     answers(200, `{"revision":50,"complete":true,"members":[]}`),
		"no list":   answers(200, `<html>`),
		"elsewhere": answers(200, `{"revision":50,"complete":true,"members":[{"id":"x","host_port":"127.0.0.1:1","locality":"swansea","flavor":"new-worker","cell":1,"phase":"active","size":1}]}`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workerA, workerB := startWorker(t, "a", completeAfter(20*time.Millisecond)), startWorker(t, "b", completeAfter(20*time.Millisecond))
			dir := t.TempDir()
			writeCachedList(t, dir, time.Hour, nil, workerA, workerB)
			dispatcher := startFromCache(t, dir, discovery)
			dispatcher.waitUntilServed("first")
			if !strings.Contains(dispatcher.log(), "started from endpoint cache") || dispatcher.metricText("list_source") != "saved" || dispatcher.metric("list_age_s") < 3600 {
				t.Errorf("source %q, age %d", dispatcher.metricText("list_source"), dispatcher.metric("list_age_s"))
			}
			dispatcher.waitFor("both to be heard", func() bool { return dispatcher.metric("boxes_heard")+dispatcher.metric("boxes_proven") == 2 })
			dispatcher.warmUp(2)
		})
	}
}

// A list of two days ago: one worker drained, at one's address is another worker now, at one's a web page, at one's no HTTP at
// all, one is off, one says nothing. No job reaches any of them, and all are served.
func TestEndpointCache_reassignedAddresses(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	good, drained, off := startWorker(t, "good", script), startWorker(t, "drained", script), startWorker(t, "off", script)
	drained.phase = "leaving"
	// Where no other test listens: the port of a worker that is off was given to a worker of a test beside this one, which then
	// answered for it.
	off.listener.Close()
	off.listener = must(net.Listen("tcp", "127.0.0.9:0"))
	off.listener.Close()
	var mu sync.Mutex
	jobs := 0
	foreign := func(id string, answer func(net.Conn)) *testWorker {
		listener := must(net.Listen("tcp", "127.0.0.1:0"))
		t.Cleanup(func() { listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					buf := make([]byte, 4096)
					n, _ := conn.Read(buf)
					if strings.HasPrefix(string(buf[:n]), "POST") {
						mu.Lock()
						jobs++
						mu.Unlock()
					}
					answer(conn)
				}()
			}
		}()
		return &testWorker{id: id, cell: "1", phase: "active", listener: listener}
	}
	page := foreign("page", func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 6\r\n\r\n<html>")
	})
	missing := foreign("missing", func(conn net.Conn) { io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") })
	other := foreign("other", func(conn net.Conn) { io.WriteString(conn, "220 mail ready\r\n"); conn.Close() })
	silent := foreign("silent", func(net.Conn) {})
	dir := t.TempDir()
	writeCachedList(t, dir, 48*time.Hour, nil, drained, page, missing, other, silent, off, good)
	dispatcher := startFromCache(t, dir, nil)
	for i := range 30 {
		if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint("k-", i))); status != 200 {
			t.Errorf("job %d: %d", i, status)
		}
	}
	dispatcher.waitFor("the foreign ones", func() bool { return dispatcher.metric("boxes_foreign") >= 3 && dispatcher.metric("boxes_barred") == 1 })
	mu.Lock()
	defer mu.Unlock()
	if _, reached := drained.count(); jobs != 0 || reached != 0 {
		t.Errorf("%d jobs reached what is no worker now, %d one that drained", jobs, reached)
	}
	if got := dispatcher.metric("targets"); got != 1 {
		t.Errorf("%d workers told to the module", got)
	}
}

// What the program itself keeps: a drain told a moment before it is killed, who is out by hand, and what it learned. The
// next process has all of it, in another $TMPDIR.
func TestEndpointCache_survivesKill(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	workerA, workerB, workerC := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script)
	dir := t.TempDir()
	dispatcher := startDispatcher(t, savedListBlock(dir), workerA, workerB, workerC)
	dispatcher.waitFor("discovery's list", func() bool { return dispatcher.metricText("list_source") == "discovery" })
	for i := range 10 {
		dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint("k-", i)))
	}
	dispatcher.waitFor("a snapshot", func() bool { return dispatcher.metric("saved_snapshots") >= 1 })
	if status, _ := dispatcher.callAdmin("POST", "/_workers/detach", "b"); status != 200 {
		t.Fatalf("detach: %d", status)
	}
	dispatcher.discovery.update(func() { workerA.phase = "leaving" })
	dispatcher.waitFor("both on disk", func() bool { return dispatcher.metric("saved_records") >= 2 })
	dispatcher.command.Process.Kill()
	<-dispatcher.exited
	_, before := workerA.count()
	_, beforeB := workerB.count()

	restarted := startFromCache(t, dir, nil)
	restarted.waitUntilServed("after")
	for i := range 20 {
		restarted.send(newRequest(restarted.http1URL, fmt.Sprint("after-k-", i)))
	}
	if _, now := workerA.count(); now != before {
		t.Errorf("%d jobs at the one that drains", now-before)
	}
	if _, now := workerB.count(); now != beforeB {
		t.Errorf("%d jobs at the one that is out by hand", now-beforeB)
	}
	code, out, _ := runCommand(t, "saved", "show", dir)
	if code != 0 || !strings.Contains(out, "leaving") || !strings.Contains(out, "out by hand") {
		t.Errorf("saved show: %d\n%s", code, out)
	}
	if code, out, _ := runCommand(t, "saved", "verify", dir); code != 0 || !strings.Contains(out, "whole") {
		t.Errorf("saved verify: %d\n%s", code, out)
	}
	// A damaged generation is told by verify, kept aside by a start, and the one before it serves.
	names, _ := filepath.Glob(filepath.Join(dir, "n0", "snapshot-*"))
	writeCachedList(t, dir, time.Minute, nil, workerC)
	newest, _ := filepath.Glob(filepath.Join(dir, "n0", "snapshot-*"))
	path := newest[len(newest)-1]
	if len(newest) != len(names)+1 {
		t.Fatalf("%v, then %v", names, newest)
	}
	text := must(os.ReadFile(path))
	if err := os.WriteFile(path, text[:len(text)-9], 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out, errors := runCommand(t, "saved", "verify", dir); code != 1 || !strings.Contains(out, "damaged") {
		t.Errorf("saved verify: %d\n%s%s", code, out, errors)
	}
	third := startFromCache(t, dir, nil)
	third.waitUntilServed("third")
	if _, err := os.Stat(filepath.Join(dir, "n0", "damaged-"+filepath.Base(path))); err != nil || !damagedLine.MatchString(third.log()) {
		t.Errorf("the damaged one: %v", err)
	}
	if code, out, _ := runCommand(t, "saved", "prune", dir, "--keep", "1"); code != 0 || !strings.Contains(out, "files removed") {
		t.Errorf("saved prune: %d\n%s", code, out)
	}
}

// The machine's clock is a day behind the file's, or a list is too old: the first serves, the second begins as without.
func TestEndpointCache_clockAndAge(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeAfter(20*time.Millisecond))
	future, old := t.TempDir(), t.TempDir()
	writeCachedList(t, future, -24*time.Hour, nil, worker)
	writeCachedList(t, old, 73*time.Hour, nil, worker)
	withFutureList := startFromCache(t, future, nil)
	withFutureList.waitUntilServed("k")
	if !strings.Contains(withFutureList.log(), "age_known=false") {
		t.Error("the age of a list from the future is known")
	}
	withOldList := startFromCache(t, old, nil)
	withOldList.waitFor("the line", func() bool { return strings.Contains(withOldList.log(), "endpoint cache too old") })
	if status, _, after := withOldList.send(newRequest(withOldList.http1URL, "k", "Req-Deadline-Ms", "300")); status != 503 || after == "" {
		t.Errorf("with no list at all: %d, Retry-After %q", status, after)
	}
	if withOldList.metricText("list_source") != "none" {
		t.Errorf("source %q", withOldList.metricText("list_source"))
	}
}

// A folder of no use stops no job; one that others may write stops the start, with its place.
func TestEndpointCache_unusableDirectory(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	useless := t.TempDir()
	if err := os.WriteFile(filepath.Join(useless, "n0"), nil, 0o600); err != nil { // where its own folder would be
		t.Fatal(err)
	}
	dispatcher := startDispatcher(t, savedListBlock(useless), worker)
	if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "k")); status != 200 || !strings.Contains(dispatcher.log(), "endpoint cache disabled") {
		t.Errorf("with a folder of no use: %d", status)
	}
	open := t.TempDir()
	if err := os.Chmod(open, 0o777); err != nil {
		t.Fatal(err)
	}
	failed := &testDispatcher{t: t, exited: make(chan struct{})}
	failed.startProcess(dispatcher.config, savedListBlock(open))
	<-failed.exited
	if text := failed.log(); failed.command.ProcessState.ExitCode() != 1 || !strings.Contains(text, "operator.hcl:2:15: Bad directory") {
		t.Errorf("exit code %d, %s", failed.command.ProcessState.ExitCode(), text)
	}
}
