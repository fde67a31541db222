package main

import (
	"bytes"
	"fmt"
	"time"
)

func init() { cases["7"] = case7 }

func case7(b *bench) []string {
	boxes := startBoxes(b, &runLog{}, 12, always(3500*time.Millisecond))
	d := newDiscovery(b, 41, members(boxes))
	listen, listen2, admin := address(), address(), address()
	b.start(dispatcherSpec{name: "n0", listen: listen, admin: admin, tmp: b.dir,
		config: platformFile(listen, admin, d.address, d.whole()), operator: front("http2", listen2, "")})
	c := b.connect2(listen2)
	body := bytes.Repeat([]byte("x"), 1000)
	written := map[uint32]time.Time{}
	for i := range 6 {
		stream, id := uint32(2*i+1), fmt.Sprintf("k%d", i)
		c.write(frame(frameHeaders, flagEndHeaders, stream, headers(listen2, id, id, 5*time.Second, len(body))))
		data := frame(frameData, flagEndStream, stream, body)
		if i == 5 && b.trouble {
			data = data[:len(data)/2]
			b.note("the client writes a half of the request on stream %d, and stays", stream)
		} else {
			b.note("the client writes the whole request %s on stream %d", id, stream)
			written[stream] = time.Now()
		}
		c.write(data)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	var breaks []string
	c.mu.Lock()
	defer c.mu.Unlock()
	for stream := uint32(1); stream <= 11; stream += 2 {
		sentAt, taken := written[stream]
		if !taken {
			continue
		}
		answeredAt, answered := c.answered[stream]
		switch {
		case !answered:
			breaks = append(breaks, fmt.Sprintf("the request on stream %d was taken and has no answer; the connection was ended by the dispatcher after %d ms",
				stream, c.closedAt.Sub(sentAt).Milliseconds()))
		case answeredAt.Sub(sentAt) > 5500*time.Millisecond:
			breaks = append(breaks, fmt.Sprintf("the request on stream %d was answered after %d ms", stream, answeredAt.Sub(sentAt).Milliseconds()))
		}
	}
	return breaks
}
