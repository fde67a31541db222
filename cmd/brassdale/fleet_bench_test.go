package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// By hand: BRASSDALE_BENCH=1 go test -run DispatchBesideCouncil -v ./cmd/brassdale. Requests a second and their 99th percentile
// without a council, with one, and with one that has lost its majority, in turn, as ratios to the first.
func TestDispatch_besideRaftGroup(t *testing.T) {
	if os.Getenv("BRASSDALE_BENCH") == "" {
		t.Skip("a measurement by hand")
	}
	off := startDispatcher(t, "", startWorker(t, "a", completeJob), startWorker(t, "b", completeJob))
	on, lone := startFleet(t, 21, 3, 0), startFleet(t, 22, 3, 0)
	on.propose("retries = 0.5\n", 0)
	on.waitForVersion(1, 0, 1, 2)
	lone.propose("retries = 0.5\n", 0)
	lone.waitForVersion(1, 0, 1, 2)
	lone.kill(1, 2)
	const rounds, jobs, together = 9, 3000, 16
	round := 0
	burst := func(dispatcher *testDispatcher) (rate, p99 float64) {
		round++
		var mu sync.Mutex
		var wait sync.WaitGroup
		var took []time.Duration
		begin := time.Now()
		for k := range together {
			wait.Go(func() {
				for i := range jobs / together {
					at := time.Now()
					if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprintf("b-%d-%d-%d", round, k, i))); status != 200 {
						t.Errorf("status %d", status)
					}
					mu.Lock()
					took = append(took, time.Since(at))
					mu.Unlock()
				}
			})
		}
		wait.Wait()
		slices.Sort(took)
		return float64(len(took)) / time.Since(begin).Seconds(), took[len(took)*99/100].Seconds() * 1000
	}
	names, nodes := []string{"off", "on", "no majority"}, []*testDispatcher{off, on.dispatchers[0], lone.dispatchers[0]}
	rates, p99s := make([][]float64, 3), make([][]float64, 3)
	for r := range rounds + 1 {
		for i, dispatcher := range nodes {
			rate, p99 := burst(dispatcher)
			if r > 0 {
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
		t.Logf("%-12s %.0f requests/s, p99 %.2f ms; of off, round by round: %.3f (%.3f to %.3f), p99 %.2f (%.2f to %.2f)", name, rates[i][rounds/2], p99s[i][rounds/2],
			ratio[rounds/2], ratio[0], ratio[rounds-1], tail[rounds/2], tail[0], tail[rounds-1])
	}
}
