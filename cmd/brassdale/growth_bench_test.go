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

// changingList is a discovery that tells changes: each second one worker of a list drains, and one comes back.
type changingList struct {
	mu        sync.Mutex
	workers   []*testWorker
	changedAt []int // by worker: the revision of its last change
	phases    []string
	revision  int
	bytes     atomic.Int64
	updated   chan struct{}
}

func (l *changingList) memberJSON(i int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"llanelli","flavor":"new-worker","cell":1,"phase":%q,"size":1.0,"up_since_ms":0}`,
		l.workers[i].id, l.workers[i].listener.Addr(), l.phases[i])
}

// list words what is newer than a revision; c.mu is held.
func (l *changingList) listJSON(after int) string {
	var lines []string
	for i := range l.workers {
		if after < 0 || l.changedAt[i] > after {
			lines = append(lines, l.memberJSON(i))
		}
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, l.revision, after < 0, strings.Join(lines, ","))
}

func (l *changingList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil {
		after = -1
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	l.mu.Lock()
	newer, news := l.revision > after, l.updated
	l.mu.Unlock()
	if !newer {
		select {
		case <-news:
		case <-time.After(time.Duration(wait) * time.Millisecond):
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

// change has the next worker drain and the one before come back.
func (l *changingList) drainNext() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	n := len(l.workers)
	for i, phase := range map[int]string{l.revision % n: "leaving", (l.revision - 1) % n: "active"} {
		l.phases[i], l.changedAt[i] = phase, l.revision
	}
	close(l.updated)
	l.updated = make(chan struct{})
}

// BenchmarkGrowth gives what one dispatcher needs at 1, 4 and 16 times 200 workers, with the same traffic: CPU and peak memory of its
// process, descriptors, connections to workers, bytes of lists.
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
	growthRequestsPerSecond = 20 // requests a second
)

func measureGrowth(b *testing.B, size, dispatchers int) {
	c := &changingList{updated: make(chan struct{}), changedAt: make([]int, size), phases: make([]string, size)}
	for i := range size {
		c.workers, c.phases[i] = append(c.workers, startWorker(b, fmt.Sprintf("w%04d", i), completeJob)), "active"
	}
	find := httptest.NewServer(c)
	defer find.Close()
	defer find.CloseClientConnections()
	c.mu.Lock()
	known := c.listJSON(-1)
	c.mu.Unlock()
	dispatcher := startWithConfig(b, fmt.Sprintf(`{"name":"n7","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		find.Listener.Addr(), known, strings.Replace(settingsJSON, `"replicasOfMe":1`, fmt.Sprintf(`"ordinal":7,"replicasOfMe":%d`, dispatchers), 1)))
	served, most := atomic.Int64{}, 0
	var wait sync.WaitGroup
	for i, end := 0, time.Now().Add(growthDuration); time.Now().Before(end); i++ {
		time.Sleep(time.Second / growthRequestsPerSecond)
		if i%growthRequestsPerSecond == 0 {
			c.drainNext()
			if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", dispatcher.command.Process.Pid)); err == nil {
				most = max(most, len(fds))
			}
		}
		wait.Go(func() {
			if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprintf("g%d", i), "Cookie", fmt.Sprintf("user=%016x", i%50))); status == 200 {
				served.Add(1)
			}
		})
	}
	wait.Wait()
	cpu, peak := processCost(dispatcher.command.Process.Pid)
	conns := 0
	for _, worker := range c.workers {
		made := worker.connectionCount()
		conns += made
	}
	b.ReportMetric(cpu.Seconds(), "cpu-s")
	b.ReportMetric(float64(peak)/(1<<20), "peak-MB")
	b.ReportMetric(float64(most), "descriptors")
	b.ReportMetric(float64(conns), "connections")
	b.ReportMetric(float64(c.bytes.Load())/1024, "list-KB")
	b.ReportMetric(float64(served.Load()), "served")
	dispatcher.kill()
}

// processCost gives the processor time of a process so far and its peak memory in bytes.
func processCost(pid int) (cpu time.Duration, peak int64) {
	const ticksPerSecond = 100
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	}
	return cpu, processMemory(pid, "VmHWM")
}
