package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"brassdale/internal/traffic"
)

const (
	maxBusyShare        = 0.85 // of all cores, over the measured span
	clockTicksPerSecond = 100  // of the kernel's clock in /proc
)

// usage is what a process has used.
type processUsage struct {
	cpuMS    float64 // ms since its start
	memoryMB float64 // MB resident now
}

func readProcessUsage(pid int) (u processUsage, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return u, fmt.Errorf("/proc/%d/stat is short", pid)
	}
	u.cpuMS = (parseNumber(fields[11]) + parseNumber(fields[12])) * 1000 / clockTicksPerSecond
	u.memoryMB = parseNumber(fields[21]) * float64(os.Getpagesize()) / (1 << 20)
	return u, nil
}

func parseNumber(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

// machine is what the whole machine has done since its start.
type machineCounters struct {
	busyTicks, totalTicks       float64 // of the cores, in ticks
	loopbackBytes               float64 // over the loopback interface, heads included
	loopbackPackets, udpPackets float64 // over it, and UDP's of them
}

const (
	tcpHeaderBytes = 52 // bytes of a packet on the interface that are no bytes of the connection's
	udpHeaderBytes = 28
)

func readMachineCounters() (m machineCounters, err error) {
	read := func(path string) []string {
		text, e := os.ReadFile(path)
		if err == nil {
			err = e
		}
		return strings.Split(string(text), "\n")
	}
	for i, x := range strings.Fields(read("/proc/stat")[0])[1:] {
		if i < 8 { // guests are in user time already
			if m.totalTicks += parseNumber(x); i != 3 && i != 4 {
				m.busyTicks += parseNumber(x)
			}
		}
	}
	for _, line := range read("/proc/net/dev") {
		if name, rest, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			if f := strings.Fields(rest); len(f) > 1 {
				m.loopbackBytes, m.loopbackPackets = parseNumber(f[0]), parseNumber(f[1])
			}
		}
	}
	var names []string
	for _, line := range read("/proc/net/snmp") {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] != "Udp:" {
			continue
		}
		if names == nil {
			names = f
			continue
		}
		for i, name := range names {
			if name == "OutDatagrams" && i < len(f) {
				m.udpPackets = parseNumber(f[i])
			}
		}
	}
	return m, err
}

// carried are the bytes between two moments that the kernel did not add.
func loopbackPayload(before, after machineCounters) float64 {
	udp := after.udpPackets - before.udpPackets
	return after.loopbackBytes - before.loopbackBytes - udp*udpHeaderBytes - (after.loopbackPackets-before.loopbackPackets-udp)*tcpHeaderBytes
}

// control is what a dispatcher has counted, by kind.
type controlCounts = map[string]traffic.Count

// reading is all that is read at one moment.
type snapshot struct {
	at              time.Time
	control         map[string]controlCounts // by dispatcher
	pids            map[string]int           // and its process
	processSizes    map[int]int              // how many dispatchers are in a process
	voters          map[string]bool          // who has a seat
	leader          string                   // and who leads
	usage           map[int]processUsage     // by process
	machine         machineCounters
	lateTicks       []lateTick
	pollTraffic     traffic.Count // what the runner's questions cost
	proposalTraffic traffic.Count // and its proposals
	linkTraffic     traffic.Count // what links carried, where that is counted
}

// less gives what was counted between two moments.
func subtractCounts(after, before controlCounts) controlCounts {
	d := controlCounts{}
	for kind, a := range after {
		b := before[kind]
		d[kind] = traffic.Count{Sent: a.Sent - b.Sent, Received: a.Received - b.Received, Messages: a.Messages - b.Messages}
	}
	return d
}

// spent gives what a dispatcher counted between two moments, where it is one and the same process at both.
func controlBetween(before, after snapshot, name string) (controlCounts, bool) {
	pid, there := after.pids[name]
	if had, was := before.pids[name]; !there || !was || had != pid {
		return nil, false
	}
	return subtractCounts(after.control[name], before.control[name]), true
}

// cpu gives the milliseconds that a dispatcher's process used between two moments, by dispatcher; 0 where it is not the same.
func cpuBetween(before, after snapshot, name string) float64 {
	pid := after.pids[name]
	had, was := before.usage[pid]
	has, is := after.usage[pid]
	if !was || !is || before.pids[name] != pid {
		return 0
	}
	return (has.cpuMS - had.cpuMS) / float64(max(after.processSizes[pid], 1))
}
