package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"brassdale/internal/protocol"
)

func operator(upstream string) string {
	return fmt.Sprintf("front \"progress\" {\n  listen = \"127.0.0.1:0\"\n  upstream = %q\n}\nkeys {\n  jobs = 8\n}\n", upstream)
}

// stream is a client's stream of one job.
type stream struct {
	t    testing.TB
	resp *http.Response
	in   *protocol.EventReader
}

func (n *node) open(r *http.Request) *stream {
	n.t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { resp.Body.Close() })
	return &stream{n.t, resp, protocol.NewEventReader(resp.Body)}
}

// rest reads to the end of the stream and gives "id name" of each event.
func (s *stream) rest() (got []string) {
	for {
		ev, err := s.in.Next()
		if err != nil {
			return got
		}
		got = append(got, ev.ID+" "+ev.Name)
	}
}

func (s *stream) next() protocol.Event {
	s.t.Helper()
	ev, err := s.in.Next()
	if err != nil {
		s.t.Fatal(err)
	}
	return ev
}

func check(t *testing.T, what string, got []string, want string) {
	t.Helper()
	if text := strings.Join(got, ", "); text != want {
		t.Errorf("%s: got %s, want %s", what, text, want)
	}
}

// A job's events in both of the dialects that endpoints speak; the stream is written with CRLF, comments,
// a line in two pieces and data in two lines.
func TestProgressStream(t *testing.T) {
	t.Parallel()
	events := func(_ *worker, c net.Conn, r *http.Request) {
		if r.Header.Get("Accept") != "text/event-stream" {
			return
		}
		head(c, "text/event-stream; charset=utf-8")
		chunk(c, ": hello\r\nevent: started\r\ndata: {}\r\n\r\nevent: prog")
		chunk(c, "ress\rdata: {\"share\":\rdata: 0.5}\r\r")
		chunk(c, fmt.Sprintf("event: done\ndata: {\"id\":%q,\"result\":\"priced\"}\n\n", r.Header.Get("Req-Id")))
		last(c)
	}
	for dialect, script := range map[string]func(*worker, net.Conn, *http.Request){"lines": works, "events": events} {
		b := newWorker(t, "a", script)
		n := start(t, operator(dialect), b)
		s := n.open(request(n.progress, "k"))
		if kind := s.resp.Header.Get("Content-Type"); s.resp.StatusCode != 200 || kind != "text/event-stream" {
			t.Fatalf("%s: %d %s", dialect, s.resp.StatusCode, kind)
		}
		first, second, third := s.next(), s.next(), s.next()
		if first.Name != "started" || !strings.Contains(second.Data, `"share":0.5`) || third.Name != "done" || !strings.Contains(third.Data, `"result":"priced"`) {
			t.Errorf("%s: %v %v %v", dialect, first, second, third)
		}
		check(t, dialect+", behind the end", s.rest(), "")
		// A repeat gets the kept answer, or what it has not had of it; no second run.
		check(t, dialect+", repeat", n.open(request(n.progress, "k", "Req-Id", "r2")).rest(), "1 started, 2 progress, 3 done")
		check(t, dialect+", reconnect", n.open(request(n.progress, "k", "Req-Id", "r3", "Last-Event-ID", "2")).rest(), "3 done")
		for last, want := range map[string]int{"3": 204, "4": 502, "x": 400} {
			if status, _, _ := n.do(request(n.progress, "k", "Last-Event-ID", last)); status != want {
				t.Errorf("%s, Last-Event-ID %s: %d, want %d", dialect, last, status, want)
			}
		}
		if status, _, _ := n.do(request(n.progress, "k", "Req-Owner", "gwent-pumps")); status != 422 {
			t.Errorf("%s, another job with the key: %d", dialect, status)
		}
		// A key that this dispatcher never had: its job may run elsewhere.
		if status, body, _ := n.do(request(n.progress, "lost", "Last-Event-ID", "1")); status != 502 || !strings.Contains(body, "not known") {
			t.Errorf("%s, unknown key: %d %q", dialect, status, body)
		}
		if _, jobs := b.count(); jobs != 1 {
			t.Errorf("%s: %d runs", dialect, jobs)
		}
	}
}

// Before the first event, refusals and failures are HTTP statuses; after it they are events.
func TestProgressErrors(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		script func(*worker, net.Conn, *http.Request)
		status int
		events string
	}{
		"declined":          {raw("HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), 503, ""},
		"failed":            {says(`"state":"failed"`), 502, ""},
		"silent":            {freezes(), 504, ""},
		"failed when begun": {says(`"state":"started"`, `"state":"failed"`), 200, "1 started, 2 failed"},
		"frozen when begun": {freezes(`"state":"started"`), 200, "1 started, 2 failed"},
		"cut when begun":    {raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: started\ndata: {}\n\nevent: done\ndata: {}"), 200, "1 started, 2 failed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := start(t, operator("events"), newWorker(t, "a", c.script))
			s := n.open(request(n.progress, "k", "Req-Deadline-Ms", "900"))
			if s.resp.StatusCode != c.status {
				t.Errorf("status %d, want %d", s.resp.StatusCode, c.status)
			}
			if (s.resp.Header.Get("Retry-After") != "") != (c.status == 503) {
				t.Errorf("Retry-After %q", s.resp.Header.Get("Retry-After"))
			}
			if c.events != "" {
				check(t, "events", s.rest(), c.events)
			}
		})
	}
	// A job that was refused never ran: a new try of its key is a new run, a reconnect is told of the refusal.
	b := newWorker(t, "a", says(`"state":"returned"`))
	n := start(t, operator("lines"), b)
	for range 2 {
		n.do(request(n.progress, "k", "Req-Deadline-Ms", "300"))
	}
	if _, jobs := b.count(); jobs < 2 {
		t.Errorf("%d tries came to the worker, want one for each at least", jobs)
	}
	if status, _, _ := n.do(request(n.progress, "k", "Last-Event-ID", "0")); status != 503 {
		t.Errorf("reconnect to a refused job: %d", status)
	}
}

// Boxes that freeze and cut streams, clients that drop and come back: one final answer an item before its
// client gives up, no key run twice, and a job whose stream dropped keeps its deadline.
func TestFreezesAndCuts(t *testing.T) {
	t.Parallel()
	cut := func(_ *worker, c net.Conn, r *http.Request) {
		head(c, "application/json")
		chunk(c, line(r.Header.Get("Req-Id"), `"state":"started"`))
		c.Close()
	}
	frozen, cutting, sound := newWorker(t, "frozen", freezes(`"state":"started"`)), newWorker(t, "cutting", cut), newWorker(t, "sound", works)
	frozen.cell, cutting.cell, sound.cell = "1", "2", "3" // no repeat may leave its group
	n := start(t, operator("lines"), frozen, cutting, sound)
	const items = 6
	type result struct {
		key, last string
		finals    int
		took      time.Duration
	}
	results := make(chan result, items)
	for i := range items {
		go func() {
			res, begin := result{key: fmt.Sprint("k", i)}, time.Now()
			seen := ""
			for try := 0; try < 2; try++ { // the first stream is dropped behind its first event
				headers := []string{"Req-Id", fmt.Sprintf("%s-%d", res.key, try)}
				if seen != "" {
					headers = append(headers, "Last-Event-ID", seen)
				}
				resp, err := http.DefaultClient.Do(request(n.progress, res.key, headers...))
				if err != nil {
					break
				}
				if resp.StatusCode != 200 {
					res.finals, res.last = res.finals+1, resp.Status
				}
				for in := protocol.NewEventReader(resp.Body); resp.StatusCode == 200; {
					ev, err := in.Next()
					if err != nil {
						break
					}
					if seen = ev.ID; ev.Name == "done" || ev.Name == "failed" || ev.Name == "refused" {
						res.finals, res.last = res.finals+1, ev.Name
					}
					if try == 0 {
						break
					}
				}
				resp.Body.Close()
				if res.finals > 0 {
					break
				}
			}
			res.took = time.Since(begin)
			results <- res
		}()
	}
	ends := map[string]int{}
	for range items {
		r := <-results
		ends[r.last]++
		if r.finals != 1 || r.took >= 5*time.Second {
			t.Errorf("%s: %d final answers, %s after %v", r.key, r.finals, r.last, r.took)
		}
	}
	if ends["done"] == 0 || ends["failed"] == 0 {
		t.Errorf("ends %v: want some of both", ends)
	}
	for _, b := range []*worker{frozen, sound} { // the one that cuts may be sent a job again: its group drops it
		for key, runs := range b.runs {
			for _, other := range []*worker{frozen, cutting, sound} {
				if other != b && other.runs[key] > 0 {
					t.Errorf("%s ran at %s and at %s", key, b.id, other.id)
				}
			}
			if runs != 1 {
				t.Errorf("%s ran %d times at %s", key, runs, b.id)
			}
		}
	}
}

// A job whose stream dropped is neither cancelled then nor given more time by the client that comes back.
func TestDroppedStreamKeepsItsDeadline(t *testing.T) {
	t.Parallel()
	b := newWorker(t, "a", freezes(`"state":"started"`))
	n := start(t, operator("lines"), b)
	begin := time.Now()
	s := n.open(request(n.progress, "k", "Req-Deadline-Ms", "1200"))
	s.next()
	s.resp.Body.Close()
	back := n.open(request(n.progress, "k", "Req-Id", "again", "Req-Deadline-Ms", "5000", "Last-Event-ID", "1"))
	if len(b.closed) > 0 {
		t.Error("the call was given up when the stream dropped")
	}
	check(t, "reconnect", back.rest(), "2 failed")
	if took := time.Since(begin); took < time.Second || took > 3*time.Second {
		t.Errorf("ended after %v, want its first deadline of 1.2 s", took)
	}
	if _, jobs := b.count(); jobs != 1 {
		t.Errorf("%d runs", jobs)
	}
}

// A reader that takes nothing holds up nobody.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	big := says(`"state":"started"`, `"state":"done","result":"`+strings.Repeat("x", 60<<10)+`"`)
	n := start(t, operator("lines"), newWorker(t, "a", big))
	for i := range 3 {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.progress, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.(*net.TCPConn).SetReadBuffer(1024)
		request(n.progress, fmt.Sprint("slow", i)).Write(c)
	}
	for i := range 4 {
		begin := time.Now()
		if got := n.open(request(n.progress, fmt.Sprint(i))).rest(); len(got) != 2 || time.Since(begin) > 2*time.Second {
			t.Errorf("job %d: %v after %v", i, got, time.Since(begin))
		}
	}
	// The table is bounded: seven jobs are kept, an eighth goes in, a ninth is refused before it runs.
	n.open(request(n.progress, "eighth")).rest()
	if status, _, after := n.do(request(n.progress, "ninth")); status != 503 || after == "" {
		t.Errorf("past the bound: %d, Retry-After %q", status, after)
	}
}

// While the program is replaced, a key still has one job: who comes to either process for it attaches to it, and its
// end is remembered by the successor when the predecessor is gone.
func TestProgressReplaced(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := newWorker(t, "a", func(b *worker, c net.Conn, r *http.Request) {
		head(c, "application/json")
		id := r.Header.Get("Req-Id")
		chunk(c, line(id, `"state":"started"`))
		<-release
		chunk(c, line(id, `"state":"done","result":"priced"`))
		last(c)
	})
	n := start(t, operator("lines"), b)
	first := n.open(request(n.progress, "k"))
	check(t, "before", []string{first.next().Name}, "started")
	m := n.successor(operator("lines"))
	if m.progress != n.progress {
		t.Fatalf("progress is served at %s, not at %s", m.progress, n.progress)
	}
	n.passesOn(1)
	http.DefaultClient.CloseIdleConnections()
	again := request(m.progress, "k", "Req-Id", "again")
	second := m.open(again)
	check(t, "at the successor", []string{second.next().Name}, "started")
	other := m.open(request(m.progress, "other"))
	check(t, "another job there", []string{other.next().Name}, "started")
	n.stop()
	close(release)
	check(t, "the first stream", first.rest(), "2 done")
	check(t, "the second stream", second.rest(), "2 done")
	check(t, "the other stream", other.rest(), "2 done")
	n.ends(time.Now().Add(5 * time.Second))
	m.waitFor("the end of the predecessor", func() bool { return strings.Contains(m.log(), "predecessor ended") })
	check(t, "what the successor remembers", m.open(request(m.progress, "k", "Req-Id", "later")).rest(), "1 started, 2 done")
	check(t, "the rest of it", m.open(request(m.progress, "k", "Req-Id", "rest", "Last-Event-ID", "1")).rest(), "2 done")
	if resp := m.open(request(m.progress, "never", "Last-Event-ID", "1")); resp.resp.StatusCode != 502 {
		t.Errorf("a key that neither knows: %d", resp.resp.StatusCode)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs["k"] != 1 || b.runs["other"] != 1 || b.runs["never"] != 0 {
		t.Errorf("runs by key: %v", b.runs)
	}
}
