package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// changingList is a discovery service that answers with changes only. At each change one worker starts to drain, and the worker that
// drained before is active again.
type changingList struct {
	mu        sync.Mutex
	workers   []*testWorker
	changedAt []int // by worker: the revision of its last change
	phases    []string
	revision  int
	bytes     atomic.Int64  // sent in answers
	updated   chan struct{} // closed and replaced at each change
}

// memberJSON returns the line of a worker in the list. The caller holds l.mu.
func (l *changingList) memberJSON(index int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"llanelli","flavor":"new-worker","cell":1,"phase":%q,"size":1.0,"up_since_ms":0}`,
		l.workers[index].id, l.workers[index].listener.Addr(), l.phases[index])
}

// listJSON returns the lines that have changed after a revision; the complete list if the parameter after is -1. The caller holds l.mu.
func (l *changingList) listJSON(after int) string {
	var lines []string
	for i := range l.workers {
		if after < 0 || l.changedAt[i] > after {
			lines = append(lines, l.memberJSON(i))
		}
	}
	return listAnswer(l.revision, after < 0, strings.Join(lines, ","))
}

// ServeHTTP answers a call when the list is newer than the caller's, or when the call's wait time is over.
func (l *changingList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := readPoll(r)
	after := call.index
	if !call.hasList {
		after = -1
	}
	l.mu.Lock()
	newer, updated := l.revision > after, l.updated
	l.mu.Unlock()
	if !newer {
		select {
		case <-updated:
		case <-time.After(call.wait):
		case <-r.Context().Done():
			return
		}
	}
	l.mu.Lock()
	text := l.listJSON(after)
	l.mu.Unlock()
	l.bytes.Add(int64(len(text)))
	fmt.Fprint(w, text)
}

// drainNext lists the next worker as draining and the one before as active.
func (l *changingList) drainNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	count := len(l.workers)
	for i, phase := range map[int]string{l.revision % count: "leaving", (l.revision - 1) % count: "active"} {
		l.phases[i], l.changedAt[i] = phase, l.revision
	}
	close(l.updated)
	l.updated = make(chan struct{})
}

// BenchmarkGrowth measures the costs of one dispatcher at 200, 800 and 3,200 workers with the same traffic: processor time and peak memory
// of its process, descriptors, connections to workers, and bytes of lists.
func BenchmarkGrowth(b *testing.B) {
	for _, size := range []struct{ workers, dispatchers int }{{200, 300}, {800, 900}, {3200, 900}} {
		b.Run(fmt.Sprintf("workers-%d", size.workers), func(b *testing.B) {
			for b.Loop() {
				measureGrowth(b, size.workers, size.dispatchers)
			}
		})
	}
}

const (
	growthDuration          = 20 * time.Second
	growthRequestsPerSecond = 20
)

// startInLargeDeployment starts discovery and one dispatcher of a deployment with these numbers of workers and dispatchers.
func startInLargeDeployment(b *testing.B, workers, dispatchers int) (*testDispatcher, *changingList) {
	b.Helper()
	list := &changingList{updated: make(chan struct{}), changedAt: make([]int, workers), phases: make([]string, workers)}
	for i := range workers {
		list.workers, list.phases[i] = append(list.workers, startWorker(b, fmt.Sprintf("w%04d", i), completeJob)), "active"
	}
	server := httptest.NewServer(list)
	b.Cleanup(server.Close)
	b.Cleanup(server.CloseClientConnections)
	list.mu.Lock()
	known := list.listJSON(-1)
	list.mu.Unlock()
	dispatcher := startWithConfig(b, fmt.Sprintf(`{"name":"n7","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		server.Listener.Addr(), known, strings.Replace(settingsJSON, `"replicasOfMe":1`, fmt.Sprintf(`"ordinal":7,"replicasOfMe":%d`, dispatchers), 1)))
	return dispatcher, list
}

// measureGrowth sends requests and changes the list once a second, and reports the costs of the process.
func measureGrowth(b *testing.B, workers, dispatchers int) {
	b.Helper()
	dispatcher, list := startInLargeDeployment(b, workers, dispatchers)
	served, peakDescriptors := atomic.Int64{}, 0
	var requests sync.WaitGroup
	for i, end := 0, time.Now().Add(growthDuration); time.Now().Before(end); i++ {
		time.Sleep(time.Second / growthRequestsPerSecond)
		if i%growthRequestsPerSecond == 0 {
			list.drainNext()
			if descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", dispatcher.command.Process.Pid)); err == nil {
				peakDescriptors = max(peakDescriptors, len(descriptors))
			}
		}
		requests.Go(func() {
			if status, _, _ := dispatcher.sendKey(fmt.Sprintf("g%d", i), "Cookie", fmt.Sprintf("user=%016x", i%50)); status == 200 {
				served.Add(1)
			}
		})
	}
	requests.Wait()
	processorTime, peakMemory := processCost(dispatcher.command.Process.Pid)
	connections := 0
	for _, worker := range list.workers {
		connections += worker.connectionCount()
	}
	b.ReportMetric(processorTime.Seconds(), "cpu-s")
	b.ReportMetric(float64(peakMemory)/(1<<20), "peak-MB")
	b.ReportMetric(float64(peakDescriptors), "descriptors")
	b.ReportMetric(float64(connections), "connections")
	b.ReportMetric(float64(list.bytes.Load())/1024, "list-KB")
	b.ReportMetric(float64(served.Load()), "served")
	dispatcher.kill()
}

// processCost returns the processor time of a process so far, and its peak memory in bytes.
func processCost(pid int) (processorTime time.Duration, peakMemory int64) {
	const ticksPerSecond = 100
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		processorTime = time.Duration(user+system) * time.Second / ticksPerSecond
	}
	return processorTime, processMemory(pid, "VmHWM")
}
