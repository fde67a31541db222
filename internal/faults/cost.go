package faults

import (
	"context"
	"time"

	"brassdale/internal/labsupport"
	"brassdale/internal/traffic"
)

// Cost is the cost of the fleet's control traffic for each process and second: the mean and the maximum over the processes. The JSON keys
// are the keys of result files and do not change.
type Cost struct {
	Calls     float64            `json:"calls"`           // to other processes
	Bytes     float64            `json:"bytes"`           // of control traffic on its connections, in both directions, with headers
	ByKind    map[string]float64 `json:"bytes_by_kind"`   // Bytes by kind of traffic
	Interface float64            `json:"interface_bytes"` // received by the loopback interface, with packet headers, jobs and all other traffic
	CPU       float64            `json:"cpu_ms"`          // of the whole process, jobs included
	MaxCalls  float64            `json:"calls_most"`      // made and served by one process
	MaxBytes  float64            `json:"bytes_most"`
	MaxCPU    float64            `json:"cpu_ms_most"`
	MemoryMB  float64            `json:"memory_mb"` // mean resident memory
}

// usage is the processes' accumulated resource usage at a time.
type usage struct {
	at             time.Time
	interfaceBytes float64 // received by the loopback interface since boot
	memoryMB       float64 // mean resident memory
	processes      []processUsage
}

// processUsage is a process's usage since its start.
type processUsage struct {
	calls   float64 // to other processes
	served  float64 // calls from other processes
	cpuMS   float64
	control map[string]traffic.Count // by kind
}

// measureUsage returns the processes' usage until now. A figure that cannot be read is 0.
func (r *run) measureUsage(ctx context.Context) *usage {
	loopback, _ := labsupport.ReadLoopbackUsage() // 0 on an error
	total := &usage{at: time.Now(), interfaceBytes: loopback.Bytes}
	for _, process := range r.processes {
		var status fleetStatus
		if r.plan.Voters > 0 {
			status, _ = r.requestStatus(ctx, process) // 0 on an error
		}
		used, _ := labsupport.ReadProcessUsage(process.lastStart.Pid()) // likewise
		total.processes = append(total.processes, processUsage{status.Counts.Calls, status.Counts.Served, used.CPUMS, status.ControlTraffic})
		total.memoryMB += used.MemoryMB / float64(len(r.processes))
	}
	return total
}

// costSince returns the cost between an earlier measurement and this one. No process may have restarted between them.
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
