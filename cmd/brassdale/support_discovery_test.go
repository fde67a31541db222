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

// registry is discovery: it answers a watch when the list is newer, or fails it.
type testDiscovery struct {
	mu              sync.Mutex
	revision        int
	workers         []*testWorker
	failing         bool
	hanging         bool                     // calls are taken and never answered
	corrupt         func(list string) string // what is sent in place of a list; nil for the list
	polledRevisions []int                    // revisions that were asked after, ...
	pollWaits       []int                    // ... and for how many milliseconds each call may wait
	silentCalls     int                      // so many of the first calls say nothing more
	changed         chan struct{}
}

func (d *testDiscovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *testDiscovery) listJSON() string {
	var lines []string
	for _, worker := range d.workers {
		lines = append(lines, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"llanelli","flavor":"new-worker","cell":%s,"phase":%q,"size":1.0,"up_since_ms":%d}`,
			worker.id, worker.listener.Addr(), worker.cell, worker.phase, worker.startedAtMS))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, d.revision, strings.Join(lines, ","))
}

func (d *testDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("index"))
	d.mu.Lock()
	d.polledRevisions = append(d.polledRevisions, after)
	fail := d.failing
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	d.pollWaits = append(d.pollWaits, wait)
	call := len(d.polledRevisions)
	over := time.After(time.Duration(wait) * time.Millisecond)
	for d.revision <= after && !d.failing || d.hanging || call <= d.silentCalls {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			d.mu.Lock()
			if !d.hanging && call > d.silentCalls {
				defer d.mu.Unlock()
				fmt.Fprintf(w, `{"revision":%d,"complete":false,"members":[]}`, d.revision)
				return
			}
			over = nil
			continue // with the lock
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	if fail {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := d.listJSON()
	if d.corrupt != nil {
		whole := len(list)
		list = d.corrupt(list)
		w.Header().Set("Content-Length", strconv.Itoa(max(len(list), whole))) // half a list ends early
	}
	io.WriteString(w, list)
}

// member is a line of a list.
func memberJSON(worker *testWorker, phase string) string {
	line, err := json.Marshal(map[string]any{"id": worker.id, "host_port": worker.listener.Addr().String(), "locality": "llanelli", "flavor": "new-worker",
		"cell": 1, "phase": phase, "size": 1.0, "up_since_ms": 0})
	if err != nil {
		panic(err)
	}
	return string(line)
}

// fleetConfig gives the file of one of several dispatchers that share a discovery.
func dispatcherConfig(i, dispatchers int, discovery, known string) string {
	ordinal := fmt.Sprintf(`"ordinal":%d,"replicasOfMe":%d`, i, dispatchers)
	return fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be9%02x","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":0,"complete":true,"members":[%s]},"settings":%s}`,
		i, discovery, i, known, strings.Replace(settingsJSON, `"replicasOfMe":1`, ordinal, 1))
}

func discoveryAddress(config string) string {
	_, rest, _ := strings.Cut(config, `"discovery":"`)
	address, _, _ := strings.Cut(rest, `"`)
	return address
}

// movedTo gives the program's file with another address of discovery.
func withDiscoveryAddress(config, address string) string {
	_, rest, _ := strings.Cut(config, `"discovery":"`)
	old, _, _ := strings.Cut(rest, `"`)
	return strings.Replace(config, `"discovery":"`+old+`"`, `"discovery":"`+address+`"`, 1)
}

// noKnown drops the list that the platform's file brings.
func withoutKnownList(config string) string {
	before, rest, _ := strings.Cut(config, `"known":`)
	_, after, _ := strings.Cut(rest, `,"settings"`)
	return before + `"settings"` + after
}

// told returns when the program last logged an update of the endpoint list.
func (d *testDispatcher) lastListUpdate() time.Time {
	text := d.log()
	at := strings.LastIndex(text, "msg=\"endpoint list updated\"")
	text = text[:at]
	text = text[strings.LastIndex(text, "time=")+len("time="):]
	when, _, _ := strings.Cut(text, " ")
	return must(time.Parse(time.RFC3339Nano, when))
}
