package labsupport

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	clockTicksPerSecond = 100 // the unit of processor time in /proc
	bytesPerMB          = 1 << 20
)

// The fields of /proc/PID/stat after the command's name, counted from 0.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21 // in pages
)

// ProcessUsage is what a process has used.
type ProcessUsage struct {
	CPUMS    float64 // milliseconds of processor time since its start
	MemoryMB float64 // MiB that are resident now
}

// ReadProcessUsage reads what a process has used until now.
func ReadProcessUsage(pid int) (ProcessUsage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ProcessUsage{}, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statResident {
		return ProcessUsage{}, fmt.Errorf("/proc/%d/stat has fewer fields than expected", pid)
	}
	return ProcessUsage{
		CPUMS:    (ParseNumber(fields[statUserTime]) + ParseNumber(fields[statSystemTime])) * 1000 / clockTicksPerSecond,
		MemoryMB: ParseNumber(fields[statResident]) * float64(os.Getpagesize()) / bytesPerMB,
	}, nil
}

// LoopbackUsage is what the loopback interface has received since the machine's start. It has sent as much.
type LoopbackUsage struct {
	Bytes   float64 // headers included
	Packets float64
}

// ReadLoopbackUsage reads what the loopback interface has received until now. It returns zeros if the system does not list the interface.
func ReadLoopbackUsage() (LoopbackUsage, error) {
	text, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return LoopbackUsage{}, err
	}
	for line := range strings.Lines(string(text)) {
		if name, rest, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			if fields := strings.Fields(rest); len(fields) > 1 {
				return LoopbackUsage{ParseNumber(fields[0]), ParseNumber(fields[1])}, nil
			}
		}
	}
	return LoopbackUsage{}, nil
}

// ParseNumber parses a number that the kernel or a dispatcher wrote; 0 for any other text.
func ParseNumber(text string) float64 {
	number, _ := strconv.ParseFloat(text, 64) // 0 on an error
	return number
}
