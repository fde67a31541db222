package faults

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Cost is what the fleet's own calls cost a process, on average and at the one that pays most, a second.
type Cost struct {
	Calls     float64 `json:"calls"`       // to others
	Bytes     float64 `json:"bytes"`       // of bodies, both ways
	CPU       float64 `json:"cpu_ms"`      // of the whole process, with its jobs
	CallsMost float64 `json:"calls_most"`  // made and served by one process
	BytesMost float64 `json:"bytes_most"`  // likewise
	CPUMost   float64 `json:"cpu_ms_most"` // likewise
	MemoryMB  float64 `json:"memory_mb"`   // resident, on average
	each      []share // by process, since its start
	at        time.Time
}

type share struct{ calls, served, bytes, cpu float64 }

const ticksPerSecond = 100 // of the kernel's clock in /proc

// cost reads what each process has used.
func (f *play) cost() *Cost {
	c := &Cost{at: time.Now()}
	for i, x := range f.all {
		var s struct {
			Counts struct{ Calls, Served, Sent, Received float64 }
		}
		if f.Voters > 0 {
			_ = f.call(f.ats[i], "status", nil, &s)
		}
		ticks, pages := 0.0, 0.0
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", x.node.Pid())); err == nil {
			_, rest, _ := strings.Cut(string(text), ") ")
			fields := strings.Fields(rest)
			user, _ := strconv.ParseFloat(fields[11], 64)
			system, _ := strconv.ParseFloat(fields[12], 64)
			ticks = user + system
			pages, _ = strconv.ParseFloat(fields[21], 64)
		}
		c.each = append(c.each, share{s.Counts.Calls, s.Counts.Served, s.Counts.Sent + s.Counts.Received, ticks * 1000 / ticksPerSecond})
		c.MemoryMB += pages * float64(os.Getpagesize()) / (1 << 20) / float64(len(f.all))
	}
	return c
}

func (c *Cost) since(before *Cost) *Cost {
	seconds, n := c.at.Sub(before.at).Seconds(), float64(len(c.each))
	for i, s := range c.each {
		b := before.each[i]
		calls, served, bytes, cpu := (s.calls-b.calls)/seconds, (s.served-b.served)/seconds, (s.bytes-b.bytes)/seconds, (s.cpu-b.cpu)/seconds
		c.Calls, c.Bytes, c.CPU = c.Calls+calls/n, c.Bytes+bytes/n, c.CPU+cpu/n
		c.CallsMost, c.BytesMost, c.CPUMost = max(c.CallsMost, calls+served), max(c.BytesMost, bytes), max(c.CPUMost, cpu)
	}
	return c
}
