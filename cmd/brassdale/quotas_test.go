package main

import (
	"fmt"
	"testing"
)

// TestQuotas_atBothFrontends checks that the accounts' shares of 20 open requests are counted over both frontends together: an account that
// sends five times its share gets half of the capacity while no other account sends, and the others still get their shares.
func TestQuotas_atBothFrontends(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	dispatcher := startDispatcherWith(t, http2Frontend+`
accounts {
  room = 20
  account "greedy" { share = 0.25 }
  account "second" { share = 0.25 }
  account "third" { share = 0.5 }
}
`, withLongDeadline, startWorkers(t, 10, completeWhenReleased(release))...)
	http2Client := newHTTP2Client(t)
	open, rejected := map[string]int{}, map[string]int{}
	answers := make(chan string, 100)
	send := func(account string, index int) { // returns when the request is accepted or rejected
		key := fmt.Sprint(account, "-", index)
		url, client := dispatcher.http1URL, newHTTP1Client()
		if index%2 == 1 {
			url, client = dispatcher.http2URL, http2Client
		}
		before := dispatcher.metric("concurrent")
		done := make(chan int, 1)
		go func() {
			status, _, header := trySend(client, newRequest(url, key, "Req-Owner", account, "Req-Deadline-Ms", "60000"))
			if status == 503 && header.Get("Retry-After") == "" {
				status = -503
			}
			done <- status
			answers <- fmt.Sprint(account, " ", status)
		}()
		dispatcher.waitFor("an accepted or rejected request", func() bool {
			select {
			case status := <-done:
				if status != 503 {
					t.Errorf("%s: status %d (-503 is 503 without Retry-After), want 503", key, status)
				}
				rejected[account]++
				return true
			default:
			}
			return dispatcher.metric("concurrent") == before+1
		})
		if dispatcher.metric("concurrent") == before+1 {
			open[account]++
		}
	}
	for i := range 25 { // five times its share; while no other account sends, half of the capacity is granted
		send("greedy", i)
	}
	for i := range 5 {
		send("second", i)
	}
	for i := range 4 {
		send("third", i)
	}
	send("greedy", 25)
	if open["greedy"] != 10 || open["second"] != 5 || open["third"] != 4 || rejected["greedy"] != 16 {
		t.Errorf("open %v, rejected %v, want 10 greedy, 5 second and 4 third open, and 16 greedy rejected", open, rejected)
	}
	close(release)
	counts := map[string]int{} // by account and status
	for range 35 {
		counts[<-answers]++
	}
	if counts["greedy 200"] != 10 || counts["second 200"] != 5 || counts["third 200"] != 4 || counts["greedy 503"] != 16 {
		t.Errorf("answers %v, want status 200 for 10 greedy, 5 second and 4 third, and 503 for 16 greedy", counts)
	}
}

// TestQuotas_handover checks that both processes of a handover share one capacity: the successor does not grant again the part that open
// requests use at the predecessor.
func TestQuotas_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	operator := http2Frontend + "accounts {\n  room = 10\n  account \"a\" { share = 0.5 }\n  account \"b\" { share = 0.5 }\n}\n"
	dispatcher := startDispatcherWith(t, operator, withLongDeadline, startWorkers(t, 6, completeWhenReleased(release))...)
	answers := make(chan int, 20)
	open := func(at *testDispatcher, account string, count int) {
		t.Helper()
		before := at.metric("concurrent")
		for i := range count {
			go func() {
				status, _, _ := trySend(newHTTP1Client(), newRequest(at.http1URL, fmt.Sprint(account, "-", i), "Req-Owner", account, "Req-Deadline-Ms", "60000"))
				answers <- status
			}()
		}
		at.waitForMetric("concurrent", before+count)
	}
	open(dispatcher, "a", 5)
	successor := dispatcher.startSuccessor(operator)
	dispatcher.waitForHandovers(1)
	successor.waitForMetric("accounts_room", 5)
	open(successor, "b", 3) // its share of the free capacity of 5 is 2.5; more is granted while enough is free
	status, _, after := successor.sendKey("one-more", "Req-Owner", "b")
	if status != 503 || after == "" {
		t.Errorf("beyond the capacity: status %d, want 503 with Retry-After", status)
	}
	close(release)
	for range 8 {
		if status := <-answers; status != 200 {
			t.Errorf("an accepted request: status %d, want 200", status)
		}
	}
}
