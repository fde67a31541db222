package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// With one account at five times its share, the others get theirs, counted over both ports together.
func TestQuotas_atBothFrontends(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	long := func(config string) string { // none ends by itself
		return strings.Replace(config, `"deadline":5000000`, `"deadline":60000000`, 1)
	}
	dispatcher := startDispatcherWith(t, http2Frontend+`
accounts {
  room = 20
  account "greedy" { share = 0.25 }
  account "second" { share = 0.25 }
  account "third" { share = 0.5 }
}
`, long, startWorkers(t, 10, func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeJob(worker, conn, r) })...)
	second := newHTTP2Client(t)
	open, refused := map[string]int{}, map[string]int{}
	answers := make(chan string, 100)
	// ask hands a job in, and returns when it is taken or refused.
	hand := func(account string, i int) {
		key := fmt.Sprint(account, "-", i)
		url, client := dispatcher.http1URL, &http.Client{Transport: &http.Transport{}}
		if i%2 == 1 {
			url, client = dispatcher.http2URL, second
		}
		taken := dispatcher.metric("concurrent")
		done := make(chan int, 1)
		go func() {
			status, _, header := trySend(client, newRequest(url, key, "Req-Owner", account, "Req-Deadline-Ms", "60000"))
			if status == 503 && header.Get("Retry-After") == "" {
				status = -503
			}
			done <- status
			answers <- fmt.Sprint(account, " ", status)
		}()
		dispatcher.waitFor("the job's fate", func() bool {
			select {
			case status := <-done:
				if status != 503 {
					t.Errorf("%s: %d", key, status)
				}
				refused[account]++
				return true
			default:
			}
			return dispatcher.metric("concurrent") == taken+1
		})
		if dispatcher.metric("concurrent") == taken+1 {
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

// While one process replaces the other, accounts share one room: what the old one has open is not given out again.
func TestQuotas_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	long := func(config string) string {
		return strings.Replace(config, `"deadline":5000000`, `"deadline":60000000`, 1)
	}
	operator := http2Frontend + "accounts {\n  room = 10\n  account \"a\" { share = 0.5 }\n  account \"b\" { share = 0.5 }\n}\n"
	dispatcher := startDispatcherWith(t, operator, long, startWorkers(t, 6, func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeJob(worker, conn, r) })...)
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
	hand(dispatcher, "a", 5)
	successor := dispatcher.startSuccessor(operator)
	dispatcher.waitForHandovers(1)
	successor.waitFor("word of the old one's jobs", func() bool { return successor.metric("accounts_room") == 5 })
	hand(successor, "b", 3) // its share of five, and what is left free beside as much
	status, _, after := dispatcher.send(newRequest(successor.http1URL, "one-more", "Req-Owner", "b"))
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
