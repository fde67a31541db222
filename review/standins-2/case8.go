package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["8"] = case8 }

func case8(b *bench) []string {
	log := &runLog{}
	boxes := startBoxes(b, log, 12, always(1500*time.Millisecond))
	d := newDiscovery(b, 41, members(boxes))
	listen, listen2, admin := address(), address(), address()
	b.start(dispatcherSpec{name: "n0", listen: listen, admin: admin, tmp: b.dir,
		config: platformFile(listen, admin, d.address, d.whole()), operator: front("http2", listen2, "")})
	var keys []string
	var waiting sync.WaitGroup
	first, second := client2(), client()
	for i := range 20 {
		key := fmt.Sprintf("k%d", i)
		keys = append(keys, key)
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan answer, 1)
			go func() { done <- b.do(first, request(ctx, listen2, key+"-http2", key, 5*time.Second)) }()
			time.Sleep(400 * time.Millisecond)
			if b.trouble {
				b.note("client cancels the stream of %s-http2", key)
				cancel()
				<-done
				time.Sleep(100 * time.Millisecond)
			}
			b.do(second, request(context.Background(), listen, key+"-http1", key, 5*time.Second))
			if !b.trouble {
				<-done
			}
		}()
		time.Sleep(150 * time.Millisecond)
	}
	waiting.Wait()
	time.Sleep(2 * time.Second)
	return repeatedRuns(b, log, keys)
}
