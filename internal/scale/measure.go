package scale

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"brassdale/internal/traffic"
)

const (
	tickEvery      = 100 * time.Millisecond
	tickLate       = 250 * time.Millisecond // by more the machine is the limit, ...
	ticksMayBeLate = 3                      // ... if that is so more often
	maxBusy        = 0.85                   // of all cores, over the measured span

	ticksPerSecond = 100 // of the kernel's clock in /proc
)

// Late is when a process was kept waiting for a tick.
type Late struct{ Due, At time.Time }

// ticker notes when a process was kept waiting.
type ticker struct {
	mu   sync.Mutex
	late []Late
}

func (t *ticker) all() []Late {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.late)
}

func (t *ticker) run(ctx context.Context) {
	for {
		due := time.Now().Add(tickEvery)
		select {
		case <-ctx.Done():
			return
		case <-time.After(tickEvery):
		}
		t.ticked(due, time.Now())
	}
}

func (t *ticker) ticked(due, at time.Time) {
	if at.Sub(due) > tickLate {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.late = append(t.late, Late{due, at})
	}
}

// usage is what a process has used.
type usage struct {
	cpu    float64 // ms since its start
	memory float64 // MB resident now
}

func usageOf(pid int) (u usage, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return u, fmt.Errorf("/proc/%d/stat is short", pid)
	}
	u.cpu = (number(fields[11]) + number(fields[12])) * 1000 / ticksPerSecond
	u.memory = number(fields[21]) * float64(os.Getpagesize()) / (1 << 20)
	return u, nil
}

func number(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}

// machine is what the whole machine has done since its start.
type machine struct {
	busy, all    float64 // of the cores, in ticks
	bytes        float64 // over the loopback interface, heads included
	packets, udp float64 // over it, and UDP's of them
}

const (
	tcpHead = 52 // bytes of a packet on the interface that are no bytes of the connection's
	udpHead = 28
)

func machineNow() (m machine, err error) {
	read := func(path string) []string {
		text, e := os.ReadFile(path)
		if err == nil {
			err = e
		}
		return strings.Split(string(text), "\n")
	}
	for i, x := range strings.Fields(read("/proc/stat")[0])[1:] {
		if i < 8 { // guests are in user time already
			if m.all += number(x); i != 3 && i != 4 {
				m.busy += number(x)
			}
		}
	}
	for _, line := range read("/proc/net/dev") {
		if name, rest, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			if f := strings.Fields(rest); len(f) > 1 {
				m.bytes, m.packets = number(f[0]), number(f[1])
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
				m.udp = number(f[i])
			}
		}
	}
	return m, err
}

// carried are the bytes between two moments that the kernel did not add.
func carried(before, after machine) float64 {
	udp := after.udp - before.udp
	return after.bytes - before.bytes - udp*udpHead - (after.packets-before.packets-udp)*tcpHead
}

// control is what a dispatcher has counted, by kind.
type control = map[string]traffic.Count

// reading is all that is read at one moment.
type reading struct {
	at      time.Time
	control map[string]control // by dispatcher
	pids    map[string]int     // and its process
	sharing map[int]int        // how many dispatchers are in a process
	seated  map[string]bool    // who has a seat
	leads   string             // and who leads
	used    map[int]usage      // by process
	machine machine
	late    []Late
	own     traffic.Count // what the runner's questions cost
	orders  traffic.Count // and its proposals
	linked  traffic.Count // what links carried, where that is counted
}

// less gives what was counted between two moments.
func less(after, before control) control {
	d := control{}
	for kind, a := range after {
		b := before[kind]
		d[kind] = traffic.Count{Sent: a.Sent - b.Sent, Received: a.Received - b.Received, Messages: a.Messages - b.Messages}
	}
	return d
}

// spent gives what a dispatcher counted between two moments, where it is one and the same process at both.
func spent(before, after reading, name string) (control, bool) {
	pid, there := after.pids[name]
	if had, was := before.pids[name]; !there || !was || had != pid {
		return nil, false
	}
	return less(after.control[name], before.control[name]), true
}

// cpu gives the milliseconds that a dispatcher's process used between two moments, by dispatcher; 0 where it is not the same.
func cpu(before, after reading, name string) float64 {
	pid := after.pids[name]
	had, was := before.used[pid]
	has, is := after.used[pid]
	if !was || !is || before.pids[name] != pid {
		return 0
	}
	return (has.cpu - had.cpu) / float64(max(after.sharing[pid], 1))
}
