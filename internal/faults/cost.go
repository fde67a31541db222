package faults

import (
	"context"
	"time"

	"brassdale/internal/labsupport"
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

// measureUsage returns what the processes have used until now. A figure that cannot be read is 0.
func (r *run) measureUsage(ctx context.Context) *usage {
	loopback, _ := labsupport.ReadLoopbackUsage() // 0 then
	total := &usage{at: time.Now(), interfaceBytes: loopback.Bytes}
	for _, process := range r.processes {
		var status fleetStatus
		if r.plan.Voters > 0 {
			status, _ = r.requestStatus(ctx, process) // the figures are 0 then
		}
		used, _ := labsupport.ReadProcessUsage(process.lastStart.Pid()) // likewise
		total.processes = append(total.processes, processUsage{status.Counts.Calls, status.Counts.Served, used.CPUMS, status.ControlTraffic})
		total.memoryMB += used.MemoryMB / float64(len(r.processes))
	}
	return total
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
