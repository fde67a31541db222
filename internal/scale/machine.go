package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// clockTicksPerSecond is the unit of processor time in /proc.
const clockTicksPerSecond = 100

// The fields of /proc/PID/stat after the command's name, counted from 0.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21 // in pages
)

// processUsage is what a process has used.
type processUsage struct {
	cpuMS    float64 // milliseconds of processor time since its start
	memoryMB float64 // MiB that are resident now
}

// readProcessUsage reads what a process has used until now.
func readProcessUsage(pid int) (processUsage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statResident {
		return processUsage{}, fmt.Errorf("/proc/%d/stat is short", pid)
	}
	return processUsage{
		cpuMS:    (parseNumber(fields[statUserTime]) + parseNumber(fields[statSystemTime])) * 1000 / clockTicksPerSecond,
		memoryMB: parseNumber(fields[statResident]) * float64(os.Getpagesize()) / (1 << 20),
	}, nil
}

// parseNumber parses a number that the kernel or a dispatcher wrote; 0 for any other text.
func parseNumber(text string) float64 {
	number, _ := strconv.ParseFloat(text, 64)
	return number
}

// machineCounters is what the whole machine has done since its start.
type machineCounters struct {
	busyTicks       float64 // of all cores
	totalTicks      float64 // of all cores, idle ones included
	loopbackBytes   float64 // headers included
	loopbackPackets float64
	udpPackets      float64 // sent; they are loopback packets here
}

const (
	tcpHeaderBytes = 52 // of a packet on the loopback interface: IP and TCP with timestamps
	udpHeaderBytes = 28
)

// The fields of a cpu line of /proc/stat, counted from 0. Those from statGuest on are in user time already.
const (
	statIdle   = 3
	statIOWait = 4
	statGuest  = 8
)

// readMachineCounters reads the counters as they are now.
func readMachineCounters() (machineCounters, error) {
	var counters machineCounters
	stat, err := readLines("/proc/stat")
	if err != nil {
		return counters, err
	}
	for i, field := range strings.Fields(stat[0])[1:] {
		if i >= statGuest {
			break
		}
		counters.totalTicks += parseNumber(field)
		if i != statIdle && i != statIOWait {
			counters.busyTicks += parseNumber(field)
		}
	}
	interfaces, err := readLines("/proc/net/dev")
	if err != nil {
		return counters, err
	}
	for _, line := range interfaces {
		if name, rest, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			if fields := strings.Fields(rest); len(fields) > 1 {
				counters.loopbackBytes, counters.loopbackPackets = parseNumber(fields[0]), parseNumber(fields[1])
			}
		}
	}
	protocols, err := readLines("/proc/net/snmp")
	if err != nil {
		return counters, err
	}
	counters.udpPackets = snmpCounter(protocols, "Udp:", "OutDatagrams")
	return counters, nil
}

// readLines reads the lines of a file.
func readLines(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	return strings.Split(string(text), "\n"), err
}

// snmpCounter returns a protocol's counter of /proc/net/snmp, which has a line of names and one of values for each protocol; 0 for none.
func snmpCounter(lines []string, protocol, counter string) float64 {
	var names []string
	for _, line := range lines {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] != protocol {
			continue
		}
		if names == nil {
			names = fields
			continue
		}
		for i, name := range names {
			if name == counter && i < len(fields) {
				return parseNumber(fields[i])
			}
		}
	}
	return 0
}

// loopbackPayload returns the bytes that the loopback interface carried between two readings, without the packets' headers.
func loopbackPayload(before, after machineCounters) float64 {
	udpPackets := after.udpPackets - before.udpPackets
	tcpPackets := after.loopbackPackets - before.loopbackPackets - udpPackets
	return after.loopbackBytes - before.loopbackBytes - udpPackets*udpHeaderBytes - tcpPackets*tcpHeaderBytes
}
