package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	h2 "golang.org/x/net/http2"
)

// The load of these benchmarks is closed: so many jobs open at a time, each followed by the next. Their ratios tell
// something, as both sides run in turns beside each other; the absolute figures are this machine's.
const (
	openJobs    = 100
	perRound    = 1200 * time.Millisecond
	benchRounds = 7
)

// round is what came of a stretch of load.
type round struct {
	jobs  int
	times []time.Duration
	took  time.Duration
}

func (r *round) rate() float64 { return float64(r.jobs) / r.took.Seconds() }

func (r *round) percentile(p float64) time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	slices.Sort(r.times)
	return r.times[min(int(p*float64(len(r.times))), len(r.times)-1)]
}

var benchKeys atomic.Int64

// quick answers a job in one piece.
func quick(_ *worker, c net.Conn, r *http.Request) {
	body := line(r.Header.Get("Req-Id"), `"state":"done","result":"priced"`)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// gather runs so many of one load side by side and adds up what came of them.
func gather(b *testing.B, many int, load func() (*round, error)) *round {
	var mu sync.Mutex
	var wait sync.WaitGroup
	all := &round{}
	begin := time.Now()
	for range many {
		wait.Go(func() {
			mine, err := load()
			if err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			all.jobs += len(mine.times)
			all.times = append(all.times, mine.times...)
		})
	}
	wait.Wait()
	all.took = time.Since(begin)
	return all
}

// over1 keeps jobs open over HTTP/1.1, one on each connection.
func over1(b *testing.B, address string, until time.Time) *round {
	return gather(b, openJobs, func() (*round, error) { return load1(address, until) })
}

// load1 sends one job after the other on a connection.
func load1(address string, until time.Time) (*round, error) {
	mine := &round{}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return mine, err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for time.Now().Before(until) {
		key := strconv.FormatInt(benchKeys.Add(1), 16)
		sent := time.Now()
		fmt.Fprintf(conn, "POST /price-part HTTP/1.1\r\nHost: api.internal\r\nReq-Id: id-%s\r\nReq-Kind: price-part\r\nReq-Owner: taff-marine\r\nIdempotency-Key: %s\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 7\r\n\r\ndrawing", key, key)
		if !answered1(in) {
			return mine, errors.New("no 200")
		}
		mine.times = append(mine.times, time.Since(sent))
	}
	return mine, nil
}

// answered1 reads an answer of a few bytes.
func answered1(in *bufio.Reader) bool {
	status, err := in.ReadSlice('\n')
	if err != nil || !strings.Contains(string(status), " 200 ") {
		return false
	}
	length := 0
	for {
		field, err := in.ReadSlice('\n')
		if err != nil {
			return false
		}
		if len(field) <= 2 {
			break
		}
		if name, value, _ := strings.Cut(string(field), ":"); strings.EqualFold(name, "Content-Length") {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
	_, err = in.Discard(length)
	return err == nil
}

// over2 keeps jobs open over HTTP/2, as streams of so many connections.
func over2(b *testing.B, address string, conns int, until time.Time) *round {
	return gather(b, conns, func() (*round, error) { return load2(address, openJobs/conns, until) })
}

// load2 keeps streams open on one connection. Heads are literal fields, so that they cost this side nothing.
func load2(address string, streams int, until time.Time) (*round, error) {
	mine := &round{}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return mine, err
	}
	defer conn.Close()
	io.WriteString(conn, h2.ClientPreface)
	conn.Write([]byte{0, 0, 0, 4, 0, 0, 0, 0, 0})
	var out []byte
	next, open := uint32(1), 0
	sent := map[uint32]time.Time{}
	begin := func() {
		key := strconv.FormatInt(benchKeys.Add(1), 16)
		at := len(out)
		out = append(out, 0, 0, 0, 1, 4, 0, 0, 0, 0)
		out = append(out, 0x83, 0x86) // POST, http
		for _, f := range [...][2]string{{":path", "/price-part"}, {":authority", "api.internal"}, {"req-id", "id-" + key}, {"req-kind", "price-part"},
			{"req-owner", "taff-marine"}, {"idempotency-key", key}, {"req-deadline-ms", "5000"}, {"content-length", "7"}} {
			out = append(append(out, 0, byte(len(f[0]))), f[0]...)
			out = append(append(out, byte(len(f[1]))), f[1]...)
		}
		n := len(out) - at - 9
		out[at], out[at+1], out[at+2] = byte(n>>16), byte(n>>8), byte(n)
		binary.BigEndian.PutUint32(out[at+5:], next)
		out = append(out, 0, 0, 7, 0, 1)
		out = binary.BigEndian.AppendUint32(out, next)
		out = append(out, "drawing"...)
		sent[next] = time.Now()
		next += 2
		open++
	}
	in := bufio.NewReaderSize(conn, 64<<10)
	head := make([]byte, 9)
	unread := 0
	for {
		for now := time.Now(); open < streams && now.Before(until); {
			begin()
		}
		if len(out) > 0 && in.Buffered() == 0 {
			if _, err := conn.Write(out); err != nil {
				return mine, err
			}
			out = out[:0]
		}
		if open == 0 {
			return mine, nil
		}
		if _, err := io.ReadFull(in, head); err != nil {
			return mine, err
		}
		size, stream := int(head[0])<<16|int(head[1])<<8|int(head[2]), binary.BigEndian.Uint32(head[5:])
		if head[3] == 1 { // the first byte of a head is its status, of the table that all know
			if first, err := in.ReadByte(); err != nil || first != 0x88 {
				return mine, fmt.Errorf("stream %d: no 200 (%x, %v)", stream, first, err)
			}
			size--
		}
		if head[3] == 0 {
			unread += size
		}
		if _, err := in.Discard(size); err != nil {
			return mine, err
		}
		switch {
		case head[3] == 4 && head[4]&1 == 0:
			out = append(out, 0, 0, 0, 4, 1, 0, 0, 0, 0)
		case head[3] == 0 && head[4]&1 != 0 || head[3] == 1 && head[4]&1 != 0:
			mine.times = append(mine.times, time.Since(sent[stream]))
			delete(sent, stream)
			open--
		case head[3] == 3 || head[3] == 7:
			return mine, fmt.Errorf("stream %d: frame of kind %d", stream, head[3])
		}
		if unread > 16<<10 {
			out = append(out, 0, 0, 4, 8, 0, 0, 0, 0, 0)
			out = binary.BigEndian.AppendUint32(out, uint32(unread))
			unread = 0
		}
	}
}

// report prints the medians of rounds that ran in turns, and of the ratios to the first within each turn.
func report(b *testing.B, names []string, rounds [][]*round) {
	for i, name := range names {
		var rates, ratios []float64
		var p50, p99, p999 []time.Duration
		for _, turn := range rounds {
			rates, ratios = append(rates, turn[i].rate()), append(ratios, turn[i].rate()/turn[0].rate())
			p50, p99, p999 = append(p50, turn[i].percentile(0.5)), append(p99, turn[i].percentile(0.99)), append(p999, turn[i].percentile(0.999))
		}
		b.Logf("%-28s %8.0f/s  p50 %8v  p99 %8v  p99.9 %8v  ratio %.2f (%.2f to %.2f)", name, median(rates), median(p50).Round(10*time.Microsecond),
			median(p99).Round(10*time.Microsecond), median(p999).Round(10*time.Microsecond), median(ratios), slices.Min(ratios), slices.Max(ratios))
	}
}

func median[T int | float64 | time.Duration](x []T) T {
	x = slices.Clone(x)
	slices.Sort(x)
	return x[len(x)/2]
}

// BenchmarkPorts compares the ports of one program, and with BRASSDALE_BASE the platform's port of another binary
// (then BRASSDALE_BINARY should name this one):
// jobs that endpoints answer at once, on one core of the dispatcher's.
func BenchmarkPorts(b *testing.B) {
	debug.SetGCPercent(400) // of the load's own
	workers := benchBoxes(b)
	binary := os.Getenv("BRASSDALE_BINARY") // as it is built for service; else the tests' own
	with, without := benchNode(b, binary, http2Block+"keys {\n  jobs = 200000\n}\n", workers), benchNode(b, binary, "", workers)
	names := []string{"HTTP/1.1, no operator's file", "HTTP/1.1", "HTTP/2, 1 connection", "HTTP/2, 4 connections"}
	loads := []func(time.Time) *round{
		func(u time.Time) *round { return over1(b, without.inbound, u) },
		func(u time.Time) *round { return over1(b, with.inbound, u) },
		func(u time.Time) *round { return over2(b, with.http2, 1, u) },
		func(u time.Time) *round { return over2(b, with.http2, 4, u) },
	}
	if base := os.Getenv("BRASSDALE_BASE"); base != "" {
		old := benchNode(b, base, "", workers)
		names = append(names, "HTTP/1.1, binary before")
		loads = append(loads, func(u time.Time) *round { return over1(b, old.inbound, u) })
	}
	var rounds [][]*round
	for i := range benchRounds + 1 {
		var turn []*round
		for _, load := range loads {
			turn = append(turn, load(time.Now().Add(perRound)))
			time.Sleep(100 * time.Millisecond)
		}
		if i > 0 { // the first warms up
			rounds = append(rounds, turn)
		}
	}
	report(b, names, rounds)
	b.Logf("resident: %d MB with an operator's file, %d MB without", with.resident(), without.resident())
}

// BenchmarkStreams tells what open streams cost: a thousand jobs that wait for their endpoints.
func BenchmarkStreams(b *testing.B) {
	release := make(chan struct{})
	workers := benchBoxesThat(b, 250, func(x *worker, c net.Conn, r *http.Request) { <-release; quick(x, c, r) })
	n := benchNode(b, "", "front \"http2\" {\n  listen = \"127.0.0.1:0\"\n  streams = 250\n}\n", workers)
	before := n.resident()
	until := time.Now().Add(2 * time.Second)
	var wait sync.WaitGroup
	for range 10 {
		wait.Go(func() {
			if _, err := load2(n.http2, 100, until); err != nil {
				b.Error(err)
			}
		})
	}
	time.Sleep(time.Until(until))
	b.Logf("resident: %d MB before, %d MB with 1,000 streams open", before, n.resident())
	close(release)
	wait.Wait()
}

// benchProgram is a dispatcher under load.
type benchProgram struct {
	cmd            *exec.Cmd
	inbound, http2 string
}

func (p *benchProgram) resident() int {
	return int(processMemory(p.cmd.Process.Pid, "VmRSS") >> 20)
}

// processMemory gives a figure of a process's memory in bytes, by its name in /proc; 0 where there is none.
func processMemory(pid int, figure string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, found := strings.Cut(string(text), figure+":")
	if err != nil || !found {
		return 0
	}
	kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	return kb << 10
}

func benchBoxes(b *testing.B) []*worker { return benchBoxesThat(b, 12, quick) }

func benchBoxesThat(b *testing.B, many int, script func(*worker, net.Conn, *http.Request)) (workers []*worker) {
	for i := range many {
		workers = append(workers, newWorker(b, fmt.Sprint("worker-", i), script))
	}
	return workers
}

func benchNode(b *testing.B, binary, operator string, workers []*worker) *benchProgram {
	n := &node{t: b, binary: binary, registry: &registry{revision: 1, workers: workers, changed: make(chan struct{})}, exited: make(chan struct{})}
	n.startHere(operator, func(config string) string {
		// Slots enough that nothing waits: the ports are measured, not the module's care for endpoints.
		return strings.Replace(config, `"probing":true`, `"probing":false`, 1)
	})
	return &benchProgram{cmd: n.cmd, inbound: strings.TrimPrefix(n.url, "http://"), http2: strings.TrimPrefix(n.h2, "http://")}
}
