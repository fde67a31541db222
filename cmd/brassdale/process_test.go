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

const settings = `{"classes":[{"aim":200000,"credit":1,"deadline":5000000,"dedupScope":"cell","effect":"keyed","lateWorth":0.1,"name":"price-part","window":7500000}],
"discovery":"ask","familyInfo":{"classKind":[-1],"classStretch":[2.5],"progress":2000000,"tellsStart":true},"flavors":["new-worker"],
"limits":{"cancel":true,"connIdle":10000000,"connectTimeout":200000,"maxAttempts":4,"maxRetryAfter":2000000,"mayDuplicate":true,"probing":true,"retryAfter":true,"newKey":1},
"loadReport":{"columns":["cpu_share","pending","x0","x1"],"via":"pull"},"replicasOfMe":1,
"rules":{"answerSlack":8000,"askWithin":10000000,"cold":24000000,"drainGrace":500000,"fall":1500000,"startCapacity":0.14,"tipMultiple":3},"zones":["llanelli"]}`

// line is a message of an endpoint about a job.
func line(id, rest string) string { return fmt.Sprintf("{\"id\":%q,\"from\":\"s\",%s}\n", id, rest) }

// worker is an endpoint that does with each job what its script says.
type worker struct {
	id, cell, phase string
	ln              net.Listener
	script          func(b *worker, c net.Conn, r *http.Request)
	mu              sync.Mutex
	conns, jobs     int
	runs            map[string]int // by key
	since           int64          // when it started, in Unix time; 0 for long ago
	closed          chan string    // Req-Id of each job whose connection the dispatcher closed
	unready         atomic.Bool    // it answers probes with 503, as a worker does that drains
}

func newWorker(t testing.TB, id string, script func(*worker, net.Conn, *http.Request)) *worker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &worker{id: id, cell: "1", phase: "active", ln: ln, script: script, runs: map[string]int{}, closed: make(chan string, 64)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns++
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b
}

func (b *worker) serve(c net.Conn) {
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
		if r.URL.Path == "/stats" && b.unready.Load() {
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if r.URL.Path == "/stats" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\nutil=0.1,queue=0,x0=5,x1=5")
			continue
		}
		r.Header.Set("Body", string(body))
		b.mu.Lock()
		b.jobs++
		b.runs[r.Header.Get("Idempotency-Key")]++
		b.mu.Unlock()
		b.script(b, c, r)
	}
}

func (b *worker) count() (conns, jobs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns, b.jobs
}

// keys gives how often each job came, by its key.
func (b *worker) keys() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// jobsAt is how many jobs came to some workers together.
func jobsAt(workers ...*worker) (sum int) {
	for _, b := range workers {
		_, jobs := b.count()
		sum += jobs
	}
	return sum
}

// head starts a chunked answer, chunk goes on with it, last ends it.
func head(c net.Conn, kind string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n", kind)
}
func chunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
func last(c net.Conn)               { io.WriteString(c, "0\r\n\r\n") }

// says answers a job with these messages.
func says(messages ...string) func(*worker, net.Conn, *http.Request) {
	return func(_ *worker, c net.Conn, r *http.Request) {
		head(c, "application/json")
		for _, m := range messages {
			chunk(c, line(r.Header.Get("Req-Id"), m))
		}
		last(c)
	}
}

// raw answers a job with this text, whatever it is, and ends the connection.
func raw(text string) func(*worker, net.Conn, *http.Request) {
	return func(_ *worker, c net.Conn, _ *http.Request) {
		io.WriteString(c, text)
		c.Close()
	}
}

// freezes says these messages and then nothing until the dispatcher gives up.
func freezes(messages ...string) func(*worker, net.Conn, *http.Request) {
	return func(b *worker, c net.Conn, r *http.Request) {
		head(c, "application/json")
		for _, m := range messages {
			chunk(c, line(r.Header.Get("Req-Id"), m))
		}
		io.Copy(io.Discard, c)
		b.closed <- r.Header.Get("Req-Id")
	}
}

// sticks freezes in jobs whose key begins with "stuck", once they have started, and works on all others.
func sticks(b *worker, c net.Conn, r *http.Request) {
	if strings.HasPrefix(r.Header.Get("Idempotency-Key"), "stuck") {
		freezes(`"state":"started"`)(b, c, r)
	}
	works(b, c, r)
}

var works = says(`"state":"started"`, `"state":"running","share":0.5`, `"state":"done","result":"priced"`)

// registry is discovery: it answers a watch when the list is newer, or fails it.
type registry struct {
	mu       sync.Mutex
	revision int
	workers  []*worker
	fail     bool
	hang     bool                     // calls are taken and never answered
	broken   func(list string) string // what is sent in place of a list; nil for the list
	asked    []int                    // revisions that were asked after, ...
	waits    []int                    // ... and for how many milliseconds each call may wait
	silent   int                      // so many of the first calls say nothing more
	changed  chan struct{}
}

func (g *registry) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	g.revision++
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *registry) list() string {
	var lines []string
	for _, b := range g.workers {
		lines = append(lines, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"llanelli","flavor":"new-worker","cell":%s,"phase":%q,"size":1.0,"up_since_ms":%d}`,
			b.id, b.ln.Addr(), b.cell, b.phase, b.since))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, g.revision, strings.Join(lines, ","))
}

func (g *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("index"))
	g.mu.Lock()
	g.asked = append(g.asked, after)
	fail := g.fail
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	g.waits = append(g.waits, wait)
	call := len(g.asked)
	over := time.After(time.Duration(wait) * time.Millisecond)
	for g.revision <= after && !g.fail || g.hang || call <= g.silent {
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			g.mu.Lock()
			if !g.hang && call > g.silent {
				defer g.mu.Unlock()
				fmt.Fprintf(w, `{"revision":%d,"complete":false,"members":[]}`, g.revision)
				return
			}
			over = nil
			continue // with the lock
		case <-r.Context().Done():
			return
		}
		g.mu.Lock()
	}
	defer g.mu.Unlock()
	if fail {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := g.list()
	if g.broken != nil {
		whole := len(list)
		list = g.broken(list)
		w.Header().Set("Content-Length", strconv.Itoa(max(len(list), whole))) // half a list ends early
	}
	io.WriteString(w, list)
}

// node is the program under test.
type node struct {
	t             testing.TB
	binary        string // the program's, empty for this one
	cmd           *exec.Cmd
	registry      *registry
	path, config  string // the platform's file, and its text at the start
	operator      string // the operator's file
	descriptors   int    // that the process may hold; 0 for as many as this one
	tmp           string // $TMPDIR
	url, progress string // of the fronts
	h2            string
	admin         string // of the door
	mu            sync.Mutex
	text          strings.Builder
	exited        chan struct{}
}

func start(t *testing.T, operator string, workers ...*worker) *node {
	t.Helper()
	return startWith(t, operator, func(config string) string { return config }, workers...)
}

// startWith starts the program with a file that is changed before.
func startWith(t *testing.T, operator string, change func(string) string, workers ...*worker) *node {
	t.Helper()
	n := &node{t: t, registry: &registry{revision: 1, workers: workers, changed: make(chan struct{})}, exited: make(chan struct{})}
	n.startHere(operator, change)
	return n
}

// startHere starts discovery and the program.
func (n *node) startHere(operator string, change func(string) string) {
	n.t.Helper()
	discovery := httptest.NewServer(n.registry)
	n.t.Cleanup(discovery.CloseClientConnections)
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		discovery.Listener.Addr(), n.registry.list(), settings)
	n.launch(change(config), operator)
	n.serves(operator)
}

// serves waits until the program takes clients.
func (n *node) serves(operator string) {
	n.t.Helper()
	n.waitFor("both fronts", func() bool {
		n.url, n.progress, n.admin = n.address("inbound"), n.address("progress"), n.address("admin")
		n.h2 = n.address("http2")
		return n.url != "" && strings.Contains(n.log(), "msg=ready")
	})
}

// successor starts the program again beside itself, as the platform does.
func (n *node) successor(operator string) *node {
	n.t.Helper()
	m := &node{t: n.t, registry: n.registry, tmp: n.tmp, exited: make(chan struct{})}
	m.launch(n.config, operator)
	m.serves(operator)
	return m
}

// passesOn waits until so many successors have told the program that they serve.
func (n *node) passesOn(times int) {
	n.t.Helper()
	n.waitFor("the successor's word", func() bool { return strings.Count(n.log(), "handover complete") == times })
}

// call makes an operator's call at the door and gives the status and the body.
func (n *node) call(method, path, body string) (int, string) {
	n.t.Helper()
	r, err := http.NewRequest(method, n.admin+path, strings.NewReader(body))
	if err != nil {
		n.t.Fatal(err)
	}
	r.Close = true
	status, text, _ := n.do(r)
	return status, text
}

// figure gives one of the figures; -1 where there is none of that name.
func (n *node) figure(name string) int {
	n.t.Helper()
	_, text := n.call("GET", "/_vars", "")
	_, rest, ok := strings.Cut("\n"+text, "\n"+name+"=")
	value, _, _ := strings.Cut(rest, "\n")
	x, err := strconv.Atoi(value)
	if !ok || err != nil {
		return -1
	}
	return x
}

func (n *node) launch(config, operator string) {
	dir := n.t.TempDir()
	n.path, n.config = filepath.Join(dir, "config.json"), config
	if n.binary == "" {
		n.binary = os.Args[0]
	}
	n.cmd = exec.Command(n.binary)
	if operator != "" {
		file := filepath.Join(dir, "operator.hcl")
		n.write(file, operator)
		n.cmd.Args = append(n.cmd.Args, "serve", "--operator", file)
	}
	n.write(n.path, config)
	if n.tmp == "" {
		n.tmp = n.t.TempDir()
	}
	n.operator = filepath.Join(dir, "operator.hcl")
	if n.descriptors > 0 {
		limit := fmt.Sprintf("ulimit -n %d; exec \"$@\"", n.descriptors)
		n.cmd = exec.Command("sh", append([]string{"-c", limit, "sh"}, n.cmd.Args...)...)
	}
	n.cmd.Env = append(os.Environ(), "BRASSDALE_CHILD=1", "GW_CONFIG="+n.path, "TMPDIR="+n.tmp, "GW_ADMIN=127.0.0.1:0")
	n.cmd.Stderr = n
	if err := n.cmd.Start(); err != nil {
		n.t.Fatal(err)
	}
	go func() { n.cmd.Wait(); close(n.exited) }()
	n.t.Cleanup(func() {
		n.cmd.Process.Kill()
		<-n.exited
		if text := n.log(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic") || n.t.Failed() {
			n.t.Errorf("log of the program:\n%s", text)
		}
	})
}

func (n *node) write(path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		n.t.Fatal(err)
	}
}

func (n *node) Write(p []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text.Write(p)
}

func (n *node) log() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text.String()
}

func (n *node) address(front string) string {
	_, rest, ok := strings.Cut(n.log(), "front="+front+" address=")
	address, _, whole := strings.Cut(rest, "\n")
	if !ok || !whole {
		return ""
	}
	return "http://" + address
}

func (n *node) waitFor(what string, ok func() bool) {
	n.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			n.t.Fatalf("never seen: %s", what)
		}
	}
}

// reload replaces the platform's file and tells the program.
func (n *node) reload(config string) {
	n.write(n.path, config)
	n.cmd.Process.Signal(syscall.SIGHUP)
}

// begin sends a job and gives its status to come, once the job is at the endpoint; closed if there is none.
func (n *node) begin(b *worker, key string) <-chan int {
	n.t.Helper()
	answered := make(chan int, 1)
	go func() {
		defer close(answered)
		status, _, _ := n.do(request(n.url, key))
		answered <- status
	}()
	n.waitFor("the job at the endpoint", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.runs[key] == 1 })
	return answered
}

// closed tells whether no new connection is taken.
func (n *node) closed() bool {
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err == nil {
		c.Close()
	}
	return err != nil
}

// ends waits until the program has ended by itself, in good order.
func (n *node) ends(by time.Time) {
	n.t.Helper()
	select {
	case <-n.exited:
	case <-time.After(time.Until(by)):
		n.t.Fatal("still runs")
	}
	if code := n.cmd.ProcessState.ExitCode(); code != 0 {
		n.t.Errorf("exit code %d", code)
	}
}

func (n *node) stop() { n.cmd.Process.Signal(syscall.SIGTERM) }

// request makes a job; headers are name, value, name, value and replace the usual ones.
func request(url, key string, headers ...string) *http.Request {
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
func (n *node) do(r *http.Request) (int, string, string) {
	n.t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		n.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		n.t.Fatal(err)
	}
	return resp.StatusCode, string(body), resp.Header.Get("Retry-After")
}
