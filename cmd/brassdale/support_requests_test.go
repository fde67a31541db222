package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// newRequest returns a request with this idempotency key, which is also part of the request ID. The parameter headers has names and values
// that replace the default headers; an empty value removes a header.
func newRequest(url, key string, headers ...string) *http.Request {
	r, err := http.NewRequest("POST", url+"/price-part?sheet=7", strings.NewReader("drawing"))
	if err != nil {
		panic(err)
	}
	pairs := append([]string{"Req-Id", "id-" + key, "Req-Kind", "price-part", "Req-Owner", "taff-marine",
		"Idempotency-Key", key, "Req-Deadline-Ms", "5000"}, headers...)
	for i := 0; i < len(pairs); i += 2 {
		if r.Header.Set(pairs[i], pairs[i+1]); pairs[i+1] == "" {
			r.Header.Del(pairs[i])
		}
	}
	return r
}

// sendKey sends a request with a key to the HTTP/1.1 frontend and returns the answer. It fails the test if there is no answer.
func (d *testDispatcher) sendKey(key string, headers ...string) (status int, body, retryAfter string) {
	d.t.Helper()
	return d.send(newRequest(d.http1URL, key, headers...))
}

// setBody gives a request a body of size bytes and declares a length; -1 for no declared length.
func setBody(r *http.Request, size int, length int64) {
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), length
}

// newHTTP1Client returns an HTTP/1.1 client that shares no connections with other clients.
func newHTTP1Client() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// send sends a request and returns the answer. It fails the test if there is no answer.
func (d *testDispatcher) send(r *http.Request) (status int, body, retryAfter string) {
	d.t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	return resp.StatusCode, string(text), resp.Header.Get("Retry-After")
}

// checkServed sends this number of requests one after the other, and checks that all are served.
func (d *testDispatcher) checkServed(keyPrefix string, count int) {
	d.t.Helper()
	for i := range count {
		if status, _, _ := d.sendKey(fmt.Sprint(keyPrefix, i)); status != http.StatusOK {
			d.t.Errorf("request %s%d: status %d, want 200", keyPrefix, i, status)
		}
	}
}

// sendInBackground sends a request, waits until the worker has received it, and returns a channel for the status of the answer. Without
// an answer the channel is closed without a status.
func (d *testDispatcher) sendInBackground(worker *testWorker, key string) <-chan int {
	d.t.Helper()
	answered := make(chan int, 1)
	go func() {
		defer close(answered)
		status, _, _ := d.sendKey(key)
		answered <- status
	}()
	d.waitForRun(worker, key)
	return answered
}

// trySend sends a request and returns the answer. Without an answer the status is 0 and the body is the error.
func trySend(client *http.Client, r *http.Request) (status int, body string, header http.Header) {
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(text), resp.Header
}

// sendMany sends this number of requests, eight at a time, and returns how many were served.
func (d *testDispatcher) sendMany(keyPrefix string, requests int) int {
	var served atomic.Int32
	var wait sync.WaitGroup
	inFlight := make(chan struct{}, 8)
	for i := range requests {
		inFlight <- struct{}{}
		wait.Go(func() {
			if status, _, _ := d.sendKey(fmt.Sprint(keyPrefix, "-", i)); status == http.StatusOK {
				served.Add(1)
			}
			<-inFlight
		})
	}
	wait.Wait()
	return int(served.Load())
}

// steadyLoad sends requests to dispatchers at intervals, and ignores the answers.
type steadyLoad struct {
	stop    chan struct{}
	running sync.WaitGroup
}

// newSteadyLoad returns a load that sends nothing yet.
func newSteadyLoad() *steadyLoad { return &steadyLoad{stop: make(chan struct{})} }

// start sends a dispatcher a request at each interval until the load ends or stop is called. Call stop before the dispatcher is killed:
// after that another test may listen at its port.
func (l *steadyLoad) start(dispatcher *testDispatcher, keyPrefix string, interval time.Duration) (stop func()) {
	stopped := make(chan struct{})
	l.running.Go(func() {
		var requests sync.WaitGroup
		defer requests.Wait()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-stopped:
				return
			case <-time.After(interval):
			}
			requests.Go(func() {
				resp, err := http.DefaultClient.Do(newRequest(dispatcher.http1URL, fmt.Sprintf("%s-%d", keyPrefix, i)))
				if err == nil {
					resp.Body.Close()
				}
			})
		}
	})
	return func() { close(stopped) }
}

// end stops sending and waits for the answers.
func (l *steadyLoad) end() {
	close(l.stop)
	l.running.Wait()
}

// waitUntilServed sends requests with a deadline of 1 s each until one is served.
func (d *testDispatcher) waitUntilServed(keyPrefix string) {
	d.t.Helper()
	sent := 0
	d.waitFor("a served request", func() bool {
		sent++
		status, _, _ := d.sendKey(fmt.Sprint(keyPrefix, "-", sent), "Req-Deadline-Ms", "1000")
		return status == http.StatusOK
	})
}

// dial connects to the HTTP/1.1 frontend; the connection is closed at the end of the test.
func (d *testDispatcher) dial() net.Conn {
	d.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.http1URL, "http://"))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { conn.Close() })
	return conn
}

// refusesConnections reports whether the HTTP/1.1 frontend accepts no new connection.
func (d *testDispatcher) refusesConnections() bool {
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.http1URL, "http://"))
	if err == nil {
		conn.Close()
	}
	return err != nil
}

// requestHead returns the head of an HTTP/1.1 request with further header lines.
func requestHead(id, lines string) string {
	return "POST /price-part HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Kind: price-part\r\nIdempotency-Key: " + id + "\r\n" + lines + "\r\n"
}

// must returns a value. It panics if there is an error, which would be a fault of the test itself.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
