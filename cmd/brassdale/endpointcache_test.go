package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brassdale/internal/endpointcache"
	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// damagedLine is the log line about a damaged file of the endpoint cache, whose fault says so.
var damagedLine = regexp.MustCompile(`msg="endpoint cache damaged" fault=.*damaged`)

func savedListBlock(dir string) string {
	return fmt.Sprintf("saved_list {\n  directory = %q\n}\n", dir)
}

// keep puts a list into a folder as a dispatcher would have left it, so long ago.
func writeCachedList(t testing.TB, dir string, ago time.Duration, change func(*endpointcache.CachedList), workers ...*testWorker) {
	t.Helper()
	files, err := endpointcache.OpenOrCreate(dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	made := time.Now().Add(-ago)
	s := &endpointcache.CachedList{ConfirmedAtMS: made.UnixMilli(), Revision: 40, Overcommit: 0.5, MeanStay: 0.02, MeanWork: 0.02,
		Classes: map[string]scheduler.ClassStatistics{"price-part": {WorkScale: 0.02, MeanLogRuntime: -3.9, Jobs: 500}}} // jobs of 20 ms
	for _, b := range workers {
		cell := 1
		fmt.Sscan(b.cell, &cell)
		s.Members = append(s.Members, endpointcache.CachedMember{LastSignalMS: made.UnixMilli(), Member: protocol.Member{ID: b.id, HostPort: b.listener.Addr().String(),
			Locality: "llanelli", Flavor: "new-worker", Cell: cell, Phase: b.phase, Size: 1}, Statistics: &scheduler.WorkerStatistics{Slots: 5, SlownessJobs: 50}})
	}
	if change != nil {
		change(s)
	}
	if err := endpointcache.NewStore(files, "n0").Snapshot(s); err != nil {
		t.Fatal(err)
	}
}

// takes is an endpoint whose jobs take so long.
func completeAfter(d time.Duration) func(*testWorker, net.Conn, *http.Request) {
	return func(b *testWorker, c net.Conn, r *http.Request) {
		writeHead(c, "application/json")
		writeChunk(c, jobMessage(r.Header.Get("Req-Id"), `"state":"started"`))
		time.Sleep(d)
		writeChunk(c, jobMessage(r.Header.Get("Req-Id"), `"state":"done","result":"priced"`))
		writeLastChunk(c)
	}
}

// noKnown drops the list that the platform's file brings.
func withoutKnownList(config string) string {
	before, rest, _ := strings.Cut(config, `"known":`)
	_, after, _ := strings.Cut(rest, `,"settings"`)
	return before + `"settings"` + after
}

// alone starts the program with no list but the saved one. discovery answers as the handler does; nil for nobody there.
func startFromCache(t *testing.T, dir string, discovery http.Handler) *testDispatcher {
	t.Helper()
	n := &testDispatcher{t: t, discovery: &testDiscovery{revision: 1, changed: make(chan struct{})}, exited: make(chan struct{})}
	n.start(savedListBlock(dir), func(config string) string {
		config = withoutKnownList(config)
		if discovery == nil {
			return strings.Replace(config, discoveryAddress(config), "127.0.0.1:1", 1)
		}
		server := httptest.NewServer(discovery)
		t.Cleanup(server.CloseClientConnections)
		return strings.Replace(config, discoveryAddress(config), server.Listener.Addr().String(), 1)
	})
	return n
}

func discoveryAddress(config string) string {
	_, rest, _ := strings.Cut(config, `"discovery":"`)
	address, _, _ := strings.Cut(rest, `"`)
	return address
}

// text gives a figure that is no number.
func (d *testDispatcher) metricText(name string) string {
	_, text := d.callAdmin("GET", "/_vars", "")
	_, rest, _ := strings.Cut("\n"+text, "\n"+name+"=")
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

// serve sends jobs until one is served.
func (d *testDispatcher) waitUntilServed(key string) {
	d.t.Helper()
	i := 0
	d.waitFor("a job that is served", func() bool {
		i++
		status, _, _ := d.send(newRequest(d.http1URL, fmt.Sprint(key, "-", i), "Req-Deadline-Ms", "1000"))
		return status == 200
	})
}

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

// warm sends so many jobs at a time that each worker gets some, until all are proven.
func (d *testDispatcher) warmUp(workers int) {
	d.t.Helper()
	round := 0
	d.waitFor("all to be proven", func() bool {
		round++
		var wait sync.WaitGroup
		for i := range 8 * workers {
			wait.Go(func() { trySend(http.DefaultClient, newRequest(d.http1URL, fmt.Sprint("warm-", round, "-", i))) })
		}
		wait.Wait()
		return d.metric("boxes_proven") == workers
	})
}

// returning starts on a saved list with discovery down, has all workers proven, and gives what brings discovery back.
func startWhileDiscoveryFails(t *testing.T, workers ...*testWorker) (n *testDispatcher, back func(revision int, listed ...*testWorker)) {
	dir := t.TempDir()
	writeCachedList(t, dir, time.Hour, nil, workers...)
	g := &testDiscovery{revision: 1, failing: true, changed: make(chan struct{})}
	n = startFromCache(t, dir, g)
	n.discovery = g
	n.warmUp(len(workers))
	return n, func(revision int, listed ...*testWorker) {
		g.update(func() { g.failing, g.workers, g.revision = false, listed, revision-1 })
	}
}

// Discovery returns with all: nothing is started over, and the module goes on with what it knew.
func TestEndpointCache_discoveryReturns(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	a, b := startWorker(t, "a", script), startWorker(t, "b", script)
	n, back := startWhileDiscoveryFails(t, a, b)
	back(50, a, b)
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" })
	// The door may answer before the line written earlier has come through the pipe.
	n.waitFor("what was learned", func() bool {
		return strings.Contains(n.log(), "discovery list in force\" known=2 same_incarnation=2")
	})
	n.waitUntilServed("k")
}

// A worker that the returned list does not name gets nothing new, and its running job ends where it is; one that is named
// as leaving the same.
func TestEndpointCache_returnedListLacksWorker(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	script := func(b *testWorker, c net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "held" {
			<-release
			completeJob(b, c, r)
			return
		}
		completeAfter(20*time.Millisecond)(b, c, r)
	}
	a, b, c, d := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script), startWorker(t, "d", script)
	n, back := startWhileDiscoveryFails(t, a, b, c, d)
	held := make(chan int, 1)
	go func() {
		status, _, _ := n.send(newRequest(n.http1URL, "held"))
		held <- status
	}()
	var at *testWorker
	n.waitFor("the job", func() bool {
		for _, x := range []*testWorker{a, b, c, d} {
			if x.runsOf("held") == 1 {
				at = x
				return true
			}
		}
		return false
	})
	var rest []*testWorker
	for _, x := range []*testWorker{a, b, c, d} {
		if x != at {
			rest = append(rest, x)
		}
	}
	rest[0].phase = "leaving"
	back(50, rest...)
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" })
	n.waitFor("the end of the grace", func() bool { return time.Since(n.lastListUpdate()) > 500*time.Millisecond })
	_, before := at.count()
	_, leaving := rest[0].count()
	for i := range 20 {
		if status, _, _ := n.send(newRequest(n.http1URL, fmt.Sprint("after-", i))); status != 200 {
			t.Errorf("job %d: %d", i, status)
		}
	}
	if _, now := at.count(); now != before {
		t.Errorf("%d jobs at the one that is gone", now-before)
	}
	if _, now := rest[0].count(); now != leaving {
		t.Errorf("%d jobs at the one that leaves", now-leaving)
	}
	close(release)
	if status := <-held; status != 200 {
		t.Errorf("the running job: %d", status)
	}
}

// Discovery comes back with nothing, then a third at a lower revision, then all: it flaps, and all jobs go on being served
// by the workers that answer.
func TestEndpointCache_discoveryFlaps(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	a, b, c, d := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script), startWorker(t, "d", script)
	n, back := startWhileDiscoveryFails(t, a, b, c, d)
	serve := func(what string) {
		t.Helper()
		for i := range 10 {
			if status, _, _ := n.send(newRequest(n.http1URL, fmt.Sprint(what, "-", i))); status != 200 {
				t.Errorf("%s, job %d: %d", what, i, status)
			}
		}
	}
	back(50)
	n.waitFor("the doubt", func() bool { return n.metric("list_doubted") == 1 })
	serve("nothing listed")
	if n.metric("targets") != 4 {
		t.Errorf("%d targets", n.metric("targets"))
	}
	back(3, a) // below half of four, and older
	serve("a quarter listed")
	back(60, a, b, c, d)
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" && n.metric("targets") == 4 })
	serve("all listed")
	if lines := strings.Count(n.log(), "much shorter than cached list"); lines < 1 {
		t.Errorf("%d lines of doubt", lines)
	}
}

// A short list that is told twice counts.
func TestEndpointCache_shortListConfirmed(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	a, b, c := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script)
	n, back := startWhileDiscoveryFails(t, a, b, c)
	back(50, a)
	n.waitFor("the doubt", func() bool { return n.metric("list_doubted") == 1 })
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" && n.metric("targets") == 1 })
	n.waitUntilServed("k")
}

// A worker that is named with a later start is new, and cold; one whose id and address are new too.
func TestEndpointCache_restartedWorkers(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	a, b := startWorker(t, "a", script), startWorker(t, "b", script)
	n, back := startWhileDiscoveryFails(t, a, b)
	a.startedAtMS, b.id = time.Now().UnixMilli(), "b2"
	back(50, a, b)
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" })
	n.waitFor("nothing taken for what it was", func() bool { return strings.Contains(n.log(), "in force\" known=2 same_incarnation=0") })
	n.waitUntilServed("k")
}

// While one process replaces another that still trusts its saved list, the successor begins from that too, and neither
// tears the other's files.
func TestEndpointCache_handover(t *testing.T) {
	t.Parallel()
	a := startWorker(t, "a", completeAfter(20*time.Millisecond))
	dir := t.TempDir()
	writeCachedList(t, dir, time.Hour, nil, a)
	n := startFromCache(t, dir, nil)
	n.waitUntilServed("first")
	m := n.startSuccessor(savedListBlock(dir))
	if m.metricText("list_source") != "saved" {
		t.Errorf("source %q", m.metricText("list_source"))
	}
	n.waitForHandovers(1)
	n.command.Process.Signal(syscall.SIGTERM)
	n.waitForExit(time.Now().Add(5 * time.Second))
	m.waitUntilServed("second")
	if code, out, _ := runCommand(t, "saved", "verify", dir); code != 0 {
		t.Errorf("saved verify: %s", out)
	}
}
