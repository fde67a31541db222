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
	modelJobDuration      = 100 * time.Millisecond // at a worker with its full capacity
	modelSlots            = 5
	modelSlowStart        = 24 * time.Second
	modelStartCapacity    = 0.14
	modelOverloadMultiple = 3.0 // a warming worker is overloaded if it gets more than this multiple of its capacity in modelOverloadWindow
	modelOverloadWindow   = 1500 * time.Millisecond
)

// modelWorker is a worker with a slow start: its jobs take longer at first, and it records how much work it receives.
type modelWorker struct {
	*testWorker
	startedAt time.Time // zero for a start long ago
	unlisted  bool      // it has left the list and should receive nothing

	mu         sync.Mutex
	receivedAt []time.Time // within the last modelOverloadWindow
	peakLoad   float64     // the most work received in modelOverloadWindow, as a multiple of its capacity
	received   int
}

// newModelWorker starts a worker; its slow start begins when startedAt is set.
func newModelWorker(b *testing.B, id string) *modelWorker {
	b.Helper()
	model := &modelWorker{}
	slots := make(chan struct{}, modelSlots)
	model.testWorker = startWorker(b, id, func(worker *testWorker, conn net.Conn, r *http.Request) {
		capacity := model.record(time.Now())
		slots <- struct{}{}
		defer func() { <-slots }()
		if connectionClosed(conn) {
			return
		}
		completeAfter(time.Duration(float64(modelJobDuration)/capacity))(worker, conn, r)
	})
	return model
}

// record records a job and returns the share of its capacity that the worker has.
func (w *modelWorker) record(now time.Time) (capacity float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received++
	w.receivedAt = append(w.receivedAt, now)
	for now.Sub(w.receivedAt[0]) > modelOverloadWindow {
		w.receivedAt = w.receivedAt[1:]
	}
	capacity = 1
	if !w.startedAt.IsZero() {
		warmed := float64(now.Sub(w.startedAt)) / float64(modelSlowStart)
		capacity = min(modelStartCapacity+(1-modelStartCapacity)*warmed, 1)
	}
	work := float64(len(w.receivedAt)) * modelJobDuration.Seconds()
	w.peakLoad = max(w.peakLoad, work/(modelSlots*capacity*modelOverloadWindow.Seconds()))
	return capacity
}

// benchDeployment is a deployment whose cached list has 12 workers: 3 are gone, 2 silent, 1 has drained and 1 has just restarted.
type benchDeployment struct {
	workers []*modelWorker
	listed  []*testWorker // workers that discovery lists
	cached  []*testWorker
}

// newBenchDeployment returns a deployment and starts its workers except the workers that are gone.
func newBenchDeployment(b *testing.B) *benchDeployment {
	b.Helper()
	deployment := &benchDeployment{}
	for i := range 12 {
		id := fmt.Sprint("worker-", i)
		switch {
		case i < 5:
			model := deployment.addWorker(b, id)
			deployment.listed, deployment.cached = append(deployment.listed, model.testWorker), append(deployment.cached, model.testWorker)
		case i == 5: // restarted
			model := deployment.addWorker(b, id)
			model.startedAt = time.Now()
			model.startedAtMS = model.startedAt.UnixMilli()
			deployment.listed = append(deployment.listed, model.testWorker)
			deployment.cached = append(deployment.cached, listedWorker(id, model.listener))
		case i == 6: // drained
			model := deployment.addWorker(b, id)
			model.unlisted = true
			deployment.cached = append(deployment.cached, model.testWorker)
		case i < 9: // silent: connections are accepted and not answered
			listener := must(net.Listen("tcp", "127.0.0.1:0"))
			b.Cleanup(func() { listener.Close() })
			go acceptAll(listener)
			silent := listedWorker(id, listener)
			deployment.listed, deployment.cached = append(deployment.listed, silent), append(deployment.cached, silent)
		default: // gone
			listener := must(net.Listen("tcp", "127.0.0.1:0"))
			listener.Close()
			deployment.cached = append(deployment.cached, listedWorker(id, listener))
		}
	}
	return deployment
}

// addWorker starts a worker that records its load.
func (d *benchDeployment) addWorker(b *testing.B, id string) *modelWorker {
	b.Helper()
	model := newModelWorker(b, id)
	d.workers = append(d.workers, model)
	return model
}

// loads returns the highest load of a warming worker, and the number of jobs that reached unlisted workers.
func (d *benchDeployment) loads() (peak float64, atUnlisted int) {
	for _, model := range d.workers {
		if !model.startedAt.IsZero() {
			peak = max(peak, model.peakLoad)
		}
		if model.unlisted {
			atUnlisted += model.received
		}
	}
	return peak, atUnlisted
}

// acceptAll accepts connections until the listener is closed.
func acceptAll(listener net.Listener) {
	for {
		if _, err := listener.Accept(); err != nil {
			return
		}
	}
}

// servedBySecond counts requests by the second in which they were due.
type servedBySecond struct {
	mu           sync.Mutex
	sent, inTime map[int]int
	firstServed  time.Duration // from the start to the first served request; 0 if there is none
}

// share returns the share of the requests of some seconds that were served in time.
func (s *servedBySecond) share(from, to int) float64 {
	sent, inTime := 0, 0
	for second := from; second < to; second++ {
		sent, inTime = sent+s.sent[second], inTime+s.inTime[second]
	}
	return float64(inTime) / float64(sent)
}

// BenchmarkEndpointCache measures a busy deployment whose discovery fails for the first 20 s, with the endpoint cache and without.
func BenchmarkEndpointCache(b *testing.B) {
	for _, variant := range []string{"discovery never failed", "saved list", "saved list, all trusted", "no list"} {
		measureOutage(b, variant)
	}
}

// measureOutage logs the share of all due requests that were served in time.
func measureOutage(b *testing.B, variant string) {
	b.Helper()
	const (
		outage   = 20 * time.Second
		duration = 30 * time.Second
		rate     = 150.0 // requests per second
	)
	deployment := newBenchDeployment(b)
	dispatcher, server := startInOutage(b, variant, deployment)
	discovery := dispatcher.discovery
	beganAt := time.Now()
	time.AfterFunc(outage, func() { discovery.update(func() { discovery.failing = false }) })
	var schedule []time.Duration
	for due := time.Duration(0); due <= duration; due = time.Duration(float64(len(schedule)) / rate * float64(time.Second)) {
		schedule = append(schedule, due)
	}
	counts := &servedBySecond{sent: map[int]int{}, inTime: map[int]int{}}
	sendOnSchedule(schedule, func(index int, due time.Time) {
		status, _, _ := trySend(http.DefaultClient, newRequest(dispatcher.http1URL, fmt.Sprint(variant, index)))
		took := time.Since(due)
		counts.mu.Lock()
		defer counts.mu.Unlock()
		second := int(schedule[index] / time.Second)
		counts.sent[second]++
		if status == 200 && counts.firstServed == 0 {
			counts.firstServed = time.Since(beganAt)
		}
		if status == 200 && took < inTimeLimit {
			counts.inTime[second]++
		}
	})
	peak, atUnlisted := deployment.loads()
	b.Logf("%-24s first served after %8v; served in time: first 10 s %.3f, 5 to 20 s %.3f, 20 to 30 s %.3f; warming worker got %.2f times its capacity (overload at %.0f); %d jobs at a drained one",
		variant, counts.firstServed.Round(time.Millisecond), counts.share(0, 10), counts.share(5, 20), counts.share(20, 30), peak, modelOverloadMultiple, atUnlisted)
	dispatcher.kill()
	server.CloseClientConnections()
}

// startInOutage starts a dispatcher and its discovery, which fails except in the variant "discovery never failed".
func startInOutage(b *testing.B, variant string, deployment *benchDeployment) (*testDispatcher, *httptest.Server) {
	b.Helper()
	discovery := newTestDiscovery(deployment.listed...)
	discovery.failing = variant != "discovery never failed"
	server := httptest.NewServer(discovery)
	dispatcher := newTestDispatcher(b, discovery)
	operator, known := "", ""
	switch variant {
	case "saved list":
		dir := b.TempDir()
		writeModelList(b, dir, 2*time.Hour, deployment.cached)
		operator = savedListBlock(dir)
	case "saved list, all trusted":
		known = `"known":` + newTestDiscovery(deployment.cached...).listJSON() + `,`
	}
	dispatcher.start(operator, func(config string) string {
		config = withDiscoveryAddress(withoutKnownList(config), server.Listener.Addr().String())
		return strings.Replace(config, `"settings"`, known+`"settings"`, 1)
	})
	return dispatcher, server
}

// BenchmarkPowerLoss measures how much work each worker gets if all workers and two dispatchers start at once, with endpoint lists that
// are one minute old. The highest load of a worker, from both dispatchers together, must stay below modelOverloadMultiple.
func BenchmarkPowerLoss(b *testing.B) {
	for _, variant := range []string{"saved list", "saved list, all trusted"} {
		measurePowerLoss(b, variant)
	}
}

// measurePowerLoss logs the highest load of a worker, and the number of served requests.
func measurePowerLoss(b *testing.B, variant string) {
	b.Helper()
	var deployment benchDeployment
	for i := range 8 {
		model := deployment.addWorker(b, fmt.Sprint("worker-", i))
		model.startedAt = time.Now()
		deployment.cached = append(deployment.cached, model.testWorker)
	}
	var dispatchers []*testDispatcher
	for i := range 2 {
		dispatcher := newTestDispatcher(b, newTestDiscovery(deployment.cached...))
		operator := ""
		if variant == "saved list" {
			dir := b.TempDir()
			writeModelList(b, dir, time.Minute, deployment.cached)
			operator = savedListBlock(dir)
		}
		dispatcher.start(operator, func(config string) string {
			config = withSetting(`"replicasOfMe":1`, fmt.Sprintf(`"replicasOfMe":2,"ordinal":%d`, i))(config)
			if variant == "saved list" {
				config = withoutKnownList(config)
			}
			return withDiscoveryAddress(config, "127.0.0.1:1")
		})
		dispatchers = append(dispatchers, dispatcher)
	}
	const requests, interval = 1200, 10 * time.Millisecond
	var schedule []time.Duration
	for i := range requests {
		schedule = append(schedule, time.Duration(i)*interval)
	}
	var mu sync.Mutex
	served := 0
	sendOnSchedule(schedule, func(index int, _ time.Time) {
		if status, _, _ := trySend(http.DefaultClient, newRequest(dispatchers[index%2].http1URL, fmt.Sprint(variant, index))); status == 200 {
			mu.Lock()
			defer mu.Unlock()
			served++
		}
	})
	peak, _ := deployment.loads()
	b.Logf("%-24s %4d of %d served; the highest load of a worker was %.2f times its capacity (overload at %.0f)", variant, served, requests, peak, modelOverloadMultiple)
	for _, dispatcher := range dispatchers {
		dispatcher.kill()
	}
}

// writeModelList writes a cached list whose statistics match the job duration of model workers.
func writeModelList(b *testing.B, dir string, age time.Duration, workers []*testWorker) {
	b.Helper()
	writeCachedList(b, dir, age, func(list *endpointcache.CachedList) {
		class := list.Classes["price-part"]
		class.WorkScale, class.MeanLogRuntime = modelJobDuration.Seconds(), -2.3
		list.Classes["price-part"], list.MeanAttemptDuration, list.MeanWork = class, modelJobDuration.Seconds(), modelJobDuration.Seconds()
	}, workers...)
}
