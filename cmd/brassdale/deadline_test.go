package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// deadlineSlack is how much more than what its client has left a worker may be told.
const deadlineSlack = 150 * time.Millisecond

// toldDeadlines records how long workers were told that they have for a job, and when the job came.
type receivedDeadlines struct {
	mu    sync.Mutex
	until map[string]time.Time // by key: the latest moment that a worker was told
}

func (d *receivedDeadlines) record(r *http.Request) {
	left, err := strconv.Atoi(r.Header.Get("Req-Deadline-Ms"))
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	key, until := r.Header.Get("Idempotency-Key"), time.Now().Add(time.Duration(left)*time.Millisecond)
	if until.After(d.until[key]) {
		d.until[key] = until
	}
}

func (d *receivedDeadlines) latest(key string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.until[key]
}

// sendTwo sends two requests at once on a connection, the second with so many milliseconds to its deadline, and reads both answers. It
// gives when they were sent.
func (d *testDispatcher) sendPipelined(deadline string) (sent time.Time) {
	d.t.Helper()
	conn := d.dial()
	var both bytes.Buffer
	newRequest(d.http1URL, "first").Write(&both)
	newRequest(d.http1URL, "second", "Req-Deadline-Ms", deadline).Write(&both)
	sent = time.Now()
	conn.Write(both.Bytes())
	reader := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			d.t.Fatal(err)
		}
		resp.Body.Close()
	}
	return sent
}

// A client sends two requests at once, and the second waits on its connection until the first is answered. Its time ran all the
// while: the worker is told no more than what is left, and the answer comes in time.
func TestPipelinedRequest_deadlineAtWorker(t *testing.T) {
	t.Parallel()
	told := receivedDeadlines{until: map[string]time.Time{}}
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		told.record(r)
		if r.Header.Get("Idempotency-Key") == "first" {
			time.Sleep(time.Second)
		}
		completeJob(worker, conn, r)
	})
	dispatcher := startDispatcher(t, "", worker)
	sent := dispatcher.sendPipelined("1500")
	if over := told.latest("second").Sub(sent.Add(1500 * time.Millisecond)); over > deadlineSlack {
		t.Errorf("the worker was told %v more than its client has left", over)
	}
}

// The same where the second never has a worker that answers: its own answer comes by the deadline that its client counts.
func TestPipelinedRequest_answeredInTime(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "first" {
			time.Sleep(700 * time.Millisecond)
			completeJob(worker, conn, r)
			return
		}
		respondThenStall(`"state":"started"`)(worker, conn, r)
	})
	dispatcher := startDispatcher(t, "", worker)
	sent := dispatcher.sendPipelined("1200")
	if took := time.Since(sent); took > 1700*time.Millisecond { // half a second later it is lost
		t.Errorf("answered %v behind its sending, 1.2 s were given", took)
	}
}

// An endpoint that takes a job and says nothing: the answer still comes inside deadline and slack.
func TestDeadline_silentWorker(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", respondThenStall()))
	begin := time.Now()
	status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "k", "Req-Deadline-Ms", "500"))
	if took := time.Since(begin); status != 504 || took < 450*time.Millisecond || took > 1500*time.Millisecond {
		t.Errorf("answered %d after %v", status, took)
	}
}

// A job that no endpoint has begun is given up once its answer can be worth nothing, long before its deadline: it only
// holds up others in its endpoint's queue, for which it is closed.
func TestDeadline_lateAnswerWithoutWeight(t *testing.T) {
	t.Parallel()
	gone := make(chan struct{})
	dispatcher := startDispatcherWith(t, "", withoutLateWeight, startWorker(t, "a", func(worker *testWorker, conn net.Conn, _ *http.Request) {
		io.Copy(io.Discard, conn)
		close(gone)
	}))
	begin := time.Now()
	status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "k"))
	if took := time.Since(begin); status != 502 || took > 4*time.Second {
		t.Errorf("answered %d after %v", status, took)
	}
	<-gone
}

// lateIsWorthless has a late answer count for nothing.
func withoutLateWeight(config string) string {
	return strings.Replace(config, `"lateWorth":0.1`, `"lateWorth":0`, 1)
}
