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

func TestRequest_servedOrRejectedAsInvalid(t *testing.T) {
	t.Parallel()
	var got http.Header
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) {
		got = r.Header
		got.Set("Target", r.RequestURI)
		completeJob(b, c, r)
	})
	n := startDispatcher(t, "", b)
	if status, body, _ := n.send(newRequest(n.http1URL, "k1")); status != 200 || body != "priced" {
		t.Errorf("a job: %d %q", status, body)
	}
	for name, want := range map[string]string{"Req-Id": "id-k1", "Idempotency-Key": "k1", "Target": "/price-part?sheet=7", "Body": "drawing"} {
		if got.Get(name) != want {
			t.Errorf("%s came to the endpoint as %q", name, got.Get(name))
		}
	}
	resp, err := http.Get(n.http1URL + "/price-part")
	if err != nil || resp.StatusCode != 405 || resp.Header.Get("Allow") != "POST" {
		t.Errorf("GET: %v %v", resp, err)
	}
	large := newRequest(n.http1URL, "k2")
	large.Body, large.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 64<<10+1))), -1
	unknown := newRequest(n.http1URL, "k3")
	unknown.URL.Path = "/paint"
	for name, c := range map[string]struct {
		r      *http.Request
		status int
	}{
		"too large":       {large, 413},
		"unknown class":   {unknown, 404},
		"unknown kind":    {newRequest(n.http1URL, "k", "Req-Kind", "paint"), 404},
		"no id":           {newRequest(n.http1URL, "k", "Req-Id", ""), 400},
		"no key":          {newRequest(n.http1URL, "k", "Idempotency-Key", ""), 400},
		"deadline":        {newRequest(n.http1URL, "k", "Req-Deadline-Ms", "soon"), 400},
		"negative":        {newRequest(n.http1URL, "k", "Req-Deadline-Ms", "-1"), 400},
		"signed":          {newRequest(n.http1URL, "k", "Req-Deadline-Ms", "+5"), 400},
		"id not plain":    {newRequest(n.http1URL, "k", "Req-Id", "\u00e9"), 400},
		"extra":           {newRequest(n.http1URL, "k", "Req-Extra", "slots=many"), 400},
		"extra and noise": {newRequest(n.http1URL, "k4", "Req-Extra", "slots=2,new=1"), 200},
	} {
		if status, body, _ := n.send(c.r); status != c.status {
			t.Errorf("%s: %d %q, want %d", name, status, body, c.status)
		}
	}
	for _, text := range []string{"POST /price-part HTTP/1.1\r\nHost: h\r\nContent-Length: -4\r\n\r\n", "POST /price-part HTTP/1.1\r\nHost: h\r\nReq Id: 1\r\n\r\n"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.http1URL, "http://"))
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
func TestWorkerAnswers_mappedToStatus(t *testing.T) {
	t.Parallel()
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		script func(*testWorker, net.Conn, *http.Request)
		status int
	}{
		"failed":            {respondWith(`"state":"failed"`), 502},
		"500":               {respondRaw("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), 502},
		"404":               {respondRaw("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"), 502},
		"lost":              {respondWith(`"state":"started"`, `"state":"lost"`), 502},
		"cut at once":       {respondRaw(""), 502},
		"cut in a line":     {respondRaw(chunked + "5\r\n{\"id\"\r\n"), 502},
		"no last line":      {respondWith(`"state":"started"`), 502},
		"no JSON":           {respondRaw(chunked + "4\r\nno!\n\r\n0\r\n\r\n"), 502},
		"no HTTP":           {respondRaw("hello\r\n\r\n"), 502},
		"unknown state":     {respondWith(`"state":"melted"`), 502},
		"done, no result":   {respondWith(`"state":"done"`), 502},
		"other job's":       {respondRaw(chunked + "29\r\n{\"id\":\"x\",\"state\":\"done\",\"result\":\"priced\"}\r\n0\r\n\r\n"), 502},
		"returned":          {respondWith(`"state":"returned"`), 503},
		"declined":          {respondRaw("HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), 503},
		"503, not declined": {respondRaw("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), 502},
		"result and load":   {respondWith(`"state":"done","result":"priced","load":{"util":0.2,"new":"x"}`), 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startDispatcher(t, "", startWorker(t, "a", c.script))
			status, body, after := n.send(newRequest(n.http1URL, "k"))
			if status != c.status || (status == 503) != (after != "") {
				t.Errorf("answered %d %q, Retry-After %q, want %d", status, body, after, c.status)
			}
		})
	}
}

// What reached no endpoint never ran: it is refused, and its client told when to come back.
func TestWorkers_noneListens(t *testing.T) {
	t.Parallel()
	b := startWorker(t, "a", completeJob)
	b.listener.Close()
	n := startDispatcher(t, "", b)
	if status, _, after := n.send(newRequest(n.http1URL, "k")); status != 503 || after != "2" {
		t.Errorf("answered %d, Retry-After %q", status, after)
	}
}

// An endpoint that takes a job and says nothing: the answer still comes inside deadline and slack.
func TestDeadline_silentWorker(t *testing.T) {
	t.Parallel()
	n := startDispatcher(t, "", startWorker(t, "a", respondThenStall()))
	begin := time.Now()
	status, _, _ := n.send(newRequest(n.http1URL, "k", "Req-Deadline-Ms", "500"))
	if took := time.Since(begin); status != 504 || took < 450*time.Millisecond || took > 1500*time.Millisecond {
		t.Errorf("answered %d after %v", status, took)
	}
}

// A job that no endpoint has begun is given up once its answer can be worth nothing, long before its deadline: it only
// holds up others in its endpoint's queue, for which it is closed.
func TestDeadline_lateAnswerWithoutWeight(t *testing.T) {
	t.Parallel()
	gone := make(chan struct{})
	n := startDispatcherWith(t, "", withoutLateWeight, startWorker(t, "a", func(_ *testWorker, c net.Conn, _ *http.Request) {
		io.Copy(io.Discard, c)
		close(gone)
	}))
	begin := time.Now()
	status, _, _ := n.send(newRequest(n.http1URL, "k"))
	if took := time.Since(begin); status != 502 || took > 4*time.Second {
		t.Errorf("answered %d after %v", status, took)
	}
	<-gone
}

// lateIsWorthless has a late answer count for nothing.
func withoutLateWeight(config string) string {
	return strings.Replace(config, `"lateWorth":0.1`, `"lateWorth":0`, 1)
}

// The body is read whole before a job goes on, or the server would not notice that its client leaves.
func TestClientDisconnect_afterStart(t *testing.T) {
	t.Parallel()
	b := startWorker(t, "a", respondThenStall(`"state":"started"`))
	n := startDispatcher(t, "", b)
	c, err := net.Dial("tcp", strings.TrimPrefix(n.http1URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	if err := newRequest(n.http1URL, "k").Write(c); err != nil {
		t.Fatal(err)
	}
	n.waitFor("the job at the endpoint", func() bool { _, jobs := b.count(); return jobs == 1 })
	c.Close()
	select {
	case <-b.abandoned:
	case <-time.After(3 * time.Second):
		t.Error("the call was not given up when its client left")
	}
}

// Connections are used again once they have rested; one that its endpoint closed while it was idle carries nothing.
func TestWorkerConnection_reuse(t *testing.T) {
	t.Parallel()
	kept := startWorker(t, "a", completeJob)
	n := startDispatcher(t, "", kept)
	n.send(newRequest(n.http1URL, "first"))
	for i := range 5 {
		time.Sleep(40 * time.Millisecond) // the rest, which is part of what is tested
		n.send(newRequest(n.http1URL, fmt.Sprint(i)))
	}
	if conns, _ := kept.count(); conns > 2 { // one for jobs, perhaps one more for a probe at that moment
		t.Errorf("%d connections for 6 jobs in turn", conns)
	}
	closing := startWorker(t, "b", func(b *testWorker, c net.Conn, r *http.Request) { completeJob(b, c, r); c.Close(); b.abandoned <- "" })
	n = startDispatcher(t, "", closing)
	for i := range 5 {
		if status, _, _ := n.send(newRequest(n.http1URL, fmt.Sprint(i))); status != 200 {
			t.Errorf("job %d behind a closed connection: %d", i, status)
		}
		<-closing.abandoned
	}
	if _, jobs := closing.count(); jobs != 5 {
		t.Errorf("%d jobs came, want 5", jobs)
	}
}

// Jobs about one thing go to one endpoint: it has fetched what they need.
func TestAffinity_sameUserSameWorker(t *testing.T) {
	t.Parallel()
	workers := []*testWorker{startWorker(t, "a", completeJob), startWorker(t, "b", completeJob), startWorker(t, "c", completeJob), startWorker(t, "d", completeJob)}
	n := startDispatcher(t, "", workers...)
	for i := range 3 {
		n.send(newRequest(n.http1URL, fmt.Sprint(i), "Cookie", "theme=dark; user=7f3a9c21e0b4d655"))
	}
	for _, b := range workers {
		if _, jobs := b.count(); jobs != 0 && jobs != 3 {
			t.Errorf("%d of 3 jobs of one user went to %s", jobs, b.id)
		}
	}
}

// Nothing new goes to an endpoint that the watch told to be leaving; a failing discovery changes nothing.
func TestDiscovery_drainAndFailedCalls(t *testing.T) {
	t.Parallel()
	a, b := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	n := startDispatcher(t, "", a, b)
	g := n.discovery
	asked := func(revision int) func() bool {
		return func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return len(g.polledRevisions) > 0 && g.polledRevisions[len(g.polledRevisions)-1] == revision
		}
	}
	n.waitFor("a watch", asked(1))
	g.update(func() { a.phase = "leaving" })
	n.waitFor("the next watch", asked(2))
	_, before := a.count()
	for i := range 6 {
		if status, _, _ := n.send(newRequest(n.http1URL, fmt.Sprint(i))); status != 200 {
			t.Errorf("job %d: %d", i, status)
		}
	}
	if _, jobs := a.count(); jobs != before {
		t.Errorf("%d jobs went to an endpoint that leaves", jobs-before)
	}
	g.update(func() { g.failing, a.phase = true, "active" })
	n.waitFor("a failed call", func() bool { return strings.Contains(n.log(), "discovery call failed") })
	if status, _, _ := n.send(newRequest(n.http1URL, "x")); status != 200 {
		t.Errorf("while discovery is down: %d", status)
	}
	g.update(func() { g.failing = false })
	n.waitFor("the list after the failure", func() bool { return strings.Contains(n.log(), "revision=4") })
}

// SIGTERM: not ready at once, all that is open answered, then the end, by itself.
func TestShutdown_answersOpenRequest(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) })
	n := startDispatcher(t, "", b)
	answered := n.sendInBackground(b, "k")
	n.terminate()
	n.waitFor("not ready", func() bool {
		resp, err := http.Get(n.http1URL + "/health/ready")
		if err != nil {
			t.Fatal("closed at once, though the front still brings clients:", err)
		}
		resp.Body.Close()
		return resp.StatusCode == 503
	})
	n.waitFor("the listener closed", n.refusesConnections)
	close(release)
	if status := <-answered; status != 200 {
		t.Errorf("the open job: %d", status)
	}
	n.waitForExit(time.Now().Add(5 * time.Second))
}

// After SIGTERM the platform kills 0.7 s after the longest deadline, of which it counts 3 s at most. Until
// shortly before, clients are served on, also on new connections; then a job whose endpoint is silent gets its answer.
func TestShutdown_servesUntilShortlyBeforeKill(t *testing.T) {
	t.Parallel()
	b := startWorker(t, "a", stallOnStuckKeys)
	n := startDispatcher(t, "", b)
	kept := &http.Client{Transport: &http.Transport{}}
	ask := func(key string) int {
		resp, err := kept.Do(newRequest(n.http1URL, key))
		if err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	answered := n.sendInBackground(b, "stuck")
	ask("before")
	begin := time.Now()
	n.terminate()
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
	if <-n.exited; took > 3700*time.Millisecond || n.command.ProcessState.ExitCode() != 0 {
		t.Errorf("exit code %d after %v: it would have been killed", n.command.ProcessState.ExitCode(), took)
	}
}

// While it leaves no new connection comes: when all are busy, the platform's front tells whoever wants one that
// nobody is here, and sends no more requests on those that come free either. So the last free ones are kept free,
// by a refusal that leaves the connection open.
func TestShutdown_reservesFreeConnections(t *testing.T) {
	t.Parallel()
	var workers []*testWorker // so many that all jobs are taken at once: one that the module refuses frees its connection
	for i := range 12 {
		workers = append(workers, startWorker(t, fmt.Sprint("worker-", i), stallOnStuckKeys))
	}
	n := startDispatcherWith(t, "", withoutLateWeight, workers...) // what waits here is refused soon
	for i := range 30 {
		if err := newRequest(n.http1URL, fmt.Sprint("stuck-", i)).Write(n.dial()); err != nil {
			t.Fatal(err)
		}
	}
	free, other := n.dial(), n.dial()
	in := bufio.NewReader(free)
	ask := func(i int) *http.Response {
		if err := newRequest(n.http1URL, fmt.Sprint("k-", i)).Write(free); err != nil {
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
	n.waitFor("all jobs at the endpoints", func() bool { return totalJobs(workers...) >= 30 })
	n.terminate()
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
func TestStart_invalidFiles(t *testing.T) {
	t.Parallel()
	good := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":` + settingsJSON + `}`
	for _, c := range []struct{ config, operator, want string }{
		{`{"listen":`, "", "config.json"},
		{strings.Replace(good, `"127.0.0.1:0"`, `"here"`, 1), "", "listen"},
		{strings.Replace(good, `"discovery":"127.0.0.1:1"`, `"discovery":7`, 1), "", "discovery"},
		{strings.Replace(good, `"price-part"`, `""`, 1), "", "settings.classes[0].name"},
		{strings.Replace(good, `"settings"`, `"known":{"members":[{"id":"a","phase":"odd"}]},"settings"`, 1), "", "known: members[0].phase"},
		{good, "front \"progress\" {\n  listen = \"10.0.0.1:80\"\n}", "operator.hcl:2:12: Bad listen"},
	} {
		n := &testDispatcher{t: t, exited: make(chan struct{})}
		n.startProcess(c.config, c.operator)
		<-n.exited
		if text := n.log(); n.command.ProcessState.ExitCode() != 1 || strings.Count(text, "\n") != 1 || !strings.Contains(text, c.want) {
			t.Errorf("%s %s: exit code %d, %q", c.config[:20], c.operator, n.command.ProcessState.ExitCode(), text)
		}
	}
}
