package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// sendBurst sends 3,000 requests from 16 clients at once, and returns the requests per second and the 99th percentile of their latency
// in milliseconds.
func sendBurst(t *testing.T, dispatcher *testDispatcher, keyPrefix string) (rate, p99MS float64) {
	t.Helper()
	const requests, clients = 3000, 16
	var mu sync.Mutex
	var latencies []time.Duration
	var running sync.WaitGroup
	beganAt := time.Now()
	for client := range clients {
		running.Go(func() {
			for i := range requests / clients {
				sentAt := time.Now()
				if status, _, _ := dispatcher.sendKey(fmt.Sprintf("%s-%d-%d", keyPrefix, client, i)); status != 200 {
					t.Errorf("status %d, want 200", status)
				}
				mu.Lock()
				latencies = append(latencies, time.Since(sentAt))
				mu.Unlock()
			}
		})
	}
	running.Wait()
	slices.Sort(latencies)
	return float64(len(latencies)) / time.Since(beganAt).Seconds(), latencies[len(latencies)*99/100].Seconds() * 1000
}

// TestDispatch_besideRaftGroup measures requests per second and the 99th percentile of their latency without a raft group, with one,
// and with one that has lost its majority. The three are measured in turns, and their ratios to the first are logged. It runs on request
// only:
// BRASSDALE_BENCH=1 go test -run TestDispatch_besideRaftGroup -v ./cmd/brassdale
func TestDispatch_besideRaftGroup(t *testing.T) {
	if os.Getenv("BRASSDALE_BENCH") == "" {
		t.Skip("a measurement, run with BRASSDALE_BENCH=1")
	}
	withoutGroup := startDispatcher(t, "", startWorker(t, "a", completeJob), startWorker(t, "b", completeJob))
	withGroup, withoutMajority := startFleet(t, 3, 0), startFleet(t, 3, 0)
	for _, fleet := range []*testFleet{withGroup, withoutMajority} {
		fleet.propose("retries = 0.5\n", 0)
		fleet.waitForVersion(1, 0, 1, 2)
	}
	withoutMajority.kill(1, 2)
	const rounds = 9
	names := []string{"off", "on", "no majority"}
	dispatchers := []*testDispatcher{withoutGroup, withGroup.dispatchers[0], withoutMajority.dispatchers[0]}
	rates, p99s := make([][]float64, 3), make([][]float64, 3)
	for measured := range rounds + 1 { // the first round warms up
		for i, dispatcher := range dispatchers {
			rate, p99 := sendBurst(t, dispatcher, fmt.Sprint("b-", measured, "-", i))
			if measured > 0 {
				rates[i], p99s[i] = append(rates[i], rate), append(p99s[i], p99)
			}
		}
	}
	for i, name := range names {
		var ratio, tail []float64
		for r := range rounds {
			ratio, tail = append(ratio, rates[i][r]/rates[0][r]), append(tail, p99s[i][r]/p99s[0][r])
		}
		slices.Sort(ratio)
		slices.Sort(tail)
		slices.Sort(rates[i])
		slices.Sort(p99s[i])
		t.Logf("%-12s %.0f requests/s, p99 %.2f ms; ratio to off in each round: %.3f (%.3f to %.3f), p99 %.2f (%.2f to %.2f)", name, rates[i][rounds/2], p99s[i][rounds/2],
			ratio[rounds/2], ratio[0], ratio[rounds-1], tail[rounds/2], tail[0], tail[rounds-1])
	}
}
