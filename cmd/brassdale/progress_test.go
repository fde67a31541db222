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

func progressFrontend(upstream string) string {
	return fmt.Sprintf("front \"progress\" {\n  listen = \"127.0.0.1:0\"\n  upstream = %q\n}\nkeys {\n  jobs = 8\n}\n", upstream)
}

// stream is a client's stream of one job.
type eventStream struct {
	t        testing.TB
	response *http.Response
	events   *protocol.EventReader
}

func (d *testDispatcher) openStream(r *http.Request) *eventStream {
	d.t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { resp.Body.Close() })
	return &eventStream{d.t, resp, protocol.NewEventReader(resp.Body)}
}

// rest reads to the end of the stream and gives "id name" of each event.
func (s *eventStream) remaining() (got []string) {
	for {
		event, err := s.events.Next()
		if err != nil {
			return got
		}
		got = append(got, event.ID+" "+event.Name)
	}
}

func (s *eventStream) next() protocol.Event {
	s.t.Helper()
	event, err := s.events.Next()
	if err != nil {
		s.t.Fatal(err)
	}
	return event
}

func checkEvents(t *testing.T, what string, got []string, want string) {
	t.Helper()
	if text := strings.Join(got, ", "); text != want {
		t.Errorf("%s: got %s, want %s", what, text, want)
	}
}

// A job's events in both of the dialects that endpoints speak; the stream is written with CRLF, comments,
// a line in two pieces and data in two lines.
func TestProgress_eventStream(t *testing.T) {
	t.Parallel()
	events := func(worker *testWorker, conn net.Conn, r *http.Request) {
		if r.Header.Get("Accept") != "text/event-stream" {
			return
		}
		writeHead(conn, "text/event-stream; charset=utf-8")
		writeChunk(conn, ": hello\r\nevent: started\r\ndata: {}\r\n\r\nevent: prog")
		writeChunk(conn, "ress\rdata: {\"share\":\rdata: 0.5}\r\r")
		writeChunk(conn, fmt.Sprintf("event: done\ndata: {\"id\":%q,\"result\":\"priced\"}\n\n", r.Header.Get("Req-Id")))
		writeLastChunk(conn)
	}
	for dialect, script := range map[string]func(*testWorker, net.Conn, *http.Request){"lines": completeJob, "events": events} {
		worker := startWorker(t, "a", script)
		dispatcher := startDispatcher(t, progressFrontend(dialect), worker)
		stream := dispatcher.openStream(newRequest(dispatcher.progressURL, "k"))
		if kind := stream.response.Header.Get("Content-Type"); stream.response.StatusCode != 200 || kind != "text/event-stream" {
			t.Fatalf("%s: %d %s", dialect, stream.response.StatusCode, kind)
		}
		first, second, third := stream.next(), stream.next(), stream.next()
		if first.Name != "started" || !strings.Contains(second.Data, `"share":0.5`) || third.Name != "done" || !strings.Contains(third.Data, `"result":"priced"`) {
			t.Errorf("%s: %v %v %v", dialect, first, second, third)
		}
		checkEvents(t, dialect+", behind the end", stream.remaining(), "")
		// A repeat gets the kept answer, or what it has not had of it; no second run.
		checkEvents(t, dialect+", repeat", dispatcher.openStream(newRequest(dispatcher.progressURL, "k", "Req-Id", "r2")).remaining(), "1 started, 2 progress, 3 done")
		checkEvents(t, dialect+", reconnect", dispatcher.openStream(newRequest(dispatcher.progressURL, "k", "Req-Id", "r3", "Last-Event-ID", "2")).remaining(), "3 done")
		for last, want := range map[string]int{"3": 204, "4": 502, "x": 400} {
			if status, _, _ := dispatcher.send(newRequest(dispatcher.progressURL, "k", "Last-Event-ID", last)); status != want {
				t.Errorf("%s, Last-Event-ID %s: %d, want %d", dialect, last, status, want)
			}
		}
		if status, _, _ := dispatcher.send(newRequest(dispatcher.progressURL, "k", "Req-Owner", "gwent-pumps")); status != 422 {
			t.Errorf("%s, another job with the key: %d", dialect, status)
		}
		// A key that this dispatcher never had: its job may run elsewhere.
		if status, body, _ := dispatcher.send(newRequest(dispatcher.progressURL, "lost", "Last-Event-ID", "1")); status != 502 || !strings.Contains(body, "not known") {
			t.Errorf("%s, unknown key: %d %q", dialect, status, body)
		}
		if _, jobs := worker.count(); jobs != 1 {
			t.Errorf("%s: %d runs", dialect, jobs)
		}
	}
}

// Before the first event, refusals and failures are HTTP statuses; after it they are events.
func TestProgress_failuresBeforeAndAfterFirstEvent(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		script func(*testWorker, net.Conn, *http.Request)
		status int
		events string
	}{
		"declined":          {respondRaw("HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), 503, ""},
		"failed":            {respondWith(`"state":"failed"`), 502, ""},
		"silent":            {respondThenStall(), 504, ""},
		"failed when begun": {respondWith(`"state":"started"`, `"state":"failed"`), 200, "1 started, 2 failed"},
		"frozen when begun": {respondThenStall(`"state":"started"`), 200, "1 started, 2 failed"},
		"cut when begun":    {respondRaw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: started\ndata: {}\n\nevent: done\ndata: {}"), 200, "1 started, 2 failed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dispatcher := startDispatcher(t, progressFrontend("events"), startWorker(t, "a", test.script))
			stream := dispatcher.openStream(newRequest(dispatcher.progressURL, "k", "Req-Deadline-Ms", "900"))
			if stream.response.StatusCode != test.status {
				t.Errorf("status %d, want %d", stream.response.StatusCode, test.status)
			}
			if (stream.response.Header.Get("Retry-After") != "") != (test.status == 503) {
				t.Errorf("Retry-After %q", stream.response.Header.Get("Retry-After"))
			}
			if test.events != "" {
				checkEvents(t, "events", stream.remaining(), test.events)
			}
		})
	}
	// A job that was refused never ran: a new try of its key is a new run, a reconnect is told of the refusal.
	worker := startWorker(t, "a", respondWith(`"state":"returned"`))
	dispatcher := startDispatcher(t, progressFrontend("lines"), worker)
	for range 2 {
		dispatcher.send(newRequest(dispatcher.progressURL, "k", "Req-Deadline-Ms", "300"))
	}
	if _, jobs := worker.count(); jobs < 2 {
		t.Errorf("%d tries came to the worker, want one for each at least", jobs)
	}
	if status, _, _ := dispatcher.send(newRequest(dispatcher.progressURL, "k", "Last-Event-ID", "0")); status != 503 {
		t.Errorf("reconnect to a refused job: %d", status)
	}
}

// Boxes that freeze and cut streams, clients that drop and come back: one final answer an item before its
// client gives up, no key run twice, and a job whose stream dropped keeps its deadline.
func TestProgress_stalledAndBrokenStreams(t *testing.T) {
	t.Parallel()
	cut := func(worker *testWorker, conn net.Conn, r *http.Request) {
		writeHead(conn, "application/json")
		writeChunk(conn, jobMessage(r.Header.Get("Req-Id"), `"state":"started"`))
		conn.Close()
	}
	frozen, cutting, sound := startWorker(t, "frozen", respondThenStall(`"state":"started"`)), startWorker(t, "cutting", cut), startWorker(t, "sound", completeJob)
	frozen.cell, cutting.cell, sound.cell = "1", "2", "3" // no repeat may leave its group
	dispatcher := startDispatcher(t, progressFrontend("lines"), frozen, cutting, sound)
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
				resp, err := http.DefaultClient.Do(newRequest(dispatcher.progressURL, res.key, headers...))
				if err != nil {
					break
				}
				if resp.StatusCode != 200 {
					res.finals, res.last = res.finals+1, resp.Status
				}
				for in := protocol.NewEventReader(resp.Body); resp.StatusCode == 200; {
					event, err := in.Next()
					if err != nil {
						break
					}
					if seen = event.ID; event.Name == "done" || event.Name == "failed" || event.Name == "refused" {
						res.finals, res.last = res.finals+1, event.Name
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
	for _, worker := range []*testWorker{frozen, sound} { // the one that cuts may be sent a job again: its group drops it
		for key, runs := range worker.runs {
			for _, other := range []*testWorker{frozen, cutting, sound} {
				if other != worker && other.runs[key] > 0 {
					t.Errorf("%s ran at %s and at %s", key, worker.id, other.id)
				}
			}
			if runs != 1 {
				t.Errorf("%s ran %d times at %s", key, runs, worker.id)
			}
		}
	}
}

// A job whose stream dropped is neither cancelled then nor given more time by the client that comes back.
func TestProgress_droppedStreamKeepsDeadline(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", respondThenStall(`"state":"started"`))
	dispatcher := startDispatcher(t, progressFrontend("lines"), worker)
	begin := time.Now()
	stream := dispatcher.openStream(newRequest(dispatcher.progressURL, "k", "Req-Deadline-Ms", "1200"))
	stream.next()
	stream.response.Body.Close()
	back := dispatcher.openStream(newRequest(dispatcher.progressURL, "k", "Req-Id", "again", "Req-Deadline-Ms", "5000", "Last-Event-ID", "1"))
	if len(worker.abandoned) > 0 {
		t.Error("the call was given up when the stream dropped")
	}
	checkEvents(t, "reconnect", back.remaining(), "2 failed")
	if took := time.Since(begin); took < time.Second || took > 3*time.Second {
		t.Errorf("ended after %v, want its first deadline of 1.2 s", took)
	}
	if _, jobs := worker.count(); jobs != 1 {
		t.Errorf("%d runs", jobs)
	}
}

// A reader that takes nothing holds up nobody.
func TestProgress_slowReader(t *testing.T) {
	t.Parallel()
	big := respondWith(`"state":"started"`, `"state":"done","result":"`+strings.Repeat("x", 60<<10)+`"`)
	dispatcher := startDispatcher(t, progressFrontend("lines"), startWorker(t, "a", big))
	for i := range 3 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(dispatcher.progressURL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.(*net.TCPConn).SetReadBuffer(1024)
		newRequest(dispatcher.progressURL, fmt.Sprint("slow", i)).Write(conn)
	}
	for i := range 4 {
		begin := time.Now()
		if got := dispatcher.openStream(newRequest(dispatcher.progressURL, fmt.Sprint(i))).remaining(); len(got) != 2 || time.Since(begin) > 2*time.Second {
			t.Errorf("job %d: %v after %v", i, got, time.Since(begin))
		}
	}
	// The table is bounded: seven jobs are kept, an eighth goes in, a ninth is refused before it runs.
	dispatcher.openStream(newRequest(dispatcher.progressURL, "eighth")).remaining()
	if status, _, after := dispatcher.send(newRequest(dispatcher.progressURL, "ninth")); status != 503 || after == "" {
		t.Errorf("past the bound: %d, Retry-After %q", status, after)
	}
}

// While the program is replaced, a key still has one job: who comes to either process for it attaches to it, and its
// end is remembered by the successor when the predecessor is gone.
func TestProgress_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		writeHead(conn, "application/json")
		id := r.Header.Get("Req-Id")
		writeChunk(conn, jobMessage(id, `"state":"started"`))
		<-release
		writeChunk(conn, jobMessage(id, `"state":"done","result":"priced"`))
		writeLastChunk(conn)
	})
	dispatcher := startDispatcher(t, progressFrontend("lines"), worker)
	first := dispatcher.openStream(newRequest(dispatcher.progressURL, "k"))
	checkEvents(t, "before", []string{first.next().Name}, "started")
	successor := dispatcher.startSuccessor(progressFrontend("lines"))
	if successor.progressURL != dispatcher.progressURL {
		t.Fatalf("progress is served at %s, not at %s", successor.progressURL, dispatcher.progressURL)
	}
	dispatcher.waitForHandovers(1)
	http.DefaultClient.CloseIdleConnections()
	again := newRequest(successor.progressURL, "k", "Req-Id", "again")
	second := successor.openStream(again)
	checkEvents(t, "at the successor", []string{second.next().Name}, "started")
	other := successor.openStream(newRequest(successor.progressURL, "other"))
	checkEvents(t, "another job there", []string{other.next().Name}, "started")
	dispatcher.terminate()
	close(release)
	checkEvents(t, "the first stream", first.remaining(), "2 done")
	checkEvents(t, "the second stream", second.remaining(), "2 done")
	checkEvents(t, "the other stream", other.remaining(), "2 done")
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	successor.waitFor("the end of the predecessor", func() bool { return strings.Contains(successor.log(), "predecessor ended") })
	checkEvents(t, "what the successor remembers", successor.openStream(newRequest(successor.progressURL, "k", "Req-Id", "later")).remaining(), "1 started, 2 done")
	checkEvents(t, "the rest of it", successor.openStream(newRequest(successor.progressURL, "k", "Req-Id", "rest", "Last-Event-ID", "1")).remaining(), "2 done")
	if resp := successor.openStream(newRequest(successor.progressURL, "never", "Last-Event-ID", "1")); resp.response.StatusCode != 502 {
		t.Errorf("a key that neither knows: %d", resp.response.StatusCode)
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.runs["k"] != 1 || worker.runs["other"] != 1 || worker.runs["never"] != 0 {
		t.Errorf("runs by key: %v", worker.runs)
	}
}
