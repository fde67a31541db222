package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestServesAndMapsBadInput(t *testing.T) {
	t.Parallel()
	var got http.Header
	b := newWorker(t, "a", func(b *worker, c net.Conn, r *http.Request) {
		got = r.Header
		got.Set("Target", r.RequestURI)
		works(b, c, r)
	})
	n := start(t, "", b)
	if status, body, _ := n.do(request(n.url, "k1")); status != 200 || body != "priced" {
		t.Errorf("a job: %d %q", status, body)
	}
	for name, want := range map[string]string{"Req-Id": "id-k1", "Idempotency-Key": "k1", "Target": "/price-part?sheet=7", "Body": "drawing"} {
		if got.Get(name) != want {
			t.Errorf("%s came to the endpoint as %q", name, got.Get(name))
		}
	}
	resp, err := http.Get(n.url + "/price-part")
	if err != nil || resp.StatusCode != 405 || resp.Header.Get("Allow") != "POST" {
		t.Errorf("GET: %v %v", resp, err)
	}
	large := request(n.url, "k2")
	large.Body, large.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 64<<10+1))), -1
	unknown := request(n.url, "k3")
	unknown.URL.Path = "/paint"
	for name, c := range map[string]struct {
		r      *http.Request
		status int
	}{
		"too large":       {large, 413},
		"unknown class":   {unknown, 404},
		"unknown kind":    {request(n.url, "k", "Req-Kind", "paint"), 404},
		"no id":           {request(n.url, "k", "Req-Id", ""), 400},
		"no key":          {request(n.url, "k", "Idempotency-Key", ""), 400},
		"deadline":        {request(n.url, "k", "Req-Deadline-Ms", "soon"), 400},
		"negative":        {request(n.url, "k", "Req-Deadline-Ms", "-1"), 400},
		"signed":          {request(n.url, "k", "Req-Deadline-Ms", "+5"), 400},
		"id not plain":    {request(n.url, "k", "Req-Id", "\u00e9"), 400},
		"extra":           {request(n.url, "k", "Req-Extra", "slots=many"), 400},
		"extra and noise": {request(n.url, "k4", "Req-Extra", "slots=2,new=1"), 200},
	} {
		if status, body, _ := n.do(c.r); status != c.status {
			t.Errorf("%s: %d %q, want %d", name, status, body, c.status)
		}
	}
	for _, text := range []string{"POST /price-part HTTP/1.1\r\nHost: h\r\nContent-Length: -4\r\n\r\n", "POST /price-part HTTP/1.1\r\nHost: h\r\nReq Id: 1\r\n\r\n"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		if answer, _ := io.ReadAll(c); !strings.HasPrefix(string(answer), "HTTP/1.1 400 ") {
			t.Errorf("%q: answered %q", text, answer)
		}
		c.Close()
	}
	if _, jobs := b.count(); jobs != 2 {
		t.Errorf("%d jobs came to the endpoint, want 2", jobs)
	}
}

// Only a worker's result makes a 200, only what never ran makes a refusal.
func TestEndpointOutcomes(t *testing.T) {
	t.Parallel()
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		script func(*worker, net.Conn, *http.Request)
		status int
	}{
		"failed":            {says(`"state":"failed"`), 502},
		"500":               {raw("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), 502},
		"404":               {raw("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"), 502},
		"lost":              {says(`"state":"started"`, `"state":"lost"`), 502},
		"cut at once":       {raw(""), 502},
		"cut in a line":     {raw(chunked + "5\r\n{\"id\"\r\n"), 502},
		"no last line":      {says(`"state":"started"`), 502},
		"no JSON":           {raw(chunked + "4\r\nno!\n\r\n0\r\n\r\n"), 502},
		"no HTTP":           {raw("hello\r\n\r\n"), 502},
		"unknown state":     {says(`"state":"melted"`), 502},
		"done, no result":   {says(`"state":"done"`), 502},
		"other job's":       {raw(chunked + "29\r\n{\"id\":\"x\",\"state\":\"done\",\"result\":\"priced\"}\r\n0\r\n\r\n"), 502},
		"returned":          {says(`"state":"returned"`), 503},
		"declined":          {raw("HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), 503},
		"503, not declined": {raw("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), 502},
		"result and load":   {says(`"state":"done","result":"priced","load":{"util":0.2,"new":"x"}`), 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := start(t, "", newWorker(t, "a", c.script))
			status, body, after := n.do(request(n.url, "k"))
			if status != c.status || (status == 503) != (after != "") {
				t.Errorf("answered %d %q, Retry-After %q, want %d", status, body, after, c.status)
			}
		})
	}
}

// What reached no endpoint never ran: it is refused, and its client told when to come back.
func TestNobodyListens(t *testing.T) {
	t.Parallel()
	b := newWorker(t, "a", works)
	b.ln.Close()
	n := start(t, "", b)
	if status, _, after := n.do(request(n.url, "k")); status != 503 || after != "2" {
		t.Errorf("answered %d, Retry-After %q", status, after)
	}
}

// An endpoint that takes a job and says nothing: the answer still comes inside deadline and slack.
func TestSilentEndpoint(t *testing.T) {
	t.Parallel()
	n := start(t, "", newWorker(t, "a", freezes()))
	begin := time.Now()
	status, _, _ := n.do(request(n.url, "k", "Req-Deadline-Ms", "500"))
	if took := time.Since(begin); status != 504 || took < 450*time.Millisecond || took > 1500*time.Millisecond {
		t.Errorf("answered %d after %v", status, took)
	}
}

// A job that no endpoint has begun is given up once its answer can be worth nothing, long before its deadline: it only
// holds up others in its endpoint's queue, for which it is closed.
func TestLateIsGivenUp(t *testing.T) {
	t.Parallel()
	gone := make(chan struct{})
	n := startWith(t, "", lateIsWorthless, newWorker(t, "a", func(_ *worker, c net.Conn, _ *http.Request) {
		io.Copy(io.Discard, c)
		close(gone)
	}))
	begin := time.Now()
	status, _, _ := n.do(request(n.url, "k"))
	if took := time.Since(begin); status != 502 || took > 4*time.Second {
		t.Errorf("answered %d after %v", status, took)
	}
	<-gone
}

// lateIsWorthless has a late answer count for nothing.
func lateIsWorthless(config string) string {
	return strings.Replace(config, `"lateWorth":0.1`, `"lateWorth":0`, 1)
}

// The body is read whole before a job goes on, or the server would not notice that its client leaves.
func TestClientLeaves(t *testing.T) {
	t.Parallel()
	b := newWorker(t, "a", freezes(`"state":"started"`))
	n := start(t, "", b)
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	if err := request(n.url, "k").Write(c); err != nil {
		t.Fatal(err)
	}
	n.waitFor("the job at the endpoint", func() bool { _, jobs := b.count(); return jobs == 1 })
	c.Close()
	select {
	case <-b.closed:
	case <-time.After(3 * time.Second):
		t.Error("the call was not given up when its client left")
	}
}

// Connections are used again once they have rested; one that its endpoint closed while it was idle carries nothing.
func TestConnections(t *testing.T) {
	t.Parallel()
	kept := newWorker(t, "a", works)
	n := start(t, "", kept)
	n.do(request(n.url, "first"))
	for i := range 5 {
		time.Sleep(40 * time.Millisecond) // the rest, which is part of what is tested
		n.do(request(n.url, fmt.Sprint(i)))
	}
	if conns, _ := kept.count(); conns > 2 { // one for jobs, perhaps one more for a probe at that moment
		t.Errorf("%d connections for 6 jobs in turn", conns)
	}
	closing := newWorker(t, "b", func(b *worker, c net.Conn, r *http.Request) { works(b, c, r); c.Close(); b.closed <- "" })
	n = start(t, "", closing)
	for i := range 5 {
		if status, _, _ := n.do(request(n.url, fmt.Sprint(i))); status != 200 {
			t.Errorf("job %d behind a closed connection: %d", i, status)
		}
		<-closing.closed
	}
	if _, jobs := closing.count(); jobs != 5 {
		t.Errorf("%d jobs came, want 5", jobs)
	}
}

// Jobs about one thing go to one endpoint: it has fetched what they need.
func TestOneUserOneEndpoint(t *testing.T) {
	t.Parallel()
	workers := []*worker{newWorker(t, "a", works), newWorker(t, "b", works), newWorker(t, "c", works), newWorker(t, "d", works)}
	n := start(t, "", workers...)
	for i := range 3 {
		n.do(request(n.url, fmt.Sprint(i), "Cookie", "theme=dark; user=7f3a9c21e0b4d655"))
	}
	for _, b := range workers {
		if _, jobs := b.count(); jobs != 0 && jobs != 3 {
			t.Errorf("%d of 3 jobs of one user went to %s", jobs, b.id)
		}
	}
}

// Nothing new goes to an endpoint that the watch told to be leaving; a failing discovery changes nothing.
func TestDrainAndDiscovery(t *testing.T) {
	t.Parallel()
	a, b := newWorker(t, "a", works), newWorker(t, "b", works)
	n := start(t, "", a, b)
	g := n.registry
	asked := func(revision int) func() bool {
		return func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return len(g.asked) > 0 && g.asked[len(g.asked)-1] == revision
		}
	}
	n.waitFor("a watch", asked(1))
	g.set(func() { a.phase = "leaving" })
	n.waitFor("the next watch", asked(2))
	_, before := a.count()
	for i := range 6 {
		if status, _, _ := n.do(request(n.url, fmt.Sprint(i))); status != 200 {
			t.Errorf("job %d: %d", i, status)
		}
	}
	if _, jobs := a.count(); jobs != before {
		t.Errorf("%d jobs went to an endpoint that leaves", jobs-before)
	}
	g.set(func() { g.fail, a.phase = true, "active" })
	n.waitFor("a failed call", func() bool { return strings.Contains(n.log(), "discovery call failed") })
	if status, _, _ := n.do(request(n.url, "x")); status != 200 {
		t.Errorf("while discovery is down: %d", status)
	}
	g.set(func() { g.fail = false })
	n.waitFor("the list after the failure", func() bool { return strings.Contains(n.log(), "revision=4") })
}

// SIGTERM: not ready at once, all that is open answered, then the end, by itself.
func TestLeaving(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := newWorker(t, "a", func(b *worker, c net.Conn, r *http.Request) { <-release; works(b, c, r) })
	n := start(t, "", b)
	answered := n.begin(b, "k")
	n.stop()
	n.waitFor("not ready", func() bool {
		resp, err := http.Get(n.url + "/health/ready")
		if err != nil {
			t.Fatal("closed at once, though the front still brings clients:", err)
		}
		resp.Body.Close()
		return resp.StatusCode == 503
	})
	n.waitFor("the listener closed", n.closed)
	close(release)
	if status := <-answered; status != 200 {
		t.Errorf("the open job: %d", status)
	}
	n.ends(time.Now().Add(5 * time.Second))
}

// After SIGTERM the platform kills 0.7 s after the longest deadline, of which it counts 3 s at most. Until
// shortly before, clients are served on, also on new connections; then a job whose endpoint is silent gets its answer.
func TestLeavingAnswersAll(t *testing.T) {
	t.Parallel()
	b := newWorker(t, "a", sticks)
	n := start(t, "", b)
	kept := &http.Client{Transport: &http.Transport{}}
	ask := func(key string) int {
		resp, err := kept.Do(request(n.url, key))
		if err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	answered := n.begin(b, "stuck")
	ask("before")
	begin := time.Now()
	n.stop()
	for i := 0; time.Since(begin) < time.Second; i++ {
		if status := ask(fmt.Sprint("kept-", i)); status != 200 {
			t.Errorf("on a kept connection: %d", status)
		}
		if c := n.dial(); c != nil { // the front may have nobody else to bring a client to
			c.Close()
		}
	}
	if status := <-answered; status != 502 && status != 504 {
		t.Errorf("the stuck job: %d", status)
	}
	n.waitFor("the end", func() bool { return strings.Contains(n.log(), "msg=\"shutdown complete\"") })
	took := time.Since(begin) // the race detector holds up the exit itself by a second
	if <-n.exited; took > 3700*time.Millisecond || n.cmd.ProcessState.ExitCode() != 0 {
		t.Errorf("exit code %d after %v: it would have been killed", n.cmd.ProcessState.ExitCode(), took)
	}
}

// While it leaves no new connection comes: when all are busy, the platform's front tells whoever wants one that
// nobody is here, and sends no more requests on those that come free either. So the last free ones are kept free,
// by a refusal that leaves the connection open.
func TestLeavingKeepsConnectionsFree(t *testing.T) {
	t.Parallel()
	var workers []*worker // so many that all jobs are taken at once: one that the module refuses frees its connection
	for i := range 12 {
		workers = append(workers, newWorker(t, fmt.Sprint("worker-", i), sticks))
	}
	n := startWith(t, "", lateIsWorthless, workers...) // what waits here is refused soon
	for i := range 30 {
		if err := request(n.url, fmt.Sprint("stuck-", i)).Write(n.dial()); err != nil {
			t.Fatal(err)
		}
	}
	free, other := n.dial(), n.dial()
	in := bufio.NewReader(free)
	ask := func(i int) *http.Response {
		if err := request(n.url, fmt.Sprint("k-", i)).Write(free); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp
	}
	io.WriteString(other, "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n") // no job: it stays free
	n.waitFor("all jobs at the endpoints", func() bool { return jobsAt(workers...) >= 30 })
	n.stop()
	i, resp := 0, (*http.Response)(nil)
	n.waitFor("a refusal for the sake of the last free connections", func() bool {
		resp = ask(i)
		i++
		return strings.Contains(n.log(), "last free connections during shutdown")
	})
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || resp.Close {
		t.Errorf("answered %d, Retry-After %q, closes %v", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
	}
}

// A bad file stops the start with one line that names the field.
func TestBadFiles(t *testing.T) {
	t.Parallel()
	good := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":` + settings + `}`
	for _, c := range []struct{ config, operator, want string }{
		{`{"listen":`, "", "config.json"},
		{strings.Replace(good, `"127.0.0.1:0"`, `"here"`, 1), "", "listen"},
		{strings.Replace(good, `"discovery":"127.0.0.1:1"`, `"discovery":7`, 1), "", "discovery"},
		{strings.Replace(good, `"price-part"`, `""`, 1), "", "settings.classes[0].name"},
		{strings.Replace(good, `"settings"`, `"known":{"members":[{"id":"a","phase":"odd"}]},"settings"`, 1), "", "known: members[0].phase"},
		{good, "front \"progress\" {\n  listen = \"10.0.0.1:80\"\n}", "operator.hcl:2:12: Bad listen"},
	} {
		n := &node{t: t, exited: make(chan struct{})}
		n.launch(c.config, c.operator)
		<-n.exited
		if text := n.log(); n.cmd.ProcessState.ExitCode() != 1 || strings.Count(text, "\n") != 1 || !strings.Contains(text, c.want) {
			t.Errorf("%s %s: exit code %d, %q", c.config[:20], c.operator, n.cmd.ProcessState.ExitCode(), text)
		}
	}
}
