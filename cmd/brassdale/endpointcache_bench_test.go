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
type modelWorker struct {
	*testWorker
	startedAt time.Time // zero for long ago

	mu           sync.Mutex
	receivedAt   []time.Time
	peakOverload float64 // work of any modelFall, as a multiple of what it could do in it; above modelTip it would fall over
	unlisted     bool    // it should get nothing: it is out of the list
	received     int     // that it got all the same
}

func (w *modelWorker) capacityShare(now time.Time) float64 {
	if w.startedAt.IsZero() {
		return 1
	}
	return min(modelStartCapacity+(1-modelStartCapacity)*float64(now.Sub(w.startedAt))/float64(modelSlowStart), 1)
}

func newModelWorker(b *testing.B, id string) *modelWorker {
	model := &modelWorker{}
	slots := make(chan struct{}, modelSlots)
	model.testWorker = startWorker(b, id, func(worker *testWorker, conn net.Conn, r *http.Request) {
		now := time.Now()
		model.mu.Lock()
		model.received++
		model.receivedAt = append(model.receivedAt, now)
		for now.Sub(model.receivedAt[0]) > modelOverloadWindow {
			model.receivedAt = model.receivedAt[1:]
		}
		w := model.capacityShare(now)
		work := float64(len(model.receivedAt)) * modelJobDuration.Seconds()
		model.peakOverload = max(model.peakOverload, work/(modelSlots*w*modelOverloadWindow.Seconds()))
		model.mu.Unlock()
		slots <- struct{}{}
		defer func() { <-slots }()
		if connectionClosed(conn) {
			return
		}
		completeAfter(time.Duration(float64(modelJobDuration)/w))(worker, conn, r)
	})
	return model
}

// works is the site of the measurement: 12 workers on the saved list, of which 3 are missing, 2 silent, 1 drained and 1 has
// been started anew a moment ago.
type benchDeployment struct {
	workers []*modelWorker
	listed  []*testWorker // what discovery would say
	cached  []*testWorker
}

func newBenchDeployment(b *testing.B) *benchDeployment {
	deployment := &benchDeployment{}
	for i := range 12 {
		id := fmt.Sprint("worker-", i)
		switch {
		case i < 5:
			model := newModelWorker(b, id)
			deployment.workers, deployment.listed, deployment.cached = append(deployment.workers, model), append(deployment.listed, model.testWorker), append(deployment.cached, model.testWorker)
		case i == 5: // reused
			model := newModelWorker(b, id)
			model.startedAt = time.Now()
			model.startedAtMS = model.startedAt.UnixMilli()
			deployment.workers, deployment.listed = append(deployment.workers, model), append(deployment.listed, model.testWorker)
			old := &testWorker{id: id, cell: "1", phase: "active", listener: model.listener}
			deployment.cached = append(deployment.cached, old)
		case i == 6: // drained since
			model := newModelWorker(b, id)
			model.unlisted = true
			deployment.workers, deployment.cached = append(deployment.workers, model), append(deployment.cached, model.testWorker)
		case i < 9: // silent: its process takes connections and no more
			listener := must(net.Listen("tcp", "127.0.0.1:0"))
			b.Cleanup(func() { listener.Close() })
			go func() {
				for {
					if _, err := listener.Accept(); err != nil {
						return
					}
				}
			}()
			worker := &testWorker{id: id, cell: "1", phase: "active", listener: listener}
			deployment.listed, deployment.cached = append(deployment.listed, worker), append(deployment.cached, worker)
		default: // missing
			listener := must(net.Listen("tcp", "127.0.0.1:0"))
			listener.Close()
			deployment.cached = append(deployment.cached, &testWorker{id: id, cell: "1", phase: "active", listener: listener})
		}
	}
	return deployment
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
		deployment := newBenchDeployment(b)
		discovery := &testDiscovery{revision: 1, failing: way != "discovery never failed", workers: deployment.listed, changed: make(chan struct{})}
		server := httptest.NewServer(discovery)
		dispatcher := newTestDispatcher(b, discovery)
		operator, config := "", func(config string) string {
			return strings.Replace(withoutKnownList(config), discoveryAddress(config), server.Listener.Addr().String(), 1)
		}
		switch way {
		case "saved list":
			dir := b.TempDir()
			writeModelList(b, dir, 2*time.Hour, deployment.cached)
			operator = savedListBlock(dir)
		case "saved list, all trusted":
			known := (&testDiscovery{revision: 1, workers: deployment.cached}).listJSON()
			config = func(config string) string {
				config = strings.Replace(withoutKnownList(config), discoveryAddress(config), server.Listener.Addr().String(), 1)
				return strings.Replace(config, `"settings"`, `"known":`+known+`,"settings"`, 1)
			}
		}
		dispatcher.start(operator, config)
		begin := time.Now()
		time.AfterFunc(down, func() { discovery.update(func() { discovery.failing = false }) })
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
				status, _, _ := trySend(http.DefaultClient, newRequest(dispatcher.http1URL, fmt.Sprint(way, i)))
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
		for _, model := range deployment.workers {
			if !model.startedAt.IsZero() {
				most = max(most, model.peakOverload)
			}
			if model.unlisted {
				none += model.received
			}
		}
		b.Logf("%-24s first answer after %8v; served in time: first 10 s %.3f, 5 to 20 s %.3f, 20 to 30 s %.3f; cold worker got %.2f times what it could (falls at %.0f); %d jobs to one that drained",
			way, first.Round(time.Millisecond), part(0, 10), part(5, 20), part(20, 30), most, modelOverloadMultiple, none)
		dispatcher.kill()
		server.CloseClientConnections()
	}
}

// BenchmarkPowerLoss: all workers and two dispatchers start at once, with lists of a minute ago. The most that any worker gets
// from both together must stay below what it falls over at.
func BenchmarkPowerLoss(b *testing.B) {
	for _, way := range []string{"saved list", "saved list, all trusted"} {
		var workers []*modelWorker
		var saved []*testWorker
		for i := range 8 {
			model := newModelWorker(b, fmt.Sprint("worker-", i))
			model.startedAt = time.Now()
			workers, saved = append(workers, model), append(saved, model.testWorker)
		}
		var nodes []*testDispatcher
		for i := range 2 {
			dispatcher := newTestDispatcher(b, newTestDiscovery(saved...))
			operator := ""
			dir := b.TempDir()
			if way == "saved list" {
				writeModelList(b, dir, time.Minute, saved)
				operator = savedListBlock(dir)
			}
			dispatcher.start(operator, func(config string) string {
				config = strings.Replace(config, `"replicasOfMe":1`, fmt.Sprintf(`"replicasOfMe":2,"ordinal":%d`, i), 1)
				if way == "saved list" {
					config = withoutKnownList(config)
				}
				return strings.Replace(config, discoveryAddress(config), "127.0.0.1:1", 1)
			})
			nodes = append(nodes, dispatcher)
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
		for _, model := range workers {
			most = max(most, model.peakOverload)
		}
		b.Logf("%-24s %4d of 1200 served; the worker that got most got %.2f times what it could (falls at %.0f)", way, served, most, modelOverloadMultiple)
		for _, dispatcher := range nodes {
			dispatcher.kill()
		}
	}
}

// keepFor keeps a list that tells how long jobs take at the model's workers.
func writeModelList(b *testing.B, dir string, ago time.Duration, workers []*testWorker) {
	writeCachedList(b, dir, ago, func(list *endpointcache.CachedList) {
		class := list.Classes["price-part"]
		class.WorkScale, class.MeanLogRuntime = modelJobDuration.Seconds(), -2.3
		list.Classes["price-part"], list.MeanStay, list.MeanWork = class, modelJobDuration.Seconds(), modelJobDuration.Seconds()
	}, workers...)
}
