package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The tests start the real program: this binary again, as the child that only runs main.
func TestMain(m *testing.M) {
	if os.Getenv("BRASSDALE_CHILD") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const settingsJSON = `{"classes":[{"aim":200000,"credit":1,"deadline":5000000,"dedupScope":"cell","effect":"keyed","lateWorth":0.1,"name":"price-part","window":7500000}],
"discovery":"ask","familyInfo":{"classKind":[-1],"classStretch":[2.5],"progress":2000000,"tellsStart":true},"flavors":["new-worker"],
"limits":{"cancel":true,"connIdle":10000000,"connectTimeout":200000,"maxAttempts":4,"maxRetryAfter":2000000,"mayDuplicate":true,"probing":true,"retryAfter":true,"newKey":1},
"loadReport":{"columns":["cpu_share","pending","x0","x1"],"via":"pull"},"replicasOfMe":1,
"rules":{"answerSlack":8000,"askWithin":10000000,"cold":24000000,"drainGrace":500000,"fall":1500000,"startCapacity":0.14,"tipMultiple":3},"zones":["llanelli"]}`

// line is a message of an endpoint about a job.
func jobMessage(id, rest string) string {
	return fmt.Sprintf("{\"id\":%q,\"from\":\"s\",%s}\n", id, rest)
}

// worker is an endpoint that does with each job what its script says.
type testWorker struct {
	id, cell, phase   string
	listener          net.Listener
	handler           func(b *testWorker, c net.Conn, r *http.Request)
	mu                sync.Mutex
	connections, jobs int
	runs              map[string]int // by key
	startedAtMS       int64          // when it started, in Unix time; 0 for long ago
	abandoned         chan string    // Req-Id of each job whose connection the dispatcher closed
	failsProbes       atomic.Bool    // it answers probes with 503, as a worker does that drains
}

func startWorker(t testing.TB, id string, script func(*testWorker, net.Conn, *http.Request)) *testWorker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &testWorker{id: id, cell: "1", phase: "active", listener: ln, handler: script, runs: map[string]int{}, abandoned: make(chan string, 64)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.connections++
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b
}

func (w *testWorker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/stats" && w.failsProbes.Load() {
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if r.URL.Path == "/stats" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\nutil=0.1,queue=0,x0=5,x1=5")
			continue
		}
		r.Header.Set("Body", string(body))
		w.mu.Lock()
		w.jobs++
		w.runs[r.Header.Get("Idempotency-Key")]++
		w.mu.Unlock()
		w.handler(w, c, r)
	}
}

func (w *testWorker) count() (conns, jobs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connections, w.jobs
}

// keys gives how often each job came, by its key.
func (w *testWorker) runsPerKey() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.runs)
}

// jobsAt is how many jobs came to some workers together.
func totalJobs(workers ...*testWorker) (sum int) {
	for _, b := range workers {
		_, jobs := b.count()
		sum += jobs
	}
	return sum
}

// head starts a chunked answer, chunk goes on with it, last ends it.
func writeHead(c net.Conn, kind string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n", kind)
}
func writeChunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
func writeLastChunk(c net.Conn)          { io.WriteString(c, "0\r\n\r\n") }

// says answers a job with these messages.
func respondWith(messages ...string) func(*testWorker, net.Conn, *http.Request) {
	return func(_ *testWorker, c net.Conn, r *http.Request) {
		writeHead(c, "application/json")
		for _, m := range messages {
			writeChunk(c, jobMessage(r.Header.Get("Req-Id"), m))
		}
		writeLastChunk(c)
	}
}

// raw answers a job with this text, whatever it is, and ends the connection.
func respondRaw(text string) func(*testWorker, net.Conn, *http.Request) {
	return func(_ *testWorker, c net.Conn, _ *http.Request) {
		io.WriteString(c, text)
		c.Close()
	}
}

// freezes says these messages and then nothing until the dispatcher gives up.
func respondThenStall(messages ...string) func(*testWorker, net.Conn, *http.Request) {
	return func(b *testWorker, c net.Conn, r *http.Request) {
		writeHead(c, "application/json")
		for _, m := range messages {
			writeChunk(c, jobMessage(r.Header.Get("Req-Id"), m))
		}
		io.Copy(io.Discard, c)
		b.abandoned <- r.Header.Get("Req-Id")
	}
}

// sticks freezes in jobs whose key begins with "stuck", once they have started, and works on all others.
func stallOnStuckKeys(b *testWorker, c net.Conn, r *http.Request) {
	if strings.HasPrefix(r.Header.Get("Idempotency-Key"), "stuck") {
		respondThenStall(`"state":"started"`)(b, c, r)
	}
	completeJob(b, c, r)
}

var completeJob = respondWith(`"state":"started"`, `"state":"running","share":0.5`, `"state":"done","result":"priced"`)

// registry is discovery: it answers a watch when the list is newer, or fails it.
type testDiscovery struct {
	mu              sync.Mutex
	revision        int
	workers         []*testWorker
	failing         bool
	hanging         bool                     // calls are taken and never answered
	corrupt         func(list string) string // what is sent in place of a list; nil for the list
	polledRevisions []int                    // revisions that were asked after, ...
	pollWaits       []int                    // ... and for how many milliseconds each call may wait
	silentCalls     int                      // so many of the first calls say nothing more
	changed         chan struct{}
}

func (d *testDiscovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *testDiscovery) listJSON() string {
	var lines []string
	for _, b := range d.workers {
		lines = append(lines, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"llanelli","flavor":"new-worker","cell":%s,"phase":%q,"size":1.0,"up_since_ms":%d}`,
			b.id, b.listener.Addr(), b.cell, b.phase, b.startedAtMS))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, d.revision, strings.Join(lines, ","))
}

func (d *testDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("index"))
	d.mu.Lock()
	d.polledRevisions = append(d.polledRevisions, after)
	fail := d.failing
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	d.pollWaits = append(d.pollWaits, wait)
	call := len(d.polledRevisions)
	over := time.After(time.Duration(wait) * time.Millisecond)
	for d.revision <= after && !d.failing || d.hanging || call <= d.silentCalls {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			d.mu.Lock()
			if !d.hanging && call > d.silentCalls {
				defer d.mu.Unlock()
				fmt.Fprintf(w, `{"revision":%d,"complete":false,"members":[]}`, d.revision)
				return
			}
			over = nil
			continue // with the lock
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	if fail {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := d.listJSON()
	if d.corrupt != nil {
		whole := len(list)
		list = d.corrupt(list)
		w.Header().Set("Content-Length", strconv.Itoa(max(len(list), whole))) // half a list ends early
	}
	io.WriteString(w, list)
}

// node is the program under test.
type testDispatcher struct {
	t                     testing.TB
	binary                string // the program's, empty for this one
	command               *exec.Cmd
	discovery             *testDiscovery
	configPath, config    string // the platform's file, and its text at the start
	operatorPath          string // the operator's file
	descriptorLimit       int    // that the process may hold; 0 for as many as this one
	tempDir               string // $TMPDIR
	http1URL, progressURL string // of the fronts
	http2URL              string
	adminURL              string // of the door
	mu                    sync.Mutex
	logText               strings.Builder
	exited                chan struct{}
}

func startDispatcher(t *testing.T, operator string, workers ...*testWorker) *testDispatcher {
	t.Helper()
	return startDispatcherWith(t, operator, func(config string) string { return config }, workers...)
}

// startWith starts the program with a file that is changed before.
func startDispatcherWith(t *testing.T, operator string, change func(string) string, workers ...*testWorker) *testDispatcher {
	t.Helper()
	n := &testDispatcher{t: t, discovery: &testDiscovery{revision: 1, workers: workers, changed: make(chan struct{})}, exited: make(chan struct{})}
	n.start(operator, change)
	return n
}

// startHere starts discovery and the program.
func (d *testDispatcher) start(operator string, change func(string) string) {
	d.t.Helper()
	discovery := httptest.NewServer(d.discovery)
	d.t.Cleanup(discovery.CloseClientConnections)
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		discovery.Listener.Addr(), d.discovery.listJSON(), settingsJSON)
	d.startProcess(change(config), operator)
	d.waitUntilReady(operator)
}

// serves waits until the program takes clients.
func (d *testDispatcher) waitUntilReady(operator string) {
	d.t.Helper()
	d.waitFor("both fronts", func() bool {
		d.http1URL, d.progressURL, d.adminURL = d.frontendURL("inbound"), d.frontendURL("progress"), d.frontendURL("admin")
		d.http2URL = d.frontendURL("http2")
		return d.http1URL != "" && strings.Contains(d.log(), "msg=ready")
	})
}

// successor starts the program again beside itself, as the platform does.
func (d *testDispatcher) startSuccessor(operator string) *testDispatcher {
	d.t.Helper()
	m := &testDispatcher{t: d.t, discovery: d.discovery, tempDir: d.tempDir, exited: make(chan struct{})}
	m.startProcess(d.config, operator)
	m.waitUntilReady(operator)
	return m
}

// passesOn waits until so many successors have told the program that they serve.
func (d *testDispatcher) waitForHandovers(times int) {
	d.t.Helper()
	d.waitFor("the successor's word", func() bool { return strings.Count(d.log(), "handover complete") == times })
}

// call makes an operator's call at the door and gives the status and the body.
func (d *testDispatcher) callAdmin(method, path, body string) (int, string) {
	d.t.Helper()
	r, err := http.NewRequest(method, d.adminURL+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	r.Close = true
	status, text, _ := d.send(r)
	return status, text
}

// figure gives one of the figures; -1 where there is none of that name.
func (d *testDispatcher) metric(name string) int {
	d.t.Helper()
	_, text := d.callAdmin("GET", "/_vars", "")
	_, rest, ok := strings.Cut("\n"+text, "\n"+name+"=")
	value, _, _ := strings.Cut(rest, "\n")
	x, err := strconv.Atoi(value)
	if !ok || err != nil {
		return -1
	}
	return x
}

func (d *testDispatcher) startProcess(config, operator string) {
	dir := d.t.TempDir()
	d.configPath, d.config = filepath.Join(dir, "config.json"), config
	if d.binary == "" {
		d.binary = os.Args[0]
	}
	d.command = exec.Command(d.binary)
	if operator != "" {
		file := filepath.Join(dir, "operator.hcl")
		d.writeFile(file, operator)
		d.command.Args = append(d.command.Args, "serve", "--operator", file)
	}
	d.writeFile(d.configPath, config)
	if d.tempDir == "" {
		d.tempDir = d.t.TempDir()
	}
	d.operatorPath = filepath.Join(dir, "operator.hcl")
	if d.descriptorLimit > 0 {
		limit := fmt.Sprintf("ulimit -n %d; exec \"$@\"", d.descriptorLimit)
		d.command = exec.Command("sh", append([]string{"-c", limit, "sh"}, d.command.Args...)...)
	}
	d.command.Env = append(os.Environ(), "BRASSDALE_CHILD=1", "GW_CONFIG="+d.configPath, "TMPDIR="+d.tempDir, "GW_ADMIN=127.0.0.1:0")
	d.command.Stderr = d
	if err := d.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() { d.command.Wait(); close(d.exited) }()
	d.t.Cleanup(func() {
		d.command.Process.Kill()
		<-d.exited
		if text := d.log(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic") || d.t.Failed() {
			d.t.Errorf("log of the program:\n%s", text)
		}
	})
}

func (d *testDispatcher) writeFile(path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

func (d *testDispatcher) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.logText.Write(p)
}

func (d *testDispatcher) log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.logText.String()
}

func (d *testDispatcher) frontendURL(front string) string {
	_, rest, ok := strings.Cut(d.log(), "front="+front+" address=")
	address, _, whole := strings.Cut(rest, "\n")
	if !ok || !whole {
		return ""
	}
	return "http://" + address
}

func (d *testDispatcher) waitFor(what string, ok func() bool) {
	d.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("never seen: %s", what)
		}
	}
}

// reload replaces the platform's file and tells the program.
func (d *testDispatcher) reload(config string) {
	d.writeFile(d.configPath, config)
	d.command.Process.Signal(syscall.SIGHUP)
}

// begin sends a job and gives its status to come, once the job is at the endpoint; closed if there is none.
func (d *testDispatcher) sendInBackground(b *testWorker, key string) <-chan int {
	d.t.Helper()
	answered := make(chan int, 1)
	go func() {
		defer close(answered)
		status, _, _ := d.send(newRequest(d.http1URL, key))
		answered <- status
	}()
	d.waitFor("the job at the endpoint", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.runs[key] == 1 })
	return answered
}

// closed tells whether no new connection is taken.
func (d *testDispatcher) refusesConnections() bool {
	c, err := net.Dial("tcp", strings.TrimPrefix(d.http1URL, "http://"))
	if err == nil {
		c.Close()
	}
	return err != nil
}

// ends waits until the program has ended by itself, in good order.
func (d *testDispatcher) waitForExit(by time.Time) {
	d.t.Helper()
	select {
	case <-d.exited:
	case <-time.After(time.Until(by)):
		d.t.Fatal("still runs")
	}
	if code := d.command.ProcessState.ExitCode(); code != 0 {
		d.t.Errorf("exit code %d", code)
	}
}

func (d *testDispatcher) terminate() { d.command.Process.Signal(syscall.SIGTERM) }

// request makes a job; headers are name, value, name, value and replace the usual ones.
func newRequest(url, key string, headers ...string) *http.Request {
	r, err := http.NewRequest("POST", url+"/price-part?sheet=7", strings.NewReader("drawing"))
	if err != nil {
		panic(err)
	}
	pairs := append([]string{"Req-Id", "id-" + key, "Req-Kind", "price-part", "Req-Owner", "taff-marine",
		"Idempotency-Key", key, "Req-Deadline-Ms", "5000"}, headers...)
	for i := 0; i < len(pairs); i += 2 {
		if r.Header.Set(pairs[i], pairs[i+1]); pairs[i+1] == "" {
			r.Header.Del(pairs[i])
		}
	}
	return r
}

// do sends a request and gives the status, the body and the Retry-After.
func (d *testDispatcher) send(r *http.Request) (int, string, string) {
	d.t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	return resp.StatusCode, string(body), resp.Header.Get("Retry-After")
}
