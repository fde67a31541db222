package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// queueingDiscovery is a discovery service of low capacity that several dispatchers share and that serves calls one after the other. It
// is the counterpart, in real time and over sockets, of queueingService of internal/decisions/polling, which runs in virtual time. A call
// that has been queued for longer than queueTimeout is answered 503, but its work is still done. A call is rejected at once if the queued
// work takes longer than queueLimit; if the call is a watch, the dispatcher's open watches end too. A continued watch waits outside the
// queue for a change, and only the delivery of the change is queued.
type queueingDiscovery struct {
	perCall          time.Duration // service time of a call
	perUpdate        time.Duration // service time to deliver a change to a watch
	queueLimit       time.Duration
	queueTimeout     time.Duration // 0 for no limit
	rejectionLatency time.Duration // how long the service takes to reject a call
	downUntil        time.Time     // until then all calls fail after queueTimeout

	mu         sync.Mutex
	idleAt     time.Time // when all queued work is done
	revision   int
	lists      []string // by revision: the lines of the complete list, separated by commas
	changed    chan struct{}
	answeredAt map[string]time.Time     // by dispatcher: the last answer of a watch
	watchesEnd map[string]chan struct{} // by dispatcher: closed to end its open watches
	calls      int
	rejected   int
	expired    int
}

// continuationLimit is the time after the last answer of a dispatcher's watch within which its next watch counts as continued.
const continuationLimit = 200 * time.Millisecond

// newQueueingDiscovery returns a service whose first list has these lines.
func newQueueingDiscovery(members string) *queueingDiscovery {
	return &queueingDiscovery{
		perCall:          420 * time.Millisecond,
		perUpdate:        12 * time.Millisecond,
		queueLimit:       time.Second,
		rejectionLatency: 30 * time.Millisecond,
		lists:            []string{members},
		changed:          make(chan struct{}),
		answeredAt:       map[string]time.Time{},
		watchesEnd:       map[string]chan struct{}{},
	}
}

// publish publishes a new revision of the list.
func (d *queueingDiscovery) publish(members string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lists = append(d.lists, members)
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// enqueue adds work to the queue and returns when it will be done. It returns false if the queue is too long and mustAccept is not set.
func (d *queueingDiscovery) enqueue(work time.Duration, mustAccept bool) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.idleAt.Before(now) {
		d.idleAt = now
	}
	if !mustAccept && d.idleAt.Sub(now) > d.queueLimit {
		d.rejected++
		return now, false
	}
	d.idleAt = d.idleAt.Add(work)
	return d.idleAt, true
}

// startServers starts servers at which a dispatcher reaches the service, and returns their addresses.
func (d *queueingDiscovery) startServers(t testing.TB, dispatcher string, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(dispatcher, w, r) }))
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses
}

// serve answers a call of a dispatcher.
func (d *queueingDiscovery) serve(dispatcher string, w http.ResponseWriter, r *http.Request) {
	call := readPoll(r)
	waitOver := time.After(call.wait)
	if time.Now().Before(d.downUntil) {
		time.Sleep(d.queueTimeout)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	watchesEnded, continued := d.begin(dispatcher, call.hasList)
	if !continued && !d.waitInQueue(dispatcher, call.hasList, watchesEnded) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if call.hasList && !d.waitForUpdate(call.index, waitOver, watchesEnded, r) {
		if r.Context().Err() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if call.hasList {
		d.answeredAt[dispatcher] = time.Now()
	}
	members, complete := d.lists[d.revision], true
	if call.hasList && call.index >= d.revision {
		members, complete = "", false
	}
	io.WriteString(w, listAnswer(d.revision, complete, members))
}

// begin counts a call. It returns the channel that is closed to end the dispatcher's watches, and whether the call continues a watch.
func (d *queueingDiscovery) begin(dispatcher string, watch bool) (watchesEnded <-chan struct{}, continued bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.watchesEnd[dispatcher] == nil {
		d.watchesEnd[dispatcher] = make(chan struct{})
	}
	return d.watchesEnd[dispatcher], watch && time.Since(d.answeredAt[dispatcher]) < continuationLimit
}

// waitInQueue waits until the work of a call is done. It returns false if the call is to be answered 503: rejected, expired or ended.
func (d *queueingDiscovery) waitInQueue(dispatcher string, watch bool, watchesEnded <-chan struct{}) bool {
	doneAt, accepted := d.enqueue(d.perCall, false)
	if !accepted {
		if watch {
			d.endOpenWatches(dispatcher)
		}
		time.Sleep(d.rejectionLatency)
		return false
	}
	if d.queueTimeout > 0 && time.Until(doneAt) > d.queueTimeout {
		d.mu.Lock()
		d.expired++
		d.mu.Unlock()
		time.Sleep(d.queueTimeout)
		return false
	}
	if !watch {
		watchesEnded = nil
	}
	select {
	case <-watchesEnded:
		return false
	case <-time.After(time.Until(doneAt)):
		return true
	}
}

// endOpenWatches ends the open watches of a dispatcher, after another of its watches was rejected.
func (d *queueingDiscovery) endOpenWatches(dispatcher string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.watchesEnd[dispatcher])
	delete(d.watchesEnd, dispatcher)
}

// logCalls logs the numbers of calls, rejected calls and expired calls.
func (d *queueingDiscovery) logCalls(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	t.Logf("%d calls, of which %d were rejected and %d expired", d.calls, d.rejected, d.expired)
}

// waitForUpdate waits until a list newer than a revision has been delivered, or the wait time is over. It returns false if the watch has
// ended without an answer.
func (d *queueingDiscovery) waitForUpdate(index int, waitOver <-chan time.Time, watchesEnded <-chan struct{}, r *http.Request) bool {
	for {
		d.mu.Lock()
		newer, changed := d.revision > index, d.changed
		d.mu.Unlock()
		if newer {
			doneAt, _ := d.enqueue(d.perUpdate, true)
			time.Sleep(time.Until(doneAt))
			return r.Context().Err() == nil
		}
		select {
		case <-changed:
		case <-watchesEnded:
			return false
		case <-waitOver:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}
