package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// answer is what a client got.
type answer struct {
	sentAt, at time.Time
	status     int // 0: no answer
	body       string
	err        error
}

// do sends a request and reads the whole answer.
func (b *bench) do(c *http.Client, r *http.Request) answer {
	got := answer{sentAt: time.Now()}
	response, err := c.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		got.status, got.body = response.StatusCode, string(body)
	}
	got.at, got.err = time.Now(), err
	text := fmt.Sprint(got.status)
	if err != nil {
		text = "no whole answer"
	}
	b.noteAt(got.at, "client %s: %s after %d ms", r.Header.Get("Req-Id"), text, got.at.Sub(got.sentAt).Milliseconds())
	return got
}

// steady is an open load: a job every interval, each with a key of its own.
type steady struct {
	stop    chan struct{}
	stopped sync.WaitGroup
	mu      sync.Mutex
	byCode  map[int]int
}

func (b *bench) steadyLoad(name, address string, interval time.Duration) *steady {
	load := &steady{stop: make(chan struct{}), byCode: map[int]int{}}
	c := client()
	load.stopped.Add(1)
	go func() {
		defer load.stopped.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-load.stop:
				return
			case <-ticker.C:
			}
			load.stopped.Add(1)
			go func() {
				defer load.stopped.Done()
				id := fmt.Sprintf("%s-%d", name, i)
				got := b.do(c, request(context.Background(), address, id, "key-"+id, 5*time.Second))
				load.mu.Lock()
				defer load.mu.Unlock()
				load.byCode[got.status]++
			}()
		}
	}()
	return load
}

// end ends the load and waits for the answers.
func (l *steady) end() map[int]int {
	close(l.stop)
	l.stopped.Wait()
	return l.byCode
}
