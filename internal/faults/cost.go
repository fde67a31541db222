package faults

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"brassdale/internal/traffic"
)

// Cost is what control costs a process, on average and at the one that pays most, a second.
type Cost struct {
	Calls      float64            `json:"calls"`           // to others
	Bytes      float64            `json:"bytes"`           // at its connections, both ways, heads included
	ByKind     map[string]float64 `json:"bytes_by_kind"`   // of them
	Interface  float64            `json:"interface_bytes"` // that the loopback interface received, packet heads, jobs and all that goes over it included
	CPU        float64            `json:"cpu_ms"`          // of the whole process, with its jobs
	MaxCalls   float64            `json:"calls_most"`      // made and served by one process
	MaxBytes   float64            `json:"bytes_most"`      // likewise
	CPUMost    float64            `json:"cpu_ms_most"`     // likewise
	MemoryMB   float64            `json:"memory_mb"`       // resident, on average
	interfaces float64            // since the machine's start
	each       []share            // by process, since its start
	at         time.Time
}

type share struct {
	calls, served, cpu float64
	control            map[string]traffic.Count
}

const ticksPerSecond = 100 // of the kernel's clock in /proc

// cost reads what each process has used.
func (f *play) cost() *Cost {
	c := &Cost{at: time.Now(), interfaces: loopback()}
	for i, x := range f.all {
		var s struct {
			Counts  struct{ Calls, Served float64 }
			Control map[string]traffic.Count
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
		c.each = append(c.each, share{s.Counts.Calls, s.Counts.Served, ticks * 1000 / ticksPerSecond, s.Control})
		c.MemoryMB += pages * float64(os.Getpagesize()) / (1 << 20) / float64(len(f.all))
	}
	return c
}

// loopback gives the bytes that the loopback interface has received; 0 where the system does not tell.
func loopback() (bytes float64) {
	text, _ := os.ReadFile("/proc/net/dev")
	for line := range strings.Lines(string(text)) {
		if name, rest, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			bytes, _ = strconv.ParseFloat(strings.Fields(rest)[0], 64)
		}
	}
	return bytes
}

func (c *Cost) since(before *Cost) *Cost {
	seconds, n := c.at.Sub(before.at).Seconds(), float64(len(c.each))
	c.Interface, c.ByKind = (c.interfaces-before.interfaces)/seconds/n, map[string]float64{}
	for i, s := range c.each {
		b, bytes := before.each[i], 0.0
		for kind, k := range s.control {
			rate := float64(k.Bytes()-b.control[kind].Bytes()) / seconds
			bytes += rate
			c.ByKind[kind] += rate / n
		}
		calls, served, cpu := (s.calls-b.calls)/seconds, (s.served-b.served)/seconds, (s.cpu-b.cpu)/seconds
		c.Calls, c.Bytes, c.CPU = c.Calls+calls/n, c.Bytes+bytes/n, c.CPU+cpu/n
		c.MaxCalls, c.MaxBytes, c.CPUMost = max(c.MaxCalls, calls+served), max(c.MaxBytes, bytes), max(c.CPUMost, cpu)
	}
	return c
}
