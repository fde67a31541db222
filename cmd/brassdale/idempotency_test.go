package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	h2 "golang.org/x/net/http2"
)

// runs counts the runs of a key at an endpoint.
func (w *testWorker) runsOf(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

// A key is one job at whichever port it comes: at the same moment, and until its window has passed.
func TestIdempotencyKey_atBothFrontends(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	holds := func(b *testWorker, c net.Conn, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Idempotency-Key"), "both") {
			<-release
		}
		if r.Header.Get("Idempotency-Key") == "refused" && b.runsOf("refused") < 2 {
			respondRaw("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")(b, c, r)
			return
		}
		completeJob(b, c, r)
	}
	// Two bays: an endpoint of the one does not know what the other runs.
	a, other := startWorker(t, "a", holds), startWorker(t, "b", holds)
	other.cell = "2"
	const window = time.Second
	n := startDispatcherWith(t, http2Frontend, func(config string) string {
		return strings.Replace(config, `"window":7500000`, `"window":1000000`, 1)
	}, a, other)
	ran := func(key string) int { return a.runsOf(key) + other.runsOf(key) }
	second := newHTTP2Client(t)

	// At the same moment, twice at each port.
	answers := make(chan string, 4)
	for i := range 4 {
		url, client := n.http1URL, http.DefaultClient
		if i%2 == 1 {
			url, client = n.http2URL, second
		}
		go func() {
			status, body, _ := trySend(client, newRequest(url, "both", "Req-Id", fmt.Sprint("both-", i)))
			answers <- fmt.Sprint(status, " ", body)
		}()
	}
	n.waitFor("all four", func() bool { return n.metric("front.http2.streams") == 2 && ran("both") == 1 })
	close(release)
	for range 4 {
		if got := <-answers; got != "200 priced" {
			t.Errorf("the same key: %s", got)
		}
	}
	// For another job, and as the same request again.
	other1 := newRequest(n.http2URL, "both", "Req-Id", "both-x", "Req-Owner", "another")
	if status, _, _ := trySend(second, other1); status != 422 {
		t.Errorf("the key for another account's job: %d", status)
	}
	// Until the window has passed it is answered as before, at either port; then it is a new job.
	began := time.Now()
	answered := 0
	n.waitFor("a second run", func() bool {
		for i, url := range []string{n.http1URL, n.http2URL} {
			if status, body, _ := trySend([]*http.Client{http.DefaultClient, second}[i], newRequest(url, "both", "Req-Id", fmt.Sprint("again-", i, answered))); status != 200 || body != "priced" {
				t.Errorf("a repeat: %d %s", status, body)
			}
		}
		answered++
		return ran("both") > 1
	})
	if took := time.Since(began); ran("both") != 2 || answered < 2 || took < window-500*time.Millisecond {
		t.Errorf("%d runs, %d rounds of repeats in %v", ran("both"), answered, took)
	}
	// What was refused never ran: the key begins anew.
	for _, want := range []int{503, 200} {
		got := 0
		n.waitFor("the answer", func() bool {
			got, _, _ = trySend(second, newRequest(n.http2URL, "refused", "Req-Deadline-Ms", "300"))
			return got == 503 || got == 200
		})
		if got == 200 {
			break // the module tried again by itself
		}
		if got != want {
			t.Errorf("after a refusal: %d, want %d", got, want)
		}
	}
}

// A job that two wait for goes on when one of them leaves, and is cancelled with the last.
func TestIdempotencyKey_cancelledWithLastClient(t *testing.T) {
	t.Parallel()
	b := startWorker(t, "a", respondThenStall(`"state":"started"`))
	n := startDispatcher(t, http2Frontend, b)
	p, q := n.connectHTTP2(), n.connectHTTP2()
	p.sendRequest(1, "k")
	n.waitFor("the job", func() bool { return b.runsOf("k") == 1 })
	q.sendRequest(1, "k", "req-id", "second")
	q.sendRequest(3, "k", "req-id", "id-k") // the id of the first: that is open
	n.waitFor("409 for the same id", func() bool { return q.received("HEADERS 3 409") })
	n.waitFor("both", func() bool { return n.metric("front.http2.streams") == 2 })
	p.WriteRSTStream(1, h2.ErrCodeCancel)
	n.waitFor("one", func() bool { return n.metric("front.http2.streams") == 1 })
	if got := n.metric("concurrent"); got != 1 {
		t.Errorf("%d jobs with one reader left", got)
	}
	q.WriteRSTStream(1, h2.ErrCodeCancel)
	if id := <-b.abandoned; id != "id-k" {
		t.Errorf("cancelled %s", id)
	}
	n.waitFor("none", func() bool { return n.metric("concurrent") == 0 && n.metric("front.http2.streams") == 0 })
	if b.runsOf("k") != 1 {
		t.Errorf("%d runs", b.runsOf("k"))
	}
}

// While one process replaces the other, a key goes on having one job, at whichever port and process it comes.
func TestIdempotencyKey_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) })
	n := startDispatcher(t, http2Frontend, b)
	answers := make(chan int, 2)
	go func() {
		status, _, _ := trySend(newHTTP2Client(t), newRequest(n.http2URL, "k"))
		answers <- status
	}()
	n.waitFor("the job", func() bool { return b.runsOf("k") == 1 })
	m := n.startSuccessor(http2Frontend)
	n.waitForHandovers(1)
	go func() {
		status, _, _ := trySend(&http.Client{Transport: &http.Transport{}}, newRequest(m.http1URL, "k", "Req-Id", "second"))
		answers <- status
	}()
	m.waitFor("the reader that is relayed", func() bool { return strings.Contains(m.log(), "msg=ready") && m.metric("concurrent") == 0 })
	close(release)
	for range 2 {
		if status := <-answers; status != 200 {
			t.Errorf("a reader of the job: %d", status)
		}
	}
	n.terminate()
	n.waitForExit(time.Now().Add(5 * time.Second))
	if status, body, _ := trySend(newHTTP2Client(t), newRequest(m.http2URL, "k", "Req-Id", "third")); status != 200 || body != "priced" || b.runsOf("k") != 1 {
		t.Errorf("at the successor: %d %s, %d runs", status, body, b.runsOf("k"))
	}
}

// manyBoxes are enough that all jobs are taken at once.
func startWorkers(t *testing.T, many int, script func(*testWorker, net.Conn, *http.Request)) (workers []*testWorker) {
	for i := range many {
		workers = append(workers, startWorker(t, fmt.Sprint("worker-", i), script))
	}
	return workers
}

// With one account at five times its share, the others get theirs, counted over both ports together.
func TestQuotas_atBothFrontends(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	long := func(config string) string { // none ends by itself
		return strings.Replace(config, `"deadline":5000000`, `"deadline":60000000`, 1)
	}
	n := startDispatcherWith(t, http2Frontend+`
accounts {
  room = 20
  account "greedy" { share = 0.25 }
  account "second" { share = 0.25 }
  account "third" { share = 0.5 }
}
`, long, startWorkers(t, 10, func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) })...)
	second := newHTTP2Client(t)
	open, refused := map[string]int{}, map[string]int{}
	answers := make(chan string, 100)
	// ask hands a job in, and returns when it is taken or refused.
	hand := func(account string, i int) {
		key := fmt.Sprint(account, "-", i)
		url, client := n.http1URL, &http.Client{Transport: &http.Transport{}}
		if i%2 == 1 {
			url, client = n.http2URL, second
		}
		taken := n.metric("concurrent")
		done := make(chan int, 1)
		go func() {
			status, _, header := trySend(client, newRequest(url, key, "Req-Owner", account, "Req-Deadline-Ms", "60000"))
			if status == 503 && header.Get("Retry-After") == "" {
				status = -503
			}
			done <- status
			answers <- fmt.Sprint(account, " ", status)
		}()
		n.waitFor("the job's fate", func() bool {
			select {
			case status := <-done:
				if status != 503 {
					t.Errorf("%s: %d", key, status)
				}
				refused[account]++
				return true
			default:
			}
			return n.metric("concurrent") == taken+1
		})
		if n.metric("concurrent") == taken+1 {
			open[account]++
		}
	}
	for i := range 25 { // alone it gets half of the room, five times its share
		hand("greedy", i)
	}
	for i := range 5 {
		hand("second", i)
	}
	for i := range 4 {
		hand("third", i)
	}
	hand("greedy", 25)
	if open["greedy"] != 10 || open["second"] != 5 || open["third"] != 4 || refused["greedy"] != 16 {
		t.Errorf("open %v, refused %v", open, refused)
	}
	close(release)
	served := map[string]int{}
	for range 35 {
		served[<-answers]++
	}
	if served["greedy 200"] != 10 || served["second 200"] != 5 || served["third 200"] != 4 || served["greedy 503"] != 16 {
		t.Errorf("answers %v", served)
	}
}

// The room for streams is shared among connections: one that takes all it can get leaves room for the next.
func TestHTTP2_streamLimitSharedAmongConnections(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	workers := startWorkers(t, 60, func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) })
	n := startDispatcherWith(t, "front \"http2\" {\n  listen = \"127.0.0.1:0\"\n  streams = 1000\n}\n", func(config string) string {
		config = strings.Replace(config, `"deadline":5000000`, `"deadline":60000000`, 1) // none ends by itself
		return strings.Replace(config, `"memory_mb":192`, `"memory_mb":40`, 1)           // a room of 284 streams
	}, workers...)
	p, q := n.connectHTTP2(), n.connectHTTP2()
	for i := range uint32(300) {
		p.sendRequest(2*i+1, fmt.Sprint("p-", i), "req-deadline-ms", "60000")
	}
	n.waitFor("a refusal on the first connection", func() bool { return p.received("HEADERS") && n.metric("front.http2.streams") >= 142 })
	for i := range uint32(40) {
		q.sendRequest(2*i+1, fmt.Sprint("q-", i), "req-deadline-ms", "60000")
	}
	n.waitFor("all of the second's", func() bool { return n.metric("front.http2.streams") == 142+40 })
	if q.received("HEADERS") {
		t.Error("the second connection was refused something")
	}
	close(release)
	n.waitFor("the end", func() bool { return n.metric("front.http2.streams") == 0 })
}

// While one process replaces the other, accounts share one room: what the old one has open is not given out again.
func TestQuotas_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	long := func(config string) string {
		return strings.Replace(config, `"deadline":5000000`, `"deadline":60000000`, 1)
	}
	operator := http2Frontend + "accounts {\n  room = 10\n  account \"a\" { share = 0.5 }\n  account \"b\" { share = 0.5 }\n}\n"
	n := startDispatcherWith(t, operator, long, startWorkers(t, 6, func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) })...)
	answers := make(chan int, 20)
	hand := func(to *testDispatcher, account string, many int) {
		t.Helper()
		before := to.metric("concurrent")
		for i := range many {
			go func() {
				status, _, _ := trySend(&http.Client{Transport: &http.Transport{}}, newRequest(to.http1URL, fmt.Sprint(account, "-", i), "Req-Owner", account, "Req-Deadline-Ms", "60000"))
				answers <- status
			}()
		}
		to.waitFor("the jobs", func() bool { return to.metric("concurrent") == before+many })
	}
	hand(n, "a", 5)
	m := n.startSuccessor(operator)
	n.waitForHandovers(1)
	m.waitFor("word of the old one's jobs", func() bool { return m.metric("accounts_room") == 5 })
	hand(m, "b", 3) // its share of five, and what is left free beside as much
	status, _, after := n.send(newRequest(m.http1URL, "one-more", "Req-Owner", "b"))
	if status != 503 || after == "" {
		t.Errorf("past the room: %d", status)
	}
	close(release)
	for range 8 {
		if status := <-answers; status != 200 {
			t.Errorf("a job that was taken: %d", status)
		}
	}
}
