package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// deadlineSlack is the maximum by which the deadline that a worker receives may be later than the client's deadline.
const deadlineSlack = 150 * time.Millisecond

// receivedDeadlines records the deadlines of jobs as workers received them.
type receivedDeadlines struct {
	mu          sync.Mutex
	latestByKey map[string]time.Time // by key: the latest deadline
}

// record records the deadline of a job that has just been received.
func (d *receivedDeadlines) record(r *http.Request) {
	left, err := strconv.Atoi(r.Header.Get("Req-Deadline-Ms"))
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	key, deadline := r.Header.Get("Idempotency-Key"), time.Now().Add(time.Duration(left)*time.Millisecond)
	if deadline.After(d.latestByKey[key]) {
		d.latestByKey[key] = deadline
	}
}

// latest returns the latest deadline of a key.
func (d *receivedDeadlines) latest(key string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latestByKey[key]
}

// sendPipelined sends two requests at once on a connection, the second with a deadline in milliseconds, and reads both answers. It
// returns the time at which they were sent.
func (d *testDispatcher) sendPipelined(deadlineMS string) (sentAt time.Time) {
	d.t.Helper()
	conn := d.dial()
	var both bytes.Buffer
	newRequest(d.http1URL, "first").Write(&both)
	newRequest(d.http1URL, "second", "Req-Deadline-Ms", deadlineMS).Write(&both)
	sentAt = time.Now()
	conn.Write(both.Bytes())
	reader := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			d.t.Fatal(err)
		}
		resp.Body.Close()
	}
	return sentAt
}

// TestPipelinedRequest_deadlineAtWorker checks that the deadline of a pipelined request counts from when it was sent, not from when the
// request before it was answered: the worker receives the remaining time.
func TestPipelinedRequest_deadlineAtWorker(t *testing.T) {
	t.Parallel()
	deadlines := receivedDeadlines{latestByKey: map[string]time.Time{}}
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		deadlines.record(r)
		if r.Header.Get("Idempotency-Key") == "first" {
			time.Sleep(time.Second)
		}
		completeJob(worker, conn, r)
	})
	dispatcher := startDispatcher(t, "", worker)
	sentAt := dispatcher.sendPipelined("1500")
	if excess := deadlines.latest("second").Sub(sentAt.Add(1500 * time.Millisecond)); excess > deadlineSlack {
		t.Errorf("the deadline at the worker is %v later than its client's, more than %v", excess, deadlineSlack)
	}
}

// TestPipelinedRequest_answeredInTime checks that a pipelined request whose worker stalls is answered at the deadline of its client, 1.2 s
// after it was sent, or at most 0.5 s later.
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
	sentAt := dispatcher.sendPipelined("1200")
	if took := time.Since(sentAt); took > 1700*time.Millisecond {
		t.Errorf("answered %v after it was sent, more than 1.7 s", took)
	}
}

// TestDeadline_silentWorker checks that a request whose worker never answers is answered 504 at its deadline of 0.5 s, or at most 1 s
// later.
func TestDeadline_silentWorker(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", respondThenStall()))
	sentAt := time.Now()
	status, _, _ := dispatcher.sendKey("k", "Req-Deadline-Ms", "500")
	if took := time.Since(sentAt); status != 504 || took < 450*time.Millisecond || took > 1500*time.Millisecond {
		t.Errorf("status %d after %v, want 504 after 0.45 s to 1.5 s", status, took)
	}
}

// TestDeadline_lateAnswerWithoutWeight checks that, if a late answer has no weight, a request whose job has not started is answered before
// its deadline of 5 s, within 4 s, and its attempt is cancelled. The job would only delay others in the worker's queue.
func TestDeadline_lateAnswerWithoutWeight(t *testing.T) {
	t.Parallel()
	cancelled := make(chan struct{})
	dispatcher := startDispatcherWith(t, "", withoutLateWeight, startWorker(t, "a", func(_ *testWorker, conn net.Conn, _ *http.Request) {
		io.Copy(io.Discard, conn)
		close(cancelled)
	}))
	sentAt := time.Now()
	status, _, _ := dispatcher.sendKey("k")
	if took := time.Since(sentAt); status != 502 || took > 4*time.Second {
		t.Errorf("status %d after %v, want 502 within 4 s", status, took)
	}
	<-cancelled
}

// withoutLateWeight is a change of the platform's file that gives late answers no weight.
var withoutLateWeight = withSetting(`"lateWorth":0.1`, `"lateWorth":0`)
