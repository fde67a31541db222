package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// testDiscovery is a discovery service. It answers a call when its list is newer than the caller's, or when the call's wait time is over.
type testDiscovery struct {
	mu          sync.Mutex
	revision    int
	workers     []*testWorker
	failing     bool                     // calls are answered 503
	hanging     bool                     // calls are accepted and not answered
	corrupt     func(list string) string // returns what is sent in place of a list; nil for the list itself
	calls       []poll
	silentCalls int           // calls with a number up to this one are not answered
	changed     chan struct{} // closed and replaced at each update
}

// newTestDiscovery returns a service with a list of revision 1.
func newTestDiscovery(workers ...*testWorker) *testDiscovery {
	return &testDiscovery{revision: 1, workers: workers, changed: make(chan struct{})}
}

// callCount returns the number of calls so far.
func (d *testDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

// watched reports whether the last call was a watch, that is, a call that may wait for a newer list.
func (d *testDiscovery) watched() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls) > 0 && d.calls[len(d.calls)-1].wait > 0
}

// update applies a change and increments the revision.
func (d *testDiscovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// listJSON returns the complete list. The caller holds d.mu, or the service has not started yet.
func (d *testDiscovery) listJSON() string {
	var lines []string
	for _, worker := range d.workers {
		lines = append(lines, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"llanelli","flavor":"new-worker","cell":%s,"phase":%q,"size":1.0,"up_since_ms":%d}`,
			worker.id, worker.listener.Addr(), worker.cell, worker.phase, worker.startedAtMS))
	}
	return listAnswer(d.revision, true, strings.Join(lines, ","))
}

// ServeHTTP answers a call.
func (d *testDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := readPoll(r)
	d.mu.Lock()
	d.calls = append(d.calls, call)
	number := len(d.calls)
	failing := d.failing
	waitOver := time.After(call.wait)
	for d.revision <= call.index && !d.failing || d.hanging || number <= d.silentCalls {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-waitOver:
			d.mu.Lock()
			if !d.hanging && number > d.silentCalls {
				defer d.mu.Unlock()
				io.WriteString(w, listAnswer(d.revision, false, ""))
				return
			}
			waitOver = nil
			continue // with d.mu locked
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	if failing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := d.listJSON()
	if d.corrupt != nil {
		fullLength := len(list)
		list = d.corrupt(list)
		w.Header().Set("Content-Length", strconv.Itoa(max(len(list), fullLength))) // a truncated list ends early
	}
	io.WriteString(w, list)
}

// poll is a call to a discovery service.
type poll struct {
	hasList bool          // the caller has a list
	index   int           // revision of the caller's list; 0 without a list
	wait    time.Duration // how long the call may wait for a newer list
}

// readPoll parses a call from the query of its HTTP request.
func readPoll(r *http.Request) (call poll) {
	query := r.URL.Query()
	call.hasList = query.Has("index")
	call.index, _ = strconv.Atoi(query.Get("index"))
	waitMS, _ := strconv.Atoi(query.Get("wait"))
	call.wait = time.Duration(waitMS) * time.Millisecond
	return call
}

// listAnswer returns an answer of discovery. members is the lines of the workers, separated by commas.
func listAnswer(revision int, complete bool, members string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, members)
}

// memberJSON returns the line of a worker in an endpoint list.
func memberJSON(worker *testWorker, phase string) string {
	line, err := json.Marshal(map[string]any{"id": worker.id, "host_port": worker.listener.Addr().String(), "locality": "llanelli", "flavor": "new-worker",
		"cell": 1, "phase": phase, "size": 1.0, "up_since_ms": 0})
	if err != nil {
		panic(err)
	}
	return string(line)
}

// dispatcherConfig returns the platform's file of one of several dispatchers that share a discovery service. seed is the last byte of
// the dispatcher's seed; known is the lines of the endpoint list in the file.
func dispatcherConfig(index, dispatchers int, seed byte, discovery, known string) string {
	ordinal := fmt.Sprintf(`"ordinal":%d,"replicasOfMe":%d`, index, dispatchers)
	return fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be9%02x","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":0,"complete":true,"members":[%s]},"settings":%s}`,
		index, discovery, seed, known, strings.Replace(settingsJSON, `"replicasOfMe":1`, ordinal, 1))
}

// discoveryAddress returns the address of discovery in a platform's file.
func discoveryAddress(config string) string {
	_, rest, _ := strings.Cut(config, `"discovery":"`)
	address, _, _ := strings.Cut(rest, `"`)
	return address
}

// withDiscoveryAddress returns a platform's file with another address of discovery.
func withDiscoveryAddress(config, address string) string {
	return strings.Replace(config, `"discovery":"`+discoveryAddress(config)+`"`, `"discovery":"`+address+`"`, 1)
}

// withoutKnownList returns a platform's file without its endpoint list.
func withoutKnownList(config string) string {
	before, rest, _ := strings.Cut(config, `"known":`)
	_, after, _ := strings.Cut(rest, `,"settings"`)
	return before + `"settings"` + after
}

// lastListUpdate returns when the process last logged an update of the endpoint list.
func (d *testDispatcher) lastListUpdate() time.Time {
	text := d.log()
	text = text[:strings.LastIndex(text, "msg=\"endpoint list updated\"")]
	text = text[strings.LastIndex(text, "time=")+len("time="):]
	when, _, _ := strings.Cut(text, " ")
	return must(time.Parse(time.RFC3339Nano, when))
}
