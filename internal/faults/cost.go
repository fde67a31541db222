package faults

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"brassdale/internal/traffic"
)

// Cost is what the fleet's control traffic costs a process a second: on average, and the maxima over the processes. The JSON keys are
// those of result files and do not change.
type Cost struct {
	Calls     float64            `json:"calls"`           // to others
	Bytes     float64            `json:"bytes"`           // of control traffic on its connections, both ways, with headers
	ByKind    map[string]float64 `json:"bytes_by_kind"`   // Bytes by kind of traffic
	Interface float64            `json:"interface_bytes"` // received by the loopback interface, with packet headers, jobs and all other traffic
	CPU       float64            `json:"cpu_ms"`          // of the whole process, with its jobs
	MaxCalls  float64            `json:"calls_most"`      // made and served by one process
	MaxBytes  float64            `json:"bytes_most"`
	MaxCPU    float64            `json:"cpu_ms_most"`
	MemoryMB  float64            `json:"memory_mb"` // resident, on average
}

// usage is what the processes have used until a time.
type usage struct {
	at             time.Time
	interfaceBytes float64 // received by the loopback interface since the machine's start
	memoryMB       float64 // resident, on average
	processes      []processUsage
}

// processUsage is what a process has used since its start.
type processUsage struct {
	calls   float64 // to others
	served  float64 // calls of others
	cpuMS   float64
	control map[string]traffic.Count // by kind
}

const (
	ticksPerSecond = 100 // of the kernel's clock in /proc
	bytesPerMB     = 1 << 20
)

// measureUsage returns what the processes have used until now. A figure that cannot be read is 0.
func (r *run) measureUsage(ctx context.Context) *usage {
	total := &usage{at: time.Now(), interfaceBytes: loopbackBytes()}
	for _, process := range r.processes {
		var status fleetStatus
		if r.plan.Voters > 0 {
			status, _ = r.requestStatus(ctx, process) // the figures are 0 then
		}
		cpuMS, memoryMB := processStat(process.lastStart.Pid())
		total.processes = append(total.processes, processUsage{status.Counts.Calls, status.Counts.Served, cpuMS, status.ControlTraffic})
		total.memoryMB += memoryMB / float64(len(r.processes))
	}
	return total
}

// processStat returns the CPU time and the resident memory of a process by its process ID; 0 if the system does not say.
func processStat(pid int) (cpuMS, memoryMB float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The indexes count from the third field of proc(5), behind the program's name: utime, stime and rss.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, system, pages := parseNumber(fields[11]), parseNumber(fields[12]), parseNumber(fields[21])
	return (user + system) * 1000 / ticksPerSecond, pages * float64(os.Getpagesize()) / bytesPerMB
}

// loopbackBytes returns the bytes that the loopback interface has received; 0 if the system does not say.
func loopbackBytes() float64 {
	text, _ := os.ReadFile("/proc/net/dev") // empty then
	for line := range strings.Lines(string(text)) {
		if name, rest, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			return parseNumber(strings.Fields(rest)[0])
		}
	}
	return 0
}

// parseNumber returns a number of a file in /proc; 0 for any other text.
func parseNumber(text string) float64 {
	number, _ := strconv.ParseFloat(text, 64) // 0 then
	return number
}

// costSince returns the cost between an earlier measurement and this one, of the same starts of the same processes.
func (u *usage) costSince(before *usage) *Cost {
	seconds, processes := u.at.Sub(before.at).Seconds(), float64(len(u.processes))
	cost := &Cost{
		ByKind:    map[string]float64{},
		Interface: (u.interfaceBytes - before.interfaceBytes) / seconds / processes,
		MemoryMB:  u.memoryMB,
	}
	for i, after := range u.processes {
		earlier := before.processes[i]
		bytes := 0.0
		for kind, count := range after.control {
			rate := float64(count.Bytes()-earlier.control[kind].Bytes()) / seconds
			bytes += rate
			cost.ByKind[kind] += rate / processes
		}
		calls, served, cpuMS := (after.calls-earlier.calls)/seconds, (after.served-earlier.served)/seconds, (after.cpuMS-earlier.cpuMS)/seconds
		cost.Calls += calls / processes
		cost.Bytes += bytes / processes
		cost.CPU += cpuMS / processes
		cost.MaxCalls = max(cost.MaxCalls, calls+served)
		cost.MaxBytes = max(cost.MaxBytes, bytes)
		cost.MaxCPU = max(cost.MaxCPU, cpuMS)
	}
	return cost
}
