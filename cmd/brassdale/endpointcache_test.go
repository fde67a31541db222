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
			a, b := startWorker(t, "a", completeAfter(20*time.Millisecond)), startWorker(t, "b", completeAfter(20*time.Millisecond))
			dir := t.TempDir()
			writeCachedList(t, dir, time.Hour, nil, a, b)
			n := startFromCache(t, dir, discovery)
			n.waitUntilServed("first")
			if !strings.Contains(n.log(), "started from endpoint cache") || n.metricText("list_source") != "saved" || n.metric("list_age_s") < 3600 {
				t.Errorf("source %q, age %d", n.metricText("list_source"), n.metric("list_age_s"))
			}
			n.waitFor("both to be heard", func() bool { return n.metric("boxes_heard")+n.metric("boxes_proven") == 2 })
			n.warmUp(2)
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
		ln := must(net.Listen("tcp", "127.0.0.1:0"))
		t.Cleanup(func() { ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					buf := make([]byte, 4096)
					n, _ := c.Read(buf)
					if strings.HasPrefix(string(buf[:n]), "POST") {
						mu.Lock()
						jobs++
						mu.Unlock()
					}
					answer(c)
				}()
			}
		}()
		return &testWorker{id: id, cell: "1", phase: "active", listener: ln}
	}
	page := foreign("page", func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 6\r\n\r\n<html>")
	})
	missing := foreign("missing", func(c net.Conn) { io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") })
	other := foreign("other", func(c net.Conn) { io.WriteString(c, "220 mail ready\r\n"); c.Close() })
	silent := foreign("silent", func(net.Conn) {})
	dir := t.TempDir()
	writeCachedList(t, dir, 48*time.Hour, nil, drained, page, missing, other, silent, off, good)
	n := startFromCache(t, dir, nil)
	for i := range 30 {
		if status, _, _ := n.send(newRequest(n.http1URL, fmt.Sprint("k-", i))); status != 200 {
			t.Errorf("job %d: %d", i, status)
		}
	}
	n.waitFor("the foreign ones", func() bool { return n.metric("boxes_foreign") >= 3 && n.metric("boxes_barred") == 1 })
	mu.Lock()
	defer mu.Unlock()
	if _, reached := drained.count(); jobs != 0 || reached != 0 {
		t.Errorf("%d jobs reached what is no worker now, %d one that drained", jobs, reached)
	}
	if got := n.metric("targets"); got != 1 {
		t.Errorf("%d workers told to the module", got)
	}
}

// What the program itself keeps: a drain told a moment before it is killed, who is out by hand, and what it learned. The
// next process has all of it, in another $TMPDIR.
func TestEndpointCache_survivesKill(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	a, b, c := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script)
	dir := t.TempDir()
	n := startDispatcher(t, savedListBlock(dir), a, b, c)
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" })
	for i := range 10 {
		n.send(newRequest(n.http1URL, fmt.Sprint("k-", i)))
	}
	n.waitFor("a snapshot", func() bool { return n.metric("saved_snapshots") >= 1 })
	if status, _ := n.callAdmin("POST", "/_workers/detach", "b"); status != 200 {
		t.Fatalf("detach: %d", status)
	}
	n.discovery.update(func() { a.phase = "leaving" })
	n.waitFor("both on disk", func() bool { return n.metric("saved_records") >= 2 })
	n.command.Process.Kill()
	<-n.exited
	_, before := a.count()
	_, beforeB := b.count()

	m := startFromCache(t, dir, nil)
	m.waitUntilServed("after")
	for i := range 20 {
		m.send(newRequest(m.http1URL, fmt.Sprint("after-k-", i)))
	}
	if _, now := a.count(); now != before {
		t.Errorf("%d jobs at the one that drains", now-before)
	}
	if _, now := b.count(); now != beforeB {
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
	writeCachedList(t, dir, time.Minute, nil, c)
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
	o := startFromCache(t, dir, nil)
	o.waitUntilServed("third")
	if _, err := os.Stat(filepath.Join(dir, "n0", "damaged-"+filepath.Base(path))); err != nil || !damagedLine.MatchString(o.log()) {
		t.Errorf("the damaged one: %v", err)
	}
	if code, out, _ := runCommand(t, "saved", "prune", dir, "--keep", "1"); code != 0 || !strings.Contains(out, "files removed") {
		t.Errorf("saved prune: %d\n%s", code, out)
	}
}

// The machine's clock is a day behind the file's, or a list is too old: the first serves, the second begins as without.
func TestEndpointCache_clockAndAge(t *testing.T) {
	t.Parallel()
	a := startWorker(t, "a", completeAfter(20*time.Millisecond))
	future, old := t.TempDir(), t.TempDir()
	writeCachedList(t, future, -24*time.Hour, nil, a)
	writeCachedList(t, old, 73*time.Hour, nil, a)
	n := startFromCache(t, future, nil)
	n.waitUntilServed("k")
	if !strings.Contains(n.log(), "age_known=false") {
		t.Error("the age of a list from the future is known")
	}
	m := startFromCache(t, old, nil)
	m.waitFor("the line", func() bool { return strings.Contains(m.log(), "endpoint cache too old") })
	if status, _, after := m.send(newRequest(m.http1URL, "k", "Req-Deadline-Ms", "300")); status != 503 || after == "" {
		t.Errorf("with no list at all: %d, Retry-After %q", status, after)
	}
	if m.metricText("list_source") != "none" {
		t.Errorf("source %q", m.metricText("list_source"))
	}
}

// A folder of no use stops no job; one that others may write stops the start, with its place.
func TestEndpointCache_unusableDirectory(t *testing.T) {
	t.Parallel()
	a := startWorker(t, "a", completeJob)
	useless := t.TempDir()
	if err := os.WriteFile(filepath.Join(useless, "n0"), nil, 0o600); err != nil { // where its own folder would be
		t.Fatal(err)
	}
	n := startDispatcher(t, savedListBlock(useless), a)
	if status, _, _ := n.send(newRequest(n.http1URL, "k")); status != 200 || !strings.Contains(n.log(), "endpoint cache disabled") {
		t.Errorf("with a folder of no use: %d", status)
	}
	open := t.TempDir()
	if err := os.Chmod(open, 0o777); err != nil {
		t.Fatal(err)
	}
	m := &testDispatcher{t: t, exited: make(chan struct{})}
	m.startProcess(n.config, savedListBlock(open))
	<-m.exited
	if text := m.log(); m.command.ProcessState.ExitCode() != 1 || !strings.Contains(text, "operator.hcl:2:15: Bad directory") {
		t.Errorf("exit code %d, %s", m.command.ProcessState.ExitCode(), text)
	}
}
