package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["6"] = case6 }

func case6(b *bench) []string {
	log := &runLog{}
	boxes := startBoxes(b, log, 18, func(key string) time.Duration {
		if strings.HasPrefix(key, "long") {
			return 3 * time.Second
		}
		return 20 * time.Millisecond
	})
	priced := strings.Repeat(`{"step":"mill","minutes":12.5,"cost":"31.40"},`, 30<<10/47) // 30 KB; a body may have 64
	for _, x := range boxes {
		x.result = func(string) string { return priced }
	}
	d := newDiscovery(b, 41, members(boxes))
	listen, listen2, progress, admin := address(), address(), address(), address()
	// The table of keys has room for what this dispatcher answers within the window of a key: 85 jobs a second, half of the 170.
	operator := front("http2", listen2, "") + front("progress", progress, "") + "keys {\n  jobs    = 8192\n  keep_mb = 48\n}\n"
	spec := dispatcherSpec{name: "n0", listen: listen, admin: admin, tmp: b.dir, operator: operator,
		config: platformFile(listen, admin, d.address, d.whole())}
	old := b.start(spec)
	load := b.steadyLoad("job", listen, 12*time.Millisecond)
	time.Sleep(8 * time.Second)
	var keys []string
	var waiting sync.WaitGroup
	c1 := client()
	for i := range 40 {
		key := fmt.Sprintf("long%d", i)
		keys = append(keys, key)
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			b.do(c1, request(context.Background(), listen, key+"-http1", key, 5*time.Second))
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if b.trouble {
		spec.name, spec.admin = "n0-new", address()
		spec.config = platformFile(listen, spec.admin, d.address, d.whole())
		b.start(spec)
		old.signal(syscall.SIGTERM)
		b.note("the new process says yes; the old one gets SIGTERM")
	}
	for _, key := range keys {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			b.do(client2(), request(context.Background(), listen2, key+"-http2", key, 5*time.Second))
		}()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	b.note("answers of the steady load by status: %v", load.end())
	waiting.Wait()
	time.Sleep(time.Second)
	return repeatedRuns(b, log, keys)
}
