package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["9"] = case9 }

// case9: a key whose job runs for a request of the HTTP/1.1 port comes once at the progress port, from a client that waits for a shorter time.
func case9(b *bench) []string {
	boxes := startBoxes(b, &runLog{}, 12, always(4*time.Second))
	d := newDiscovery(b, 41, members(boxes))
	listen, progress, admin := address(), address(), address()
	b.start(dispatcherSpec{name: "n0", listen: listen, admin: admin, tmp: b.dir,
		config: platformFile(listen, admin, d.address, d.whole()), operator: front("progress", progress, "")})
	const patience = 1500 * time.Millisecond
	var mu sync.Mutex
	var breaks []string
	var waiting sync.WaitGroup
	for i := range 8 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			key := fmt.Sprintf("k%d", i)
			first := make(chan answer, 1)
			if b.trouble {
				go func() {
					first <- b.do(client(), request(context.Background(), listen, key+"-http1", key, 5*time.Second))
				}()
				time.Sleep(500 * time.Millisecond)
			}
			sentAt := time.Now()
			b.note("client sends %s-progress with Req-Deadline-Ms %d", key, patience.Milliseconds())
			final, at := b.finalEvent(request(context.Background(), progress, key+"-progress", key, patience))
			took := at.Sub(sentAt)
			b.note("client %s-progress: final answer %q after %d ms", key, final, took.Milliseconds())
			if final == "" || took > patience+500*time.Millisecond {
				mu.Lock()
				breaks = append(breaks, fmt.Sprintf("%s-progress waits for %d ms; its final answer %q came after %d ms", key,
					patience.Milliseconds(), final, took.Milliseconds()))
				mu.Unlock()
			}
			if b.trouble {
				<-first
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	waiting.Wait()
	return breaks
}

// finalEvent sends a request to the progress port and reads its events, for 7 s at most, up to the final one. It returns the name of that
// event, or the status of an answer that is no stream, and when it came.
func (b *bench) finalEvent(r *http.Request) (final string, at time.Time) {
	ctx, cancel := context.WithTimeout(r.Context(), 7*time.Second)
	defer cancel()
	response, err := client().Do(r.WithContext(ctx))
	if err != nil {
		return "", time.Now()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d", response.StatusCode), time.Now()
	}
	name := ""
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if event, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			name = event
			b.note("client %s: event %s", r.Header.Get("Req-Id"), name)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if ok && json.Valid([]byte(data)) && (name == "done" || name == "failed" || name == "refused") {
			return name, time.Now()
		}
	}
	return "", time.Now()
}
