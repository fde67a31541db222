package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"brassdale/internal/endpointcache"
	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// damagedLine is the log line about a damaged file of the endpoint cache, whose fault says so.
var damagedLine = regexp.MustCompile(`msg="endpoint cache damaged" fault=.*damaged`)

func savedListBlock(dir string) string {
	return fmt.Sprintf("saved_list {\n  directory = %q\n}\n", dir)
}

// keep puts a list into a folder as a dispatcher would have left it, so long ago.
func writeCachedList(t testing.TB, dir string, ago time.Duration, change func(*endpointcache.CachedList), workers ...*testWorker) {
	t.Helper()
	files, err := endpointcache.OpenOrCreate(dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	made := time.Now().Add(-ago)
	list := &endpointcache.CachedList{ConfirmedAtMS: made.UnixMilli(), Revision: 40, Overcommit: 0.5, MeanStay: 0.02, MeanWork: 0.02,
		Classes: map[string]scheduler.ClassStatistics{"price-part": {WorkScale: 0.02, MeanLogRuntime: -3.9, Jobs: 500}}} // jobs of 20 ms
	for _, worker := range workers {
		cell := 1
		fmt.Sscan(worker.cell, &cell)
		list.Members = append(list.Members, endpointcache.CachedMember{LastSignalMS: made.UnixMilli(), Member: protocol.Member{ID: worker.id, HostPort: worker.listener.Addr().String(),
			Locality: "llanelli", Flavor: "new-worker", Cell: cell, Phase: worker.phase, Size: 1}, Statistics: &scheduler.WorkerStatistics{Slots: 5, SlownessJobs: 50}})
	}
	if change != nil {
		change(list)
	}
	if err := endpointcache.NewStore(files, "n0").Snapshot(list); err != nil {
		t.Fatal(err)
	}
}

// alone starts the program with no list but the saved one. discovery answers as the handler does; nil for nobody there.
func startFromCache(t *testing.T, dir string, discovery http.Handler) *testDispatcher {
	t.Helper()
	dispatcher := &testDispatcher{t: t, discovery: &testDiscovery{revision: 1, changed: make(chan struct{})}, exited: make(chan struct{})}
	dispatcher.start(savedListBlock(dir), func(config string) string {
		config = withoutKnownList(config)
		if discovery == nil {
			return strings.Replace(config, discoveryAddress(config), "127.0.0.1:1", 1)
		}
		server := httptest.NewServer(discovery)
		t.Cleanup(server.CloseClientConnections)
		return strings.Replace(config, discoveryAddress(config), server.Listener.Addr().String(), 1)
	})
	return dispatcher
}

// warm sends so many jobs at a time that each worker gets some, until all are proven.
func (d *testDispatcher) warmUp(workers int) {
	d.t.Helper()
	round := 0
	d.waitFor("all to be proven", func() bool {
		round++
		var wait sync.WaitGroup
		for i := range 8 * workers {
			wait.Go(func() { trySend(http.DefaultClient, newRequest(d.http1URL, fmt.Sprint("warm-", round, "-", i))) })
		}
		wait.Wait()
		return d.metric("boxes_proven") == workers
	})
}

// returning starts on a saved list with discovery down, has all workers proven, and gives what brings discovery back.
func startWhileDiscoveryFails(t *testing.T, workers ...*testWorker) (dispatcher *testDispatcher, back func(revision int, listed ...*testWorker)) {
	dir := t.TempDir()
	writeCachedList(t, dir, time.Hour, nil, workers...)
	discovery := &testDiscovery{revision: 1, failing: true, changed: make(chan struct{})}
	dispatcher = startFromCache(t, dir, discovery)
	dispatcher.discovery = discovery
	dispatcher.warmUp(len(workers))
	return dispatcher, func(revision int, listed ...*testWorker) {
		discovery.update(func() { discovery.failing, discovery.workers, discovery.revision = false, listed, revision-1 })
	}
}
