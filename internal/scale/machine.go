package scale

import (
	"os"
	"strings"

	"brassdale/internal/labsupport"
)

// machineCounters are the counters of the whole machine since its start.
type machineCounters struct {
	busyTicks  float64 // of all cores
	totalTicks float64 // of all cores, idle ones included
	loopback   labsupport.LoopbackUsage
	udpPackets float64 // sent by any interface; all are counted as loopback packets
}

const (
	tcpHeaderBytes = 52 // of a packet: IP and TCP with timestamps
	udpHeaderBytes = 28
)

// The indexes of fields in a cpu line of /proc/stat. The fields from statGuest on are already included in user time.
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
		counters.totalTicks += labsupport.ParseNumber(field)
		if i != statIdle && i != statIOWait {
			counters.busyTicks += labsupport.ParseNumber(field)
		}
	}
	if counters.loopback, err = labsupport.ReadLoopbackUsage(); err != nil {
		return counters, err
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

// snmpCounter returns a protocol's counter in /proc/net/snmp, which has a line of names and a line of values for each protocol. It returns
// 0 if there is no such counter.
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
				return labsupport.ParseNumber(fields[i])
			}
		}
	}
	return 0
}

// loopbackPayload returns the bytes that the loopback interface carried between two readings, without the packets' headers.
func loopbackPayload(before, after machineCounters) float64 {
	udpPackets := after.udpPackets - before.udpPackets
	tcpPackets := after.loopback.Packets - before.loopback.Packets - udpPackets
	return after.loopback.Bytes - before.loopback.Bytes - udpPackets*udpHeaderBytes - tcpPackets*tcpHeaderBytes
}
