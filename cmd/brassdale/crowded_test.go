package main

import (
	"encoding/json"
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
type crowdedDiscovery struct {
	perCall  time.Duration // to serve one call
	perNews  time.Duration // to tell one watch of a change
	mostWait time.Duration // a call that would wait longer is refused
	refuse   time.Duration // how long a refusal takes
	expires  time.Duration // a call that has waited so long is answered 503, and its work is done all the same; 0 for never
	down     time.Time     // until then each call is answered 503 behind that wait

	mu       sync.Mutex
	free     time.Time // when all that was accepted is served
	revision int
	lists    []string // the whole list, by revision
	changed  chan struct{}
	answered map[string]time.Time     // by dispatcher: the last answer of a watch
	ended    map[string]chan struct{} // by dispatcher: closed when its calls with an index are ended
	calls    int
	refused  int
	expired  int
}

func newCrowdedDiscovery(first string) *crowdedDiscovery {
	return &crowdedDiscovery{perCall: 420 * time.Millisecond, perNews: 12 * time.Millisecond, mostWait: time.Second,
		refuse: 30 * time.Millisecond, lists: []string{first}, changed: make(chan struct{}), answered: map[string]time.Time{}, ended: map[string]chan struct{}{}}
}

// publish makes a new revision of the list.
func (c *crowdedDiscovery) publish(members string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists = append(c.lists, members)
	c.revision++
	close(c.changed)
	c.changed = make(chan struct{})
}

// enqueue gives the time at which a piece of work is served, or false if its turn would come too late.
func (c *crowdedDiscovery) enqueue(work time.Duration, mustWait bool) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.free.Before(now) {
		c.free = now
	}
	if !mustWait && c.free.Sub(now) > c.mostWait {
		c.refused++
		return now, false
	}
	c.free = c.free.Add(work)
	return c.free, true
}

// addresses gives a dispatcher so many addresses at which it reaches the service.
func (c *crowdedDiscovery) addresses(t testing.TB, dispatcher string, count int) []string {
	var addresses []string
	for range count {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(dispatcher, w, r) }))
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return addresses
}

func (c *crowdedDiscovery) serve(dispatcher string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	watch := query.Has("index")
	index, _ := strconv.Atoi(query.Get("index"))
	wait, _ := strconv.Atoi(query.Get("wait"))
	over := time.After(time.Duration(wait) * time.Millisecond)

	if time.Now().Before(c.down) {
		time.Sleep(c.expires)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.mu.Lock()
	c.calls++
	ended := c.ended[dispatcher]
	if ended == nil {
		ended = make(chan struct{})
		c.ended[dispatcher] = ended
	}
	goesOn := watch && time.Since(c.answered[dispatcher]) < 200*time.Millisecond
	c.mu.Unlock()
	if !goesOn {
		turn, accepted := c.enqueue(c.perCall, false)
		if !accepted {
			c.endIndexed(dispatcher, watch)
			time.Sleep(c.refuse)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !watch {
			ended = nil
		}
		if c.expires > 0 && time.Until(turn) > c.expires {
			c.mu.Lock()
			c.expired++
			c.mu.Unlock()
			time.Sleep(c.expires)
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
	if watch && !c.awaitNews(index, over, ended, r) {
		if r.Context().Err() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if watch {
		c.answered[dispatcher] = time.Now()
	}
	members, complete := c.lists[c.revision], true
	if watch && index >= c.revision {
		members, complete = "", false
	}
	fmt.Fprintf(w, `{"revision":%d,"complete":%t,"members":[%s]}`, c.revision, complete, members)
}

// endIndexed ends the open calls of a dispatcher that have an index, where a further one is refused.
func (c *crowdedDiscovery) endIndexed(dispatcher string, indexed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if indexed {
		close(c.ended[dispatcher])
		delete(c.ended, dispatcher)
	}
}

// awaitNews waits until there is something newer than a revision and its turn to be told has come, or the wait is over. It
// tells whether the caller is to be answered.
func (c *crowdedDiscovery) awaitNews(index int, over <-chan time.Time, ended <-chan struct{}, r *http.Request) bool {
	for {
		c.mu.Lock()
		newer, changed := c.revision > index, c.changed
		c.mu.Unlock()
		if newer {
			turn, _ := c.enqueue(c.perNews, true)
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

// member is a line of a list.
func member(b *worker, phase string) string {
	line, err := json.Marshal(map[string]any{"id": b.id, "host_port": b.ln.Addr().String(), "locality": "llanelli", "flavor": "new-worker",
		"cell": 1, "phase": phase, "size": 1.0, "up_since_ms": 0})
	if err != nil {
		panic(err)
	}
	return string(line)
}
