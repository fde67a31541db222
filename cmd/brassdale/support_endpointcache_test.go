package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sync"
	"testing"
	"time"

	"brassdale/internal/endpointcache"
	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// damagedLine matches the log line for a damaged file of the endpoint cache. Its fault contains "damaged".
var damagedLine = regexp.MustCompile(`msg="endpoint cache damaged" fault=.*damaged`)

// completeCachedJob completes a job in 20 ms, the mean runtime in the statistics of writeCachedList.
var completeCachedJob = completeAfter(20 * time.Millisecond)

// savedListBlock returns the block of an operator's file that enables the endpoint cache in this directory.
func savedListBlock(dir string) string {
	return fmt.Sprintf("saved_list {\n  directory = %q\n}\n", dir)
}

// writeCachedList writes a list of this age to an endpoint cache, in the format and place of dispatcher n0. The function change may
// be nil.
func writeCachedList(t testing.TB, dir string, age time.Duration, change func(*endpointcache.CachedList), workers ...*testWorker) {
	t.Helper()
	files, err := endpointcache.OpenOrCreate(dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	confirmedAt := time.Now().Add(-age)
	list := &endpointcache.CachedList{ConfirmedAtMS: confirmedAt.UnixMilli(), Revision: 40, Overcommit: 0.5, MeanAttemptDuration: 0.02, MeanWork: 0.02,
		Classes: map[string]scheduler.ClassStatistics{"price-part": {WorkScale: 0.02, MeanLogRuntime: -3.9, Jobs: 500}}} // jobs of 20 ms
	for _, worker := range workers {
		cell := 1
		fmt.Sscan(worker.cell, &cell)
		list.Members = append(list.Members, endpointcache.CachedMember{
			LastSignalMS: confirmedAt.UnixMilli(),
			Member: protocol.Member{ID: worker.id, HostPort: worker.listener.Addr().String(), Locality: "llanelli", Flavor: "new-worker",
				Cell: cell, Phase: worker.phase, Size: 1},
			Statistics: &scheduler.WorkerStatistics{Slots: 5, SlownessJobs: 50},
		})
	}
	if change != nil {
		change(list)
	}
	if err := endpointcache.NewStore(files, "n0").Snapshot(list); err != nil {
		t.Fatal(err)
	}
}

// startFromCache starts a dispatcher whose only endpoint list is the cached one. If discovery is nil, nothing listens at its address.
func startFromCache(t *testing.T, dir string, discovery http.Handler) *testDispatcher {
	t.Helper()
	dispatcher := newTestDispatcher(t, newTestDiscovery())
	dispatcher.start(savedListBlock(dir), func(config string) string {
		config = withoutKnownList(config)
		if discovery == nil {
			return withDiscoveryAddress(config, "127.0.0.1:1")
		}
		server := httptest.NewServer(discovery)
		t.Cleanup(server.CloseClientConnections)
		return withDiscoveryAddress(config, server.Listener.Addr().String())
	})
	return dispatcher
}

// waitUntilVerified sends rounds of concurrent requests, eight for each worker so that all get some, until all workers are verified to be
// the cached incarnations.
func (d *testDispatcher) waitUntilVerified(workers int) {
	d.t.Helper()
	round := 0
	d.waitFor("the verification of all workers", func() bool {
		round++
		var wait sync.WaitGroup
		for i := range 8 * workers {
			wait.Go(func() { trySend(http.DefaultClient, newRequest(d.http1URL, fmt.Sprint("proof-", round, "-", i))) })
		}
		wait.Wait()
		return d.metric("boxes_proven") == workers
	})
}

// startWhileDiscoveryFails starts a dispatcher from the endpoint cache while discovery answers 503, and waits until all workers are
// verified. The returned function restore makes discovery answer with a list of the given revision and workers.
func startWhileDiscoveryFails(t *testing.T, workers ...*testWorker) (dispatcher *testDispatcher, restore func(revision int, listed ...*testWorker)) {
	t.Helper()
	dir := t.TempDir()
	writeCachedList(t, dir, time.Hour, nil, workers...)
	discovery := newTestDiscovery()
	discovery.failing = true
	dispatcher = startFromCache(t, dir, discovery)
	dispatcher.discovery = discovery
	dispatcher.waitUntilVerified(len(workers))
	return dispatcher, func(revision int, listed ...*testWorker) {
		discovery.update(func() { discovery.failing, discovery.workers, discovery.revision = false, listed, revision-1 })
	}
}
