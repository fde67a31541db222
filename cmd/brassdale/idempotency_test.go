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
func (b *worker) ran(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

// A key is one job at whichever port it comes: at the same moment, and until its window has passed.
func TestKeyAtBothPorts(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	holds := func(b *worker, c net.Conn, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Idempotency-Key"), "both") {
			<-release
		}
		if r.Header.Get("Idempotency-Key") == "refused" && b.ran("refused") < 2 {
			raw("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")(b, c, r)
			return
		}
		works(b, c, r)
	}
	// Two bays: an endpoint of the one does not know what the other runs.
	a, other := newWorker(t, "a", holds), newWorker(t, "b", holds)
	other.cell = "2"
	const window = time.Second
	n := startWith(t, http2Block, func(config string) string {
		return strings.Replace(config, `"window":7500000`, `"window":1000000`, 1)
	}, a, other)
	ran := func(key string) int { return a.ran(key) + other.ran(key) }
	second := h2Client(t)

	// At the same moment, twice at each port.
	answers := make(chan string, 4)
	for i := range 4 {
		url, client := n.url, http.DefaultClient
		if i%2 == 1 {
			url, client = n.h2, second
		}
		go func() {
			status, body, _ := ask(client, request(url, "both", "Req-Id", fmt.Sprint("both-", i)))
			answers <- fmt.Sprint(status, " ", body)
		}()
	}
	n.waitFor("all four", func() bool { return n.figure("front.http2.streams") == 2 && ran("both") == 1 })
	close(release)
	for range 4 {
		if got := <-answers; got != "200 priced" {
			t.Errorf("the same key: %s", got)
		}
	}
	// For another job, and as the same request again.
	other1 := request(n.h2, "both", "Req-Id", "both-x", "Req-Owner", "another")
	if status, _, _ := ask(second, other1); status != 422 {
		t.Errorf("the key for another account's job: %d", status)
	}
	// Until the window has passed it is answered as before, at either port; then it is a new job.
	began := time.Now()
	answered := 0
	n.waitFor("a second run", func() bool {
		for i, url := range []string{n.url, n.h2} {
			if status, body, _ := ask([]*http.Client{http.DefaultClient, second}[i], request(url, "both", "Req-Id", fmt.Sprint("again-", i, answered))); status != 200 || body != "priced" {
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
			got, _, _ = ask(second, request(n.h2, "refused", "Req-Deadline-Ms", "300"))
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
func TestKeyIsGivenUpWithItsLastReader(t *testing.T) {
	t.Parallel()
	b := newWorker(t, "a", freezes(`"state":"started"`))
	n := start(t, http2Block, b)
	p, q := n.wire(), n.wire()
	p.job(1, "k")
	n.waitFor("the job", func() bool { return b.ran("k") == 1 })
	q.job(1, "k", "req-id", "second")
	q.job(3, "k", "req-id", "id-k") // the id of the first: that is open
	n.waitFor("409 for the same id", func() bool { return q.got("HEADERS 3 409") })
	n.waitFor("both", func() bool { return n.figure("front.http2.streams") == 2 })
	p.WriteRSTStream(1, h2.ErrCodeCancel)
	n.waitFor("one", func() bool { return n.figure("front.http2.streams") == 1 })
	if got := n.figure("concurrent"); got != 1 {
		t.Errorf("%d jobs with one reader left", got)
	}
	q.WriteRSTStream(1, h2.ErrCodeCancel)
	if id := <-b.closed; id != "id-k" {
		t.Errorf("cancelled %s", id)
	}
	n.waitFor("none", func() bool { return n.figure("concurrent") == 0 && n.figure("front.http2.streams") == 0 })
	if b.ran("k") != 1 {
		t.Errorf("%d runs", b.ran("k"))
	}
}

// While one process replaces the other, a key goes on having one job, at whichever port and process it comes.
func TestKeyReplaced(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := newWorker(t, "a", func(b *worker, c net.Conn, r *http.Request) { <-release; works(b, c, r) })
	n := start(t, http2Block, b)
	answers := make(chan int, 2)
	go func() {
		status, _, _ := ask(h2Client(t), request(n.h2, "k"))
		answers <- status
	}()
	n.waitFor("the job", func() bool { return b.ran("k") == 1 })
	m := n.successor(http2Block)
	n.passesOn(1)
	go func() {
		status, _, _ := ask(&http.Client{Transport: &http.Transport{}}, request(m.url, "k", "Req-Id", "second"))
		answers <- status
	}()
	m.waitFor("the reader that is relayed", func() bool { return strings.Contains(m.log(), "msg=ready") && m.figure("concurrent") == 0 })
	close(release)
	for range 2 {
		if status := <-answers; status != 200 {
			t.Errorf("a reader of the job: %d", status)
		}
	}
	n.stop()
	n.ends(time.Now().Add(5 * time.Second))
	if status, body, _ := ask(h2Client(t), request(m.h2, "k", "Req-Id", "third")); status != 200 || body != "priced" || b.ran("k") != 1 {
		t.Errorf("at the successor: %d %s, %d runs", status, body, b.ran("k"))
	}
}

// manyBoxes are enough that all jobs are taken at once.
func manyBoxes(t *testing.T, many int, script func(*worker, net.Conn, *http.Request)) (workers []*worker) {
	for i := range many {
		workers = append(workers, newWorker(t, fmt.Sprint("worker-", i), script))
	}
	return workers
}

// With one account at five times its share, the others get theirs, counted over both ports together.
func TestAccountsAtBothPorts(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	long := func(config string) string { // none ends by itself
		return strings.Replace(config, `"deadline":5000000`, `"deadline":60000000`, 1)
	}
	n := startWith(t, http2Block+`
accounts {
  room = 20
  account "greedy" { share = 0.25 }
  account "second" { share = 0.25 }
  account "third" { share = 0.5 }
}
`, long, manyBoxes(t, 10, func(b *worker, c net.Conn, r *http.Request) { <-release; works(b, c, r) })...)
	second := h2Client(t)
	open, refused := map[string]int{}, map[string]int{}
	answers := make(chan string, 100)
	// ask hands a job in, and returns when it is taken or refused.
	hand := func(account string, i int) {
		key := fmt.Sprint(account, "-", i)
		url, client := n.url, &http.Client{Transport: &http.Transport{}}
		if i%2 == 1 {
			url, client = n.h2, second
		}
		taken := n.figure("concurrent")
		done := make(chan int, 1)
		go func() {
			status, _, header := ask(client, request(url, key, "Req-Owner", account, "Req-Deadline-Ms", "60000"))
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
			return n.figure("concurrent") == taken+1
		})
		if n.figure("concurrent") == taken+1 {
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
func TestStreamsAmongConnections(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	workers := manyBoxes(t, 60, func(b *worker, c net.Conn, r *http.Request) { <-release; works(b, c, r) })
	n := startWith(t, "front \"http2\" {\n  listen = \"127.0.0.1:0\"\n  streams = 1000\n}\n", func(config string) string {
		config = strings.Replace(config, `"deadline":5000000`, `"deadline":60000000`, 1) // none ends by itself
		return strings.Replace(config, `"memory_mb":192`, `"memory_mb":40`, 1)           // a room of 284 streams
	}, workers...)
	p, q := n.wire(), n.wire()
	for i := range uint32(300) {
		p.job(2*i+1, fmt.Sprint("p-", i), "req-deadline-ms", "60000")
	}
	n.waitFor("a refusal on the first connection", func() bool { return p.got("HEADERS") && n.figure("front.http2.streams") >= 142 })
	for i := range uint32(40) {
		q.job(2*i+1, fmt.Sprint("q-", i), "req-deadline-ms", "60000")
	}
	n.waitFor("all of the second's", func() bool { return n.figure("front.http2.streams") == 142+40 })
	if q.got("HEADERS") {
		t.Error("the second connection was refused something")
	}
	close(release)
	n.waitFor("the end", func() bool { return n.figure("front.http2.streams") == 0 })
}

// While one process replaces the other, accounts share one room: what the old one has open is not given out again.
func TestAccountsReplaced(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	long := func(config string) string {
		return strings.Replace(config, `"deadline":5000000`, `"deadline":60000000`, 1)
	}
	operator := http2Block + "accounts {\n  room = 10\n  account \"a\" { share = 0.5 }\n  account \"b\" { share = 0.5 }\n}\n"
	n := startWith(t, operator, long, manyBoxes(t, 6, func(b *worker, c net.Conn, r *http.Request) { <-release; works(b, c, r) })...)
	answers := make(chan int, 20)
	hand := func(to *node, account string, many int) {
		t.Helper()
		before := to.figure("concurrent")
		for i := range many {
			go func() {
				status, _, _ := ask(&http.Client{Transport: &http.Transport{}}, request(to.url, fmt.Sprint(account, "-", i), "Req-Owner", account, "Req-Deadline-Ms", "60000"))
				answers <- status
			}()
		}
		to.waitFor("the jobs", func() bool { return to.figure("concurrent") == before+many })
	}
	hand(n, "a", 5)
	m := n.successor(operator)
	n.passesOn(1)
	m.waitFor("word of the old one's jobs", func() bool { return m.figure("accounts_room") == 5 })
	hand(m, "b", 3) // its share of five, and what is left free beside as much
	status, _, after := n.do(request(m.url, "one-more", "Req-Owner", "b"))
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
