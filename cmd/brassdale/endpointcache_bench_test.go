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
	modelJob   = 100 * time.Millisecond // at a warm worker
	modelSlots = 5
	modelCold  = 24 * time.Second
	modelStart = 0.14
	modelTip   = 3.0 // times what it can do ...
	modelFall  = 1500 * time.Millisecond
)

// model is a worker that is cold after its start: its jobs take longer, and it notes how much it is sent.
type model struct {
	*worker
	started time.Time // zero for long ago

	mu   sync.Mutex
	sent []time.Time
	most float64 // work of any modelFall, as a multiple of what it could do in it; above modelTip it would fall over
	none bool    // it should get nothing: it is out of the list
	jobs int     // that it got all the same
}

func (m *model) warmth(now time.Time) float64 {
	if m.started.IsZero() {
		return 1
	}
	return min(modelStart+(1-modelStart)*float64(now.Sub(m.started))/float64(modelCold), 1)
}

func newModel(b *testing.B, id string) *model {
	m := &model{}
	slots := make(chan struct{}, modelSlots)
	m.worker = newWorker(b, id, func(x *worker, c net.Conn, r *http.Request) {
		now := time.Now()
		m.mu.Lock()
		m.jobs++
		m.sent = append(m.sent, now)
		for now.Sub(m.sent[0]) > modelFall {
			m.sent = m.sent[1:]
		}
		w := m.warmth(now)
		work := float64(len(m.sent)) * modelJob.Seconds()
		m.most = max(m.most, work/(modelSlots*w*modelFall.Seconds()))
		m.mu.Unlock()
		slots <- struct{}{}
		defer func() { <-slots }()
		if gone(c) {
			return
		}
		takes(time.Duration(float64(modelJob)/w))(x, c, r)
	})
	return m
}

// works is the site of the measurement: 12 workers on the saved list, of which 3 are missing, 2 silent, 1 drained and 1 has
// been started anew a moment ago.
type site struct {
	workers []*model
	listed  []*worker // what discovery would say
	saved   []*worker
}

func newSite(b *testing.B) *site {
	s := &site{}
	for i := range 12 {
		id := fmt.Sprint("worker-", i)
		switch {
		case i < 5:
			m := newModel(b, id)
			s.workers, s.listed, s.saved = append(s.workers, m), append(s.listed, m.worker), append(s.saved, m.worker)
		case i == 5: // reused
			m := newModel(b, id)
			m.started = time.Now()
			m.since = m.started.UnixMilli()
			s.workers, s.listed = append(s.workers, m), append(s.listed, m.worker)
			old := &worker{id: id, cell: "1", phase: "active", ln: m.ln}
			s.saved = append(s.saved, old)
		case i == 6: // drained since
			m := newModel(b, id)
			m.none = true
			s.workers, s.saved = append(s.workers, m), append(s.saved, m.worker)
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
			x := &worker{id: id, cell: "1", phase: "active", ln: ln}
			s.listed, s.saved = append(s.listed, x), append(s.saved, x)
		default: // missing
			ln := must(net.Listen("tcp", "127.0.0.1:0"))
			ln.Close()
			s.saved = append(s.saved, &worker{id: id, cell: "1", phase: "active", ln: ln})
		}
	}
	return s
}

// BenchmarkSavedList: a busy site whose discovery is down for the first 20 s, in four ways. What is a share is of all
// jobs that were asked for in that time.
func BenchmarkSavedList(b *testing.B) {
	const (
		down = 20 * time.Second
		span = 30 * time.Second
		rate = 150.0
	)
	for _, way := range []string{"discovery never failed", "saved list", "saved list, all trusted", "no list"} {
		s := newSite(b)
		g := &registry{revision: 1, fail: way != "discovery never failed", workers: s.listed, changed: make(chan struct{})}
		discovery := httptest.NewServer(g)
		n := &node{t: b, registry: g, exited: make(chan struct{})}
		operator, config := "", func(c string) string {
			return strings.Replace(noKnown(c), discoveryOf(c), discovery.Listener.Addr().String(), 1)
		}
		switch way {
		case "saved list":
			dir := b.TempDir()
			keepFor(b, dir, 2*time.Hour, s.saved)
			operator = savedBlock(dir)
		case "saved list, all trusted":
			known := (&registry{revision: 1, workers: s.saved}).list()
			config = func(c string) string {
				c = strings.Replace(noKnown(c), discoveryOf(c), discovery.Listener.Addr().String(), 1)
				return strings.Replace(c, `"settings"`, `"known":`+known+`,"settings"`, 1)
			}
		}
		n.startHere(operator, config)
		begin := time.Now()
		time.AfterFunc(down, func() { g.set(func() { g.fail = false }) })
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
				status, _, _ := ask(http.DefaultClient, request(n.url, fmt.Sprint(way, i)))
				took := time.Since(begin) - at
				mu.Lock()
				defer mu.Unlock()
				second := int(at / time.Second)
				asked[second]++
				if status == 200 && first == 0 {
					first = time.Since(begin)
				}
				if status == 200 && took < goodWithin {
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
			if !m.started.IsZero() {
				most = max(most, m.most)
			}
			if m.none {
				none += m.jobs
			}
		}
		b.Logf("%-24s first answer after %8v; served in time: first 10 s %.3f, 5 to 20 s %.3f, 20 to 30 s %.3f; cold worker got %.2f times what it could (falls at %.0f); %d jobs to one that drained",
			way, first.Round(time.Millisecond), part(0, 10), part(5, 20), part(20, 30), most, modelTip, none)
		n.cmd.Process.Kill()
		discovery.CloseClientConnections()
	}
}

// BenchmarkPowerLoss: all workers and two dispatchers start at once, with lists of a minute ago. The most that any worker gets
// from both together must stay below what it falls over at.
func BenchmarkPowerLoss(b *testing.B) {
	for _, way := range []string{"saved list", "saved list, all trusted"} {
		var workers []*model
		var saved []*worker
		for i := range 8 {
			m := newModel(b, fmt.Sprint("worker-", i))
			m.started = time.Now()
			workers, saved = append(workers, m), append(saved, m.worker)
		}
		var nodes []*node
		for i := range 2 {
			n := &node{t: b, registry: &registry{revision: 1, workers: saved, changed: make(chan struct{})}, exited: make(chan struct{})}
			operator := ""
			dir := b.TempDir()
			if way == "saved list" {
				keepFor(b, dir, time.Minute, saved)
				operator = savedBlock(dir)
			}
			n.startHere(operator, func(c string) string {
				c = strings.Replace(c, `"replicasOfMe":1`, fmt.Sprintf(`"replicasOfMe":2,"ordinal":%d`, i), 1)
				if way == "saved list" {
					c = noKnown(c)
				}
				return strings.Replace(c, discoveryOf(c), "127.0.0.1:1", 1)
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
				if status, _, _ := ask(http.DefaultClient, request(nodes[i%2].url, fmt.Sprint(way, i))); status == 200 {
					mu.Lock()
					defer mu.Unlock()
					served++
				}
			})
		}
		wait.Wait()
		most := 0.0
		for _, m := range workers {
			most = max(most, m.most)
		}
		b.Logf("%-24s %4d of 1200 served; the worker that got most got %.2f times what it could (falls at %.0f)", way, served, most, modelTip)
		for _, n := range nodes {
			n.cmd.Process.Kill()
		}
	}
}

// keepFor keeps a list that tells how long jobs take at the model's workers.
func keepFor(b *testing.B, dir string, ago time.Duration, workers []*worker) {
	keep(b, dir, ago, func(s *endpointcache.CachedList) {
		c := s.Classes["price-part"]
		c.WorkScale, c.MeanLogRuntime = modelJob.Seconds(), -2.3
		s.Classes["price-part"], s.MeanStay, s.MeanWork = c, modelJob.Seconds(), modelJob.Seconds()
	}, workers...)
}
