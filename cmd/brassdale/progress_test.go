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

// progressFrontend returns an operator's file with the progress frontend and a limit of eight jobs by key. upstream is the format of
// workers' answers.
func progressFrontend(upstream string) string {
	return fmt.Sprintf("front \"progress\" {\n  listen = \"127.0.0.1:0\"\n  upstream = %q\n}\nkeys {\n  jobs = 8\n}\n", upstream)
}

// eventStream is a client's stream of the events of one job.
type eventStream struct {
	t        testing.TB
	response *http.Response
	events   *protocol.EventReader
}

// openStream sends a request with a key to the progress frontend; its stream is closed at the end of the test.
func (d *testDispatcher) openStream(key string, headers ...string) *eventStream {
	d.t.Helper()
	resp, err := http.DefaultClient.Do(newRequest(d.progressURL, key, headers...))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { resp.Body.Close() })
	return &eventStream{d.t, resp, protocol.NewEventReader(resp.Body)}
}

// remaining reads to the end of the stream and returns "ID name" for each event.
func (s *eventStream) remaining() (events []string) {
	for {
		event, err := s.events.Next()
		if err != nil {
			return events
		}
		events = append(events, event.ID+" "+event.Name)
	}
}

// next reads the next event.
func (s *eventStream) next() protocol.Event {
	s.t.Helper()
	event, err := s.events.Next()
	if err != nil {
		s.t.Fatal(err)
	}
	return event
}

// checkEvents compares events with the expected ones, which are separated by ", ".
func checkEvents(t *testing.T, what string, events []string, want string) {
	t.Helper()
	if got := strings.Join(events, ", "); got != want {
		t.Errorf("%s: got %s, want %s", what, got, want)
	}
}

// TestProgress_eventStream checks the events of a job in both formats of workers' answers. The event stream has CR, LF and CRLF, a
// comment, a line in two pieces and data of two lines. A client that repeats its request or reconnects gets the cached events without
// another run.
func TestProgress_eventStream(t *testing.T) {
	t.Parallel()
	respondWithEvents := func(_ *testWorker, conn net.Conn, r *http.Request) {
		if r.Header.Get("Accept") != "text/event-stream" {
			return
		}
		writeHead(conn, "text/event-stream; charset=utf-8")
		writeChunk(conn, ": hello\r\nevent: started\r\ndata: {}\r\n\r\nevent: prog")
		writeChunk(conn, "ress\rdata: {\"share\":\rdata: 0.5}\r\r")
		writeChunk(conn, fmt.Sprintf("event: done\ndata: {\"id\":%q,\"result\":\"priced\"}\n\n", r.Header.Get("Req-Id")))
		writeLastChunk(conn)
	}
	for format, handler := range map[string]jobHandler{"lines": completeJob, "events": respondWithEvents} {
		worker := startWorker(t, "a", handler)
		dispatcher := startDispatcher(t, progressFrontend(format), worker)
		stream := dispatcher.openStream("k")
		if contentType := stream.response.Header.Get("Content-Type"); stream.response.StatusCode != 200 || contentType != "text/event-stream" {
			t.Fatalf("%s: status %d, content type %s, want 200 and text/event-stream", format, stream.response.StatusCode, contentType)
		}
		first, second, third := stream.next(), stream.next(), stream.next()
		if first.Name != "started" || !strings.Contains(second.Data, `"share":0.5`) || third.Name != "done" || !strings.Contains(third.Data, `"result":"priced"`) {
			t.Errorf("%s: events %v, %v, %v, want started, share 0.5, done with the result", format, first, second, third)
		}
		checkEvents(t, format+", after the end", stream.remaining(), "")
		checkEvents(t, format+", repeat", dispatcher.openStream("k", "Req-Id", "r2").remaining(), "1 started, 2 progress, 3 done")
		checkEvents(t, format+", reconnect", dispatcher.openStream("k", "Req-Id", "r3", "Last-Event-ID", "2").remaining(), "3 done")
		for last, want := range map[string]int{"3": 204, "4": 502, "x": 400} {
			if status, _, _ := dispatcher.send(newRequest(dispatcher.progressURL, "k", "Last-Event-ID", last)); status != want {
				t.Errorf("%s, Last-Event-ID %s: status %d, want %d", format, last, status, want)
			}
		}
		if status, _, _ := dispatcher.send(newRequest(dispatcher.progressURL, "k", "Req-Owner", "gwent-pumps")); status != 422 {
			t.Errorf("%s, another request with the key: status %d, want 422", format, status)
		}
		// The job of a key that this dispatcher does not know may run elsewhere.
		if status, body, _ := dispatcher.send(newRequest(dispatcher.progressURL, "lost", "Last-Event-ID", "1")); status != 502 || !strings.Contains(body, "not known") {
			t.Errorf("%s, unknown key: status %d %q, want 502 with \"not known\"", format, status, body)
		}
		if jobs := worker.jobCount(); jobs != 1 {
			t.Errorf("%s: %d jobs at the worker, want 1", format, jobs)
		}
	}
}

// TestProgress_failuresBeforeAndAfterFirstEvent checks that rejections and failures are reported as HTTP statuses before the first event,
// and as events after it.
func TestProgress_failuresBeforeAndAfterFirstEvent(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		handler jobHandler
		status  int
		events  string
	}{
		"declined":            {respondRaw("HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), 503, ""},
		"failed":              {respondWith(`"state":"failed"`), 502, ""},
		"silent":              {respondThenStall(), 504, ""},
		"failed after start":  {respondWith(`"state":"started"`, `"state":"failed"`), 200, "1 started, 2 failed"},
		"stalled after start": {respondThenStall(`"state":"started"`), 200, "1 started, 2 failed"},
		"closed after start":  {respondRaw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: started\ndata: {}\n\nevent: done\ndata: {}"), 200, "1 started, 2 failed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dispatcher := startDispatcher(t, progressFrontend("events"), startWorker(t, "a", test.handler))
			stream := dispatcher.openStream("k", "Req-Deadline-Ms", "900")
			if stream.response.StatusCode != test.status {
				t.Errorf("status %d, want %d", stream.response.StatusCode, test.status)
			}
			if (stream.response.Header.Get("Retry-After") != "") != (test.status == 503) {
				t.Errorf("Retry-After %q, want it with status 503 only", stream.response.Header.Get("Retry-After"))
			}
			if test.events != "" {
				checkEvents(t, "events", stream.remaining(), test.events)
			}
		})
	}
	// A rejected request never ran: another request with its key is a new job, and a reconnect is answered with the rejection.
	worker := startWorker(t, "a", respondWith(`"state":"returned"`))
	dispatcher := startDispatcher(t, progressFrontend("lines"), worker)
	for range 2 {
		dispatcher.send(newRequest(dispatcher.progressURL, "k", "Req-Deadline-Ms", "300"))
	}
	if jobs := worker.jobCount(); jobs < 2 {
		t.Errorf("%d attempts at the worker, want one for each of 2 requests at least", jobs)
	}
	if status, _, _ := dispatcher.send(newRequest(dispatcher.progressURL, "k", "Last-Event-ID", "0")); status != 503 {
		t.Errorf("reconnect to a rejected request: status %d, want 503", status)
	}
}

// reconnected is the result of a client that drops its stream after the first event and reconnects.
type reconnected struct {
	key          string
	finalAnswers int
	last         string // the last final event, or the status if it is not 200
	took         time.Duration
}

// sendAndReconnect sends a request, drops the stream after its first event, and reads the rest on a second one.
func (d *testDispatcher) sendAndReconnect(key string) reconnected {
	result, sentAt := reconnected{key: key}, time.Now()
	lastEventID := ""
	for connection := range 2 {
		headers := []string{"Req-Id", fmt.Sprintf("%s-%d", key, connection)}
		if lastEventID != "" {
			headers = append(headers, "Last-Event-ID", lastEventID)
		}
		resp, err := http.DefaultClient.Do(newRequest(d.progressURL, key, headers...))
		if err != nil {
			break
		}
		if resp.StatusCode != 200 {
			result.finalAnswers, result.last = result.finalAnswers+1, resp.Status
		}
		for events := protocol.NewEventReader(resp.Body); resp.StatusCode == 200; {
			event, err := events.Next()
			if err != nil {
				break
			}
			if lastEventID = event.ID; event.Name == "done" || event.Name == "failed" || event.Name == "refused" {
				result.finalAnswers, result.last = result.finalAnswers+1, event.Name
			}
			if connection == 0 {
				break
			}
		}
		resp.Body.Close()
		if result.finalAnswers > 0 {
			break
		}
	}
	result.took = time.Since(sentAt)
	return result
}

// TestProgress_stalledAndBrokenStreams checks workers that stall or close their streams, with clients that drop their streams and
// reconnect: each request has one final answer before its client's limit of 5 s, and no key runs twice or at two workers.
func TestProgress_stalledAndBrokenStreams(t *testing.T) {
	t.Parallel()
	closeAfterStart := func(_ *testWorker, conn net.Conn, r *http.Request) {
		writeHead(conn, "application/json")
		writeChunk(conn, jobMessage(r.Header.Get("Req-Id"), `"state":"started"`))
		conn.Close()
	}
	stalling := startWorker(t, "stalling", respondThenStall(`"state":"started"`))
	closing, healthy := startWorker(t, "closing", closeAfterStart), startWorker(t, "sound", completeJob)
	stalling.cell, closing.cell, healthy.cell = "1", "2", "3" // a retry must not leave the cell
	dispatcher := startDispatcher(t, progressFrontend("lines"), stalling, closing, healthy)
	const requests = 6
	results := make(chan reconnected, requests)
	for i := range requests {
		go func() { results <- dispatcher.sendAndReconnect(fmt.Sprint("k", i)) }()
	}
	ends := map[string]int{}
	for range requests {
		result := <-results
		ends[result.last]++
		if result.finalAnswers != 1 || result.took >= 5*time.Second {
			t.Errorf("%s: %d final answers, %s after %v, want 1 within 5 s", result.key, result.finalAnswers, result.last, result.took)
		}
	}
	if ends["done"] == 0 || ends["failed"] == 0 {
		t.Errorf("final answers %v, want some \"done\" and some \"failed\"", ends)
	}
	for _, worker := range []*testWorker{stalling, healthy} { // the closing worker may get a job again, because its cell deduplicates it
		for key, runs := range worker.runsPerKey() {
			for _, other := range []*testWorker{stalling, closing, healthy} {
				if other != worker && other.runsOf(key) > 0 {
					t.Errorf("%s ran at workers %s and %s, want one", key, worker.id, other.id)
				}
			}
			if runs != 1 {
				t.Errorf("%s ran %d times at %s, want 1", key, runs, worker.id)
			}
		}
	}
}

// TestProgress_droppedStreamKeepsDeadline checks that a job is not cancelled when its stream is dropped, and gets no later deadline from a
// reconnect: it ends at its first deadline of 1.2 s.
func TestProgress_droppedStreamKeepsDeadline(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", respondThenStall(`"state":"started"`))
	dispatcher := startDispatcher(t, progressFrontend("lines"), worker)
	sentAt := time.Now()
	stream := dispatcher.openStream("k", "Req-Deadline-Ms", "1200")
	stream.next()
	stream.response.Body.Close()
	reconnect := dispatcher.openStream("k", "Req-Id", "again", "Req-Deadline-Ms", "5000", "Last-Event-ID", "1")
	if len(worker.abandoned) > 0 {
		t.Error("the attempt was cancelled when the stream was dropped")
	}
	checkEvents(t, "reconnect", reconnect.remaining(), "2 failed")
	if took := time.Since(sentAt); took < time.Second || took > 3*time.Second {
		t.Errorf("the job ended after %v, want its first deadline of 1.2 s", took)
	}
	if jobs := worker.jobCount(); jobs != 1 {
		t.Errorf("%d jobs at the worker, want 1", jobs)
	}
}

// TestProgress_slowReader checks that clients which read nothing do not delay others beyond 2 s, and that a request beyond the limit of
// eight jobs by key is rejected before it runs.
func TestProgress_slowReader(t *testing.T) {
	t.Parallel()
	respondLarge := respondWith(`"state":"started"`, `"state":"done","result":"`+strings.Repeat("x", 60<<10)+`"`)
	dispatcher := startDispatcher(t, progressFrontend("lines"), startWorker(t, "a", respondLarge))
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
		sentAt := time.Now()
		if events := dispatcher.openStream(fmt.Sprint(i)).remaining(); len(events) != 2 || time.Since(sentAt) > 2*time.Second {
			t.Errorf("request %d: events %v after %v, want 2 within 2 s", i, events, time.Since(sentAt))
		}
	}
	// Seven of eight keys are in use.
	dispatcher.openStream("eighth").remaining()
	if status, _, after := dispatcher.send(newRequest(dispatcher.progressURL, "ninth")); status != 503 || after == "" {
		t.Errorf("beyond the limit: status %d, Retry-After %q, want 503 with Retry-After", status, after)
	}
}

// TestProgress_handover checks that during a handover a key has only one job, that clients of both processes receive its events, and that
// the successor still has the events when the predecessor has ended.
func TestProgress_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(_ *testWorker, conn net.Conn, r *http.Request) {
		writeHead(conn, "application/json")
		id := r.Header.Get("Req-Id")
		writeChunk(conn, jobMessage(id, `"state":"started"`))
		<-release
		writeChunk(conn, jobMessage(id, `"state":"done","result":"priced"`))
		writeLastChunk(conn)
	})
	dispatcher := startDispatcher(t, progressFrontend("lines"), worker)
	first := dispatcher.openStream("k")
	checkEvents(t, "before the handover", []string{first.next().Name}, "started")
	successor := dispatcher.startSuccessor(progressFrontend("lines"))
	if successor.progressURL != dispatcher.progressURL {
		t.Fatalf("the successor serves progress at %s, want %s", successor.progressURL, dispatcher.progressURL)
	}
	dispatcher.waitForHandovers(1)
	http.DefaultClient.CloseIdleConnections()
	second := successor.openStream("k", "Req-Id", "again")
	checkEvents(t, "at the successor", []string{second.next().Name}, "started")
	other := successor.openStream("other")
	checkEvents(t, "another job at the successor", []string{other.next().Name}, "started")
	dispatcher.terminate()
	close(release)
	checkEvents(t, "the first stream", first.remaining(), "2 done")
	checkEvents(t, "the second stream", second.remaining(), "2 done")
	checkEvents(t, "the other stream", other.remaining(), "2 done")
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	successor.waitForPredecessorEnd()
	checkEvents(t, "from the start, after the end of the predecessor", successor.openStream("k", "Req-Id", "later").remaining(), "1 started, 2 done")
	checkEvents(t, "from the second event, after the end of the predecessor", successor.openStream("k", "Req-Id", "rest", "Last-Event-ID", "1").remaining(), "2 done")
	if stream := successor.openStream("never", "Last-Event-ID", "1"); stream.response.StatusCode != 502 {
		t.Errorf("a key that neither process knows: status %d, want 502", stream.response.StatusCode)
	}
	if runs := worker.runsPerKey(); runs["k"] != 1 || runs["other"] != 1 || runs["never"] != 0 {
		t.Errorf("runs per key: %v, want one of k and of other", runs)
	}
}
