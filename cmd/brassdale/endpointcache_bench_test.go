package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"brassdale/internal/endpointcache"
)

const (
	modelJobDuration      = 100 * time.Millisecond // at a warm worker
	modelSlots            = 5
	modelSlowStart        = 24 * time.Second
	modelStartCapacity    = 0.14
	modelOverloadMultiple = 3.0 // times what it can do ...
	modelOverloadWindow   = 1500 * time.Millisecond
)

// model is a worker that is cold after its start: its jobs take longer, and it notes how much it is sent.
type slowStartWorker struct {
	*testWorker
	startedAt time.Time // zero for long ago

	mu           sync.Mutex
	receivedAt   []time.Time
	peakOverload float64 // work of any modelFall, as a multiple of what it could do in it; above modelTip it would fall over
	unlisted     bool    // it should get nothing: it is out of the list
	received     int     // that it got all the same
}

func (w *slowStartWorker) capacityShare(now time.Time) float64 {
	if w.startedAt.IsZero() {
		return 1
	}
	return min(modelStartCapacity+(1-modelStartCapacity)*float64(now.Sub(w.startedAt))/float64(modelSlowStart), 1)
}

func newSlowStartWorker(b *testing.B, id string) *slowStartWorker {
	m := &slowStartWorker{}
	slots := make(chan struct{}, modelSlots)
	m.testWorker = startWorker(b, id, func(x *testWorker, c net.Conn, r *http.Request) {
		now := time.Now()
		m.mu.Lock()
		m.received++
		m.receivedAt = append(m.receivedAt, now)
		for now.Sub(m.receivedAt[0]) > modelOverloadWindow {
			m.receivedAt = m.receivedAt[1:]
		}
		w := m.capacityShare(now)
		work := float64(len(m.receivedAt)) * modelJobDuration.Seconds()
		m.peakOverload = max(m.peakOverload, work/(modelSlots*w*modelOverloadWindow.Seconds()))
		m.mu.Unlock()
		slots <- struct{}{}
		defer func() { <-slots }()
		if connectionClosed(c) {
			return
		}
		completeAfter(time.Duration(float64(modelJobDuration)/w))(x, c, r)
	})
	return m
}

// works is the site of the measurement: 12 workers on the saved list, of which 3 are missing, 2 silent, 1 drained and 1 has
// been started anew a moment ago.
type benchDeployment struct {
	workers []*slowStartWorker
	listed  []*testWorker // what discovery would say
	cached  []*testWorker
}

func newBenchDeployment(b *testing.B) *benchDeployment {
	s := &benchDeployment{}
	for i := range 12 {
		id := fmt.Sprint("worker-", i)
		switch {
		case i < 5:
			m := newSlowStartWorker(b, id)
			s.workers, s.listed, s.cached = append(s.workers, m), append(s.listed, m.testWorker), append(s.cached, m.testWorker)
		case i == 5: // reused
			m := newSlowStartWorker(b, id)
			m.startedAt = time.Now()
			m.startedAtMS = m.startedAt.UnixMilli()
			s.workers, s.listed = append(s.workers, m), append(s.listed, m.testWorker)
			old := &testWorker{id: id, cell: "1", phase: "active", listener: m.listener}
			s.cached = append(s.cached, old)
		case i == 6: // drained since
			m := newSlowStartWorker(b, id)
			m.unlisted = true
			s.workers, s.cached = append(s.workers, m), append(s.cached, m.testWorker)
		case i < 9: // silent: its process takes connections and no more
			ln := must(net.Listen("tcp", "127.0.0.1:0"))
			b.Cleanup(func() { ln.Close() })
			go func() {
				for {
					if _, err := ln.Accept(); err != nil {
						return
					}
				}
			}()
			x := &testWorker{id: id, cell: "1", phase: "active", listener: ln}
			s.listed, s.cached = append(s.listed, x), append(s.cached, x)
		default: // missing
			ln := must(net.Listen("tcp", "127.0.0.1:0"))
			ln.Close()
			s.cached = append(s.cached, &testWorker{id: id, cell: "1", phase: "active", listener: ln})
		}
	}
	return s
}

// BenchmarkSavedList: a busy site whose discovery is down for the first 20 s, in four ways. What is a share is of all
// jobs that were asked for in that time.
func BenchmarkEndpointCache(b *testing.B) {
	const (
		down = 20 * time.Second
		span = 30 * time.Second
		rate = 150.0
	)
	for _, way := range []string{"discovery never failed", "saved list", "saved list, all trusted", "no list"} {
		s := newBenchDeployment(b)
		g := &testDiscovery{revision: 1, failing: way != "discovery never failed", workers: s.listed, changed: make(chan struct{})}
		discovery := httptest.NewServer(g)
		n := &testDispatcher{t: b, discovery: g, exited: make(chan struct{})}
		operator, config := "", func(c string) string {
			return strings.Replace(withoutKnownList(c), discoveryAddress(c), discovery.Listener.Addr().String(), 1)
		}
		switch way {
		case "saved list":
			dir := b.TempDir()
			writeModelList(b, dir, 2*time.Hour, s.cached)
			operator = savedListBlock(dir)
		case "saved list, all trusted":
			known := (&testDiscovery{revision: 1, workers: s.cached}).listJSON()
			config = func(c string) string {
				c = strings.Replace(withoutKnownList(c), discoveryAddress(c), discovery.Listener.Addr().String(), 1)
				return strings.Replace(c, `"settings"`, `"known":`+known+`,"settings"`, 1)
			}
		}
		n.start(operator, config)
		begin := time.Now()
		time.AfterFunc(down, func() { g.update(func() { g.failing = false }) })
		var mu sync.Mutex
		var wait sync.WaitGroup
		asked, good := map[int]int{}, map[int]int{} // by second
		first := time.Duration(0)
		for i := 0; ; i++ {
			at := time.Duration(float64(i) / rate * float64(time.Second))
			if at > span {
				break
			}
			time.Sleep(time.Until(begin.Add(at)))
			wait.Go(func() {
				status, _, _ := trySend(http.DefaultClient, newRequest(n.http1URL, fmt.Sprint(way, i)))
				took := time.Since(begin) - at
				mu.Lock()
				defer mu.Unlock()
				second := int(at / time.Second)
				asked[second]++
				if status == 200 && first == 0 {
					first = time.Since(begin)
				}
				if status == 200 && took < inTimeLimit {
					good[second]++
				}
			})
		}
		wait.Wait()
		part := func(from, to int) float64 {
			a, g := 0, 0
			for second := from; second < to; second++ {
				a, g = a+asked[second], g+good[second]
			}
			return float64(g) / float64(a)
		}
		most, none := 0.0, 0
		for _, m := range s.workers {
			if !m.startedAt.IsZero() {
				most = max(most, m.peakOverload)
			}
			if m.unlisted {
				none += m.received
			}
		}
		b.Logf("%-24s first answer after %8v; served in time: first 10 s %.3f, 5 to 20 s %.3f, 20 to 30 s %.3f; cold worker got %.2f times what it could (falls at %.0f); %d jobs to one that drained",
			way, first.Round(time.Millisecond), part(0, 10), part(5, 20), part(20, 30), most, modelOverloadMultiple, none)
		n.command.Process.Kill()
		discovery.CloseClientConnections()
	}
}

// BenchmarkPowerLoss: all workers and two dispatchers start at once, with lists of a minute ago. The most that any worker gets
// from both together must stay below what it falls over at.
func BenchmarkPowerLoss(b *testing.B) {
	for _, way := range []string{"saved list", "saved list, all trusted"} {
		var workers []*slowStartWorker
		var saved []*testWorker
		for i := range 8 {
			m := newSlowStartWorker(b, fmt.Sprint("worker-", i))
			m.startedAt = time.Now()
			workers, saved = append(workers, m), append(saved, m.testWorker)
		}
		var nodes []*testDispatcher
		for i := range 2 {
			n := &testDispatcher{t: b, discovery: &testDiscovery{revision: 1, workers: saved, changed: make(chan struct{})}, exited: make(chan struct{})}
			operator := ""
			dir := b.TempDir()
			if way == "saved list" {
				writeModelList(b, dir, time.Minute, saved)
				operator = savedListBlock(dir)
			}
			n.start(operator, func(c string) string {
				c = strings.Replace(c, `"replicasOfMe":1`, fmt.Sprintf(`"replicasOfMe":2,"ordinal":%d`, i), 1)
				if way == "saved list" {
					c = withoutKnownList(c)
				}
				return strings.Replace(c, discoveryAddress(c), "127.0.0.1:1", 1)
			})
			nodes = append(nodes, n)
		}
		var wait sync.WaitGroup
		var mu sync.Mutex
		served := 0
		begin := time.Now()
		for i := 0; i < 100*12; i++ { // 100 jobs/s for 12 s
			time.Sleep(time.Until(begin.Add(time.Duration(i) * 10 * time.Millisecond)))
			wait.Go(func() {
				if status, _, _ := trySend(http.DefaultClient, newRequest(nodes[i%2].http1URL, fmt.Sprint(way, i))); status == 200 {
					mu.Lock()
					defer mu.Unlock()
					served++
				}
			})
		}
		wait.Wait()
		most := 0.0
		for _, m := range workers {
			most = max(most, m.peakOverload)
		}
		b.Logf("%-24s %4d of 1200 served; the worker that got most got %.2f times what it could (falls at %.0f)", way, served, most, modelOverloadMultiple)
		for _, n := range nodes {
			n.command.Process.Kill()
		}
	}
}

// keepFor keeps a list that tells how long jobs take at the model's workers.
func writeModelList(b *testing.B, dir string, ago time.Duration, workers []*testWorker) {
	writeCachedList(b, dir, ago, func(s *endpointcache.CachedList) {
		c := s.Classes["price-part"]
		c.WorkScale, c.MeanLogRuntime = modelJobDuration.Seconds(), -2.3
		s.Classes["price-part"], s.MeanStay, s.MeanWork = c, modelJobDuration.Seconds(), modelJobDuration.Seconds()
	}, workers...)
}
