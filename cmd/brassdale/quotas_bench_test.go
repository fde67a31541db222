package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// recordedRequest is a request of recorded traffic.
type recordedRequest struct {
	at      time.Duration // since the start
	account string
}

// benchAccounts are the accounts of the deployment with their shares. The first account sends five times its share.
var benchAccounts = []struct {
	name  string
	share float64
}{{"deeside-aero", 0.23}, {"gwent-pumps", 0.19}, {"taff-marine", 0.18}, {"cwm-trailers", 0.18}, {"bryn-fixtures", 0.14}, {"ogwen-tools", 0.08}}

// recordTraffic returns random traffic in which each account sends its share of 400 requests per second, and the first account five times
// its share.
func recordTraffic(duration time.Duration) (trace []recordedRequest) {
	random := rand.New(rand.NewPCG(7, 7))
	for i, account := range benchAccounts {
		rate := 400 * account.share
		if i == 0 {
			rate *= 5
		}
		for at := time.Duration(0); at < duration; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			trace = append(trace, recordedRequest{at, account.name})
		}
	}
	slices.SortFunc(trace, func(a, b recordedRequest) int { return int(a.at - b.at) })
	return trace
}

// connectionClosed reports whether the other side has closed a connection on which no more data is expected.
func connectionClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	defer conn.SetReadDeadline(time.Time{})
	_, err := conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// inTimeLimit limits the time from when a request is due to its answer: a later answer does not count as served in time.
const inTimeLimit = 400 * time.Millisecond

// sendOnSchedule calls send for each request when it is due, without waiting for earlier calls, and then waits for all calls.
func sendOnSchedule(schedule []time.Duration, send func(index int, due time.Time)) {
	var calls sync.WaitGroup
	beganAt := time.Now()
	for i, at := range schedule {
		due := beganAt.Add(at)
		time.Sleep(time.Until(due))
		calls.Go(func() { send(i, due) })
	}
	calls.Wait()
}

// replay sends recorded traffic and returns the shares of requests that were served in time, by account, and under "all" for all accounts.
func replay(trace []recordedRequest, send func(index int, account string) (status int)) map[string]float64 {
	var schedule []time.Duration
	for _, request := range trace {
		schedule = append(schedule, request.at)
	}
	var mu sync.Mutex
	sent, inTime := map[string]float64{}, map[string]float64{}
	sendOnSchedule(schedule, func(index int, due time.Time) {
		account := trace[index].account
		status := send(index, account)
		mu.Lock()
		defer mu.Unlock()
		for _, key := range []string{account, "all"} {
			sent[key]++
			if status == 200 && time.Since(due) < inTimeLimit {
				inTime[key]++
			}
		}
	})
	for key := range sent {
		inTime[key] /= sent[key]
	}
	return inTime
}

// BenchmarkQuotas replays the same traffic over HTTP/1.1, over HTTP/2 and half over each, in turns. 12 workers with 5 slots and 100 ms per
// job can serve 600 of the 770 requests per second; one account sends the surplus.
func BenchmarkQuotas(b *testing.B) {
	slots := sync.Map{} // by worker
	workers := startWorkers(b, 12, func(worker *testWorker, conn net.Conn, r *http.Request) {
		free, _ := slots.LoadOrStore(worker, make(chan struct{}, 5))
		free.(chan struct{}) <- struct{}{}
		defer func() { <-free.(chan struct{}) }()
		if connectionClosed(conn) { // the attempt was cancelled while it waited
			return
		}
		time.Sleep(100 * time.Millisecond)
		completeAtOnce(worker, conn, r)
	})
	operator := "front \"http2\" {\n  listen = \"127.0.0.1:0\"\n}\naccounts {\n  room = 90\n"
	for _, account := range benchAccounts {
		operator += fmt.Sprintf("  account %q { share = %v }\n", account.name, account.share)
	}
	program := startBenchDispatcher(b, "", operator+"}\n", workers)
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	clients := []*http.Client{{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}, {Transport: transport}}
	urls := []string{"http://" + program.http1Address, "http://" + program.http2Address}
	trace := recordTraffic(4 * time.Second)
	modes := []string{"HTTP/1.1", "HTTP/2", "half and half"}
	shares := map[string][][]float64{} // by account, by mode, for each round
	for round := range 6 {
		for mode := range modes {
			inTime := replay(trace, func(index int, account string) int {
				frontend := mode
				if mode == 2 {
					frontend = index % 2
				}
				status, _, _ := trySend(clients[frontend], newRequest(urls[frontend], fmt.Sprint("mixed-", round, mode, "-", index), "Req-Owner", account))
				return status
			})
			if round == 0 { // a warmup: connections and statistics are new
				continue
			}
			for account, share := range inTime {
				if shares[account] == nil {
					shares[account] = make([][]float64, len(modes))
				}
				shares[account][mode] = append(shares[account][mode], share)
			}
		}
	}
	logShares(b, modes, shares)
}

// logShares logs the median and the range of the shares of requests that were served in time.
func logShares(b *testing.B, modes []string, shares map[string][][]float64) {
	b.Helper()
	names := []string{"all"}
	for _, account := range benchAccounts {
		names = append(names, account.name)
	}
	for _, name := range names {
		text := fmt.Sprintf("%-14s", name)
		for mode, modeName := range modes {
			rounds := shares[name][mode]
			text += fmt.Sprintf("  %s %.3f (%.3f to %.3f)", modeName, median(rounds), slices.Min(rounds), slices.Max(rounds))
		}
		b.Log(text)
	}
}
