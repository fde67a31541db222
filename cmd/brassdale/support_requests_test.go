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

// request makes a job; headers are name, value, name, value and replace the usual ones.
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

// do sends a request and gives the status, the body and the Retry-After.
func (d *testDispatcher) send(r *http.Request) (int, string, string) {
	d.t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	return resp.StatusCode, string(body), resp.Header.Get("Retry-After")
}

// begin sends a job and gives its status to come, once the job is at the endpoint; closed if there is none.
func (d *testDispatcher) sendInBackground(worker *testWorker, key string) <-chan int {
	d.t.Helper()
	answered := make(chan int, 1)
	go func() {
		defer close(answered)
		status, _, _ := d.send(newRequest(d.http1URL, key))
		answered <- status
	}()
	d.waitFor("the job at the endpoint", func() bool { worker.mu.Lock(); defer worker.mu.Unlock(); return worker.runs[key] == 1 })
	return answered
}

// ask sends a request and gives status and body; 0 where there was no answer.
func trySend(c *http.Client, r *http.Request) (status int, body string, header http.Header) {
	resp, err := c.Do(r)
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

// all asks for so many jobs, eight at a time, and gives how many were served.
func (d *testDispatcher) sendMany(prefix string, jobs int) int {
	var served atomic.Int32
	var wait sync.WaitGroup
	room := make(chan struct{}, 8)
	for i := range jobs {
		room <- struct{}{}
		wait.Go(func() {
			if status, _, _ := d.send(newRequest(d.http1URL, fmt.Sprint(prefix, "-", i))); status == 200 {
				served.Add(1)
			}
			<-room
		})
	}
	wait.Wait()
	return int(served.Load())
}

// sendSteadily sends jobs, each on the next of the client's connections, until stop is closed.
func (d *testDispatcher) sendSteadily(name string, every time.Duration, stop <-chan struct{}, wait *sync.WaitGroup) {
	wait.Go(func() {
		var jobs sync.WaitGroup
		defer jobs.Wait()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			jobs.Go(func() {
				resp, err := http.DefaultClient.Do(newRequest(d.http1URL, fmt.Sprintf("%s-%d", name, i)))
				if err == nil {
					resp.Body.Close()
				}
			})
		}
	})
}

// serve sends jobs until one is served.
func (d *testDispatcher) waitUntilServed(key string) {
	d.t.Helper()
	i := 0
	d.waitFor("a job that is served", func() bool {
		i++
		status, _, _ := d.send(newRequest(d.http1URL, fmt.Sprint(key, "-", i), "Req-Deadline-Ms", "1000"))
		return status == 200
	})
}

func (d *testDispatcher) dial() net.Conn {
	d.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.http1URL, "http://"))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { conn.Close() })
	return conn
}

// closed tells whether no new connection is taken.
func (d *testDispatcher) refusesConnections() bool {
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.http1URL, "http://"))
	if err == nil {
		conn.Close()
	}
	return err != nil
}

// asHead is a job's head with further lines.
func requestHead(id, lines string) string {
	return "POST /price-part HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Kind: price-part\r\nIdempotency-Key: " + id + "\r\n" + lines + "\r\n"
}

func must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
}
