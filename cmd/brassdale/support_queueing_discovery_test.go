package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// crowdedDiscovery is a discovery service of little capacity that several dispatchers share. It serves calls one after the
// other. A call that would wait for longer than its queue allows is answered 503 at once. A watch that goes on within 200 ms
// of its last answer is not served in turn until there is something to tell; any other call is. It keeps one call with an index
// for each dispatcher: where it refuses a further one, it ends the one before too.
type queueingDiscovery struct {
	perCall          time.Duration // to serve one call
	perUpdate        time.Duration // to tell one watch of a change
	queueLimit       time.Duration // a call that would wait longer is refused
	rejectionLatency time.Duration // how long a refusal takes
	queueTimeout     time.Duration // a call that has waited so long is answered 503, and its work is done all the same; 0 for never
	downUntil        time.Time     // until then each call is answered 503 behind that wait

	mu         sync.Mutex
	idleAt     time.Time // when all that was accepted is served
	revision   int
	lists      []string // the whole list, by revision
	changed    chan struct{}
	answeredAt map[string]time.Time     // by dispatcher: the last answer of a watch
	endWatches map[string]chan struct{} // by dispatcher: closed when its calls with an index are ended
	calls      int
	rejected   int
	expired    int
}

func newQueueingDiscovery(first string) *queueingDiscovery {
	return &queueingDiscovery{perCall: 420 * time.Millisecond, perUpdate: 12 * time.Millisecond, queueLimit: time.Second,
		rejectionLatency: 30 * time.Millisecond, lists: []string{first}, changed: make(chan struct{}), answeredAt: map[string]time.Time{}, endWatches: map[string]chan struct{}{}}
}

// publish makes a new revision of the list.
func (d *queueingDiscovery) publish(members string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lists = append(d.lists, members)
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// enqueue gives the time at which a piece of work is served, or false if its turn would come too late.
func (d *queueingDiscovery) enqueue(work time.Duration, mustWait bool) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.idleAt.Before(now) {
		d.idleAt = now
	}
	if !mustWait && d.idleAt.Sub(now) > d.queueLimit {
		d.rejected++
		return now, false
	}
	d.idleAt = d.idleAt.Add(work)
	return d.idleAt, true
}

// addresses gives a dispatcher so many addresses at which it reaches the service.
func (d *queueingDiscovery) startServers(t testing.TB, dispatcher string, count int) []string {
	var addresses []string
	for range count {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(dispatcher, w, r) }))
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses
}

func (d *queueingDiscovery) serve(dispatcher string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	watch := query.Has("index")
	index, _ := strconv.Atoi(query.Get("index"))
	wait, _ := strconv.Atoi(query.Get("wait"))
	over := time.After(time.Duration(wait) * time.Millisecond)

	if time.Now().Before(d.downUntil) {
		time.Sleep(d.queueTimeout)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.mu.Lock()
	d.calls++
	ended := d.endWatches[dispatcher]
	if ended == nil {
		ended = make(chan struct{})
		d.endWatches[dispatcher] = ended
	}
	goesOn := watch && time.Since(d.answeredAt[dispatcher]) < 200*time.Millisecond
	d.mu.Unlock()
	if !goesOn {
		turn, accepted := d.enqueue(d.perCall, false)
		if !accepted {
			d.endOpenWatches(dispatcher, watch)
			time.Sleep(d.rejectionLatency)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !watch {
			ended = nil
		}
		if d.queueTimeout > 0 && time.Until(turn) > d.queueTimeout {
			d.mu.Lock()
			d.expired++
			d.mu.Unlock()
			time.Sleep(d.queueTimeout)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case <-ended:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case <-time.After(time.Until(turn)):
		}
	}
	if watch && !d.waitForUpdate(index, over, ended, r) {
		if r.Context().Err() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if watch {
		d.answeredAt[dispatcher] = time.Now()
	}
	members, complete := d.lists[d.revision], true
	if watch && index >= d.revision {
		members, complete = "", false
	}
	fmt.Fprintf(w, `{"revision":%d,"complete":%t,"members":[%s]}`, d.revision, complete, members)
}

// endIndexed ends the open calls of a dispatcher that have an index, where a further one is refused.
func (d *queueingDiscovery) endOpenWatches(dispatcher string, indexed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if indexed {
		close(d.endWatches[dispatcher])
		delete(d.endWatches, dispatcher)
	}
}

// awaitNews waits until there is something newer than a revision and its turn to be told has come, or the wait is over. It
// tells whether the caller is to be answered.
func (d *queueingDiscovery) waitForUpdate(index int, over <-chan time.Time, ended <-chan struct{}, r *http.Request) bool {
	for {
		d.mu.Lock()
		newer, changed := d.revision > index, d.changed
		d.mu.Unlock()
		if newer {
			turn, _ := d.enqueue(d.perUpdate, true)
			time.Sleep(time.Until(turn))
			return r.Context().Err() == nil
		}
		select {
		case <-changed:
		case <-ended:
			return false
		case <-over:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}
