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

// arrival is a job of a recorded stretch of traffic.
type recordedRequest struct {
	at      time.Duration
	account string
}

// customers have their shares of the works; the first sends five times its own.
var benchAccounts = []struct {
	name  string
	share float64
}{{"deeside-aero", 0.23}, {"gwent-pumps", 0.19}, {"taff-marine", 0.18}, {"cwm-trailers", 0.18}, {"bryn-fixtures", 0.14}, {"ogwen-tools", 0.08}}

// recorded is traffic of 400 jobs/s at the shares, and the greedy account's surplus.
func recordTraffic(span time.Duration) (trace []recordedRequest) {
	random := rand.New(rand.NewPCG(7, 7))
	for i, account := range benchAccounts {
		rate := 400 * account.share
		if i == 0 {
			rate *= 5
		}
		for at := time.Duration(0); at < span; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			trace = append(trace, recordedRequest{at, account.name})
		}
	}
	slices.SortFunc(trace, func(request, b recordedRequest) int { return int(request.at - b.at) })
	return trace
}

// gone tells whether the other side has closed a connection on which nothing is to come.
func connectionClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	defer conn.SetReadDeadline(time.Time{})
	_, err := conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

const inTimeLimit = 400 * time.Millisecond

// play hands the traffic in, each job at its time whatever became of those before, and gives the parts of each account's
// jobs, and of all, that were served in time.
func replay(trace []recordedRequest, send func(i int, account string) int) map[string]float64 {
	var mu sync.Mutex
	var wait sync.WaitGroup
	asked, good := map[string]float64{}, map[string]float64{}
	begin := time.Now()
	for i, request := range trace {
		time.Sleep(time.Until(begin.Add(request.at)))
		wait.Go(func() {
			status := send(i, request.account)
			mu.Lock()
			defer mu.Unlock()
			for _, of := range []string{request.account, "all"} {
				asked[of]++
				if status == 200 && time.Since(begin) < request.at+inTimeLimit {
					good[of]++
				}
			}
		})
	}
	wait.Wait()
	for of := range asked {
		good[of] /= asked[of]
	}
	return good
}

// BenchmarkMixed plays the same traffic over HTTP/1.1, over HTTP/2 and half and half, in turns: 12 endpoints of 5 slots
// and 100 ms a job can do 600 jobs/s of the 770 that come, and what is too much is one account's.
func BenchmarkQuotas(b *testing.B) {
	slots := sync.Map{}
	workers := startBenchWorkersWith(b, 12, func(worker *testWorker, conn net.Conn, r *http.Request) {
		free, _ := slots.LoadOrStore(worker, make(chan struct{}, 5))
		free.(chan struct{}) <- struct{}{}
		defer func() { <-free.(chan struct{}) }()
		if connectionClosed(conn) { // a copy was called off while it waited: workers drop those
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
	parts := map[string][][]float64{} // by account, by mode, a figure for each round
	for round := range 6 {
		for mode := range modes {
			good := replay(trace, func(i int, account string) int {
				port := mode
				if mode == 2 {
					port = i % 2
				}
				status, _, _ := trySend(clients[port], newRequest(urls[port], fmt.Sprint("mixed-", round, mode, "-", i), "Req-Owner", account))
				return status
			})
			if round == 0 { // connections and the module's knowledge are new
				continue
			}
			for of, part := range good {
				if parts[of] == nil {
					parts[of] = make([][]float64, len(modes))
				}
				parts[of][mode] = append(parts[of][mode], part)
			}
		}
	}
	for _, of := range []string{"all", "deeside-aero", "gwent-pumps", "taff-marine", "cwm-trailers", "bryn-fixtures", "ogwen-tools"} {
		text := fmt.Sprintf("%-14s", of)
		for mode, name := range modes {
			x := parts[of][mode]
			text += fmt.Sprintf("  %s %.3f (%.3f to %.3f)", name, median(x), slices.Min(x), slices.Max(x))
		}
		b.Log(text)
	}
}
