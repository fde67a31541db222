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
	benchOpenRequests  = 100
	benchRoundDuration = 1200 * time.Millisecond
	benchRounds        = 7
)

// round is what came of a stretch of load.
type loadRound struct {
	jobs      int
	latencies []time.Duration
	duration  time.Duration
}

func (r *loadRound) rate() float64 { return float64(r.jobs) / r.duration.Seconds() }

func (r *loadRound) percentile(p float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(int(p*float64(len(r.latencies))), len(r.latencies)-1)]
}

var benchKeys atomic.Int64

// gather runs so many of one load side by side and adds up what came of them.
func runConcurrently(b *testing.B, many int, load func() (*loadRound, error)) *loadRound {
	var mu sync.Mutex
	var wait sync.WaitGroup
	all := &loadRound{}
	begin := time.Now()
	for range many {
		wait.Go(func() {
			mine, err := load()
			if err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			all.jobs += len(mine.latencies)
			all.latencies = append(all.latencies, mine.latencies...)
		})
	}
	wait.Wait()
	all.duration = time.Since(begin)
	return all
}

// over1 keeps jobs open over HTTP/1.1, one on each connection.
func loadHTTP1(b *testing.B, address string, until time.Time) *loadRound {
	return runConcurrently(b, benchOpenRequests, func() (*loadRound, error) { return loadHTTP1Connection(address, until) })
}

// load1 sends one job after the other on a connection.
func loadHTTP1Connection(address string, until time.Time) (*loadRound, error) {
	mine := &loadRound{}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return mine, err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for time.Now().Before(until) {
		key := strconv.FormatInt(benchKeys.Add(1), 16)
		sent := time.Now()
		fmt.Fprintf(conn, "POST /price-part HTTP/1.1\r\nHost: api.internal\r\nReq-Id: id-%s\r\nReq-Kind: price-part\r\nReq-Owner: taff-marine\r\nIdempotency-Key: %s\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 7\r\n\r\ndrawing", key, key)
		if !readHTTP1Answer(reader) {
			return mine, errors.New("no 200")
		}
		mine.latencies = append(mine.latencies, time.Since(sent))
	}
	return mine, nil
}

// answered1 reads an answer of a few bytes.
func readHTTP1Answer(reader *bufio.Reader) bool {
	status, err := reader.ReadSlice('\n')
	if err != nil || !strings.Contains(string(status), " 200 ") {
		return false
	}
	length := 0
	for {
		field, err := reader.ReadSlice('\n')
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
	_, err = reader.Discard(length)
	return err == nil
}

// over2 keeps jobs open over HTTP/2, as streams of so many connections.
func loadHTTP2(b *testing.B, address string, conns int, until time.Time) *loadRound {
	return runConcurrently(b, conns, func() (*loadRound, error) { return loadHTTP2Connection(address, benchOpenRequests/conns, until) })
}

// load2 keeps streams open on one connection. Heads are literal fields, so that they cost this side nothing.
func loadHTTP2Connection(address string, streams int, until time.Time) (*loadRound, error) {
	mine := &loadRound{}
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
	reader := bufio.NewReaderSize(conn, 64<<10)
	head := make([]byte, 9)
	unread := 0
	for {
		for now := time.Now(); open < streams && now.Before(until); {
			begin()
		}
		if len(out) > 0 && reader.Buffered() == 0 {
			if _, err := conn.Write(out); err != nil {
				return mine, err
			}
			out = out[:0]
		}
		if open == 0 {
			return mine, nil
		}
		if _, err := io.ReadFull(reader, head); err != nil {
			return mine, err
		}
		size, stream := int(head[0])<<16|int(head[1])<<8|int(head[2]), binary.BigEndian.Uint32(head[5:])
		if head[3] == 1 { // the first byte of a head is its status, of the table that all know
			if first, err := reader.ReadByte(); err != nil || first != 0x88 {
				return mine, fmt.Errorf("stream %d: no 200 (%x, %v)", stream, first, err)
			}
			size--
		}
		if head[3] == 0 {
			unread += size
		}
		if _, err := reader.Discard(size); err != nil {
			return mine, err
		}
		switch {
		case head[3] == 4 && head[4]&1 == 0:
			out = append(out, 0, 0, 0, 4, 1, 0, 0, 0, 0)
		case head[3] == 0 && head[4]&1 != 0 || head[3] == 1 && head[4]&1 != 0:
			mine.latencies = append(mine.latencies, time.Since(sent[stream]))
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
func reportRounds(b *testing.B, names []string, rounds [][]*loadRound) {
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
func BenchmarkFrontends(b *testing.B) {
	debug.SetGCPercent(400) // of the load's own
	workers := startBenchWorkers(b)
	binary := os.Getenv("BRASSDALE_BINARY") // as it is built for service; else the tests' own
	with, without := startBenchDispatcher(b, binary, http2Frontend+"keys {\n  jobs = 200000\n}\n", workers), startBenchDispatcher(b, binary, "", workers)
	names := []string{"HTTP/1.1, no operator's file", "HTTP/1.1", "HTTP/2, 1 connection", "HTTP/2, 4 connections"}
	loads := []func(time.Time) *loadRound{
		func(until time.Time) *loadRound { return loadHTTP1(b, without.http1Address, until) },
		func(until time.Time) *loadRound { return loadHTTP1(b, with.http1Address, until) },
		func(until time.Time) *loadRound { return loadHTTP2(b, with.http2Address, 1, until) },
		func(until time.Time) *loadRound { return loadHTTP2(b, with.http2Address, 4, until) },
	}
	if base := os.Getenv("BRASSDALE_BASE"); base != "" {
		old := startBenchDispatcher(b, base, "", workers)
		names = append(names, "HTTP/1.1, binary before")
		loads = append(loads, func(until time.Time) *loadRound { return loadHTTP1(b, old.http1Address, until) })
	}
	var rounds [][]*loadRound
	for i := range benchRounds + 1 {
		var turn []*loadRound
		for _, load := range loads {
			turn = append(turn, load(time.Now().Add(benchRoundDuration)))
			time.Sleep(100 * time.Millisecond)
		}
		if i > 0 { // the first warms up
			rounds = append(rounds, turn)
		}
	}
	reportRounds(b, names, rounds)
	b.Logf("resident: %d MB with an operator's file, %d MB without", with.residentMB(), without.residentMB())
}

// BenchmarkStreams tells what open streams cost: a thousand jobs that wait for their endpoints.
func BenchmarkOpenStreams(b *testing.B) {
	release := make(chan struct{})
	workers := startBenchWorkersWith(b, 250, func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeAtOnce(worker, conn, r) })
	program := startBenchDispatcher(b, "", "front \"http2\" {\n  listen = \"127.0.0.1:0\"\n  streams = 250\n}\n", workers)
	before := program.residentMB()
	until := time.Now().Add(2 * time.Second)
	var wait sync.WaitGroup
	for range 10 {
		wait.Go(func() {
			if _, err := loadHTTP2Connection(program.http2Address, 100, until); err != nil {
				b.Error(err)
			}
		})
	}
	time.Sleep(time.Until(until))
	b.Logf("resident: %d MB before, %d MB with 1,000 streams open", before, program.residentMB())
	close(release)
	wait.Wait()
}

// benchProgram is a dispatcher under load.
type benchProgram struct {
	command                    *exec.Cmd
	http1Address, http2Address string
}

func (p *benchProgram) residentMB() int {
	return int(processMemory(p.command.Process.Pid, "VmRSS") >> 20)
}

func startBenchWorkers(b *testing.B) []*testWorker {
	return startBenchWorkersWith(b, 12, completeAtOnce)
}

func startBenchWorkersWith(b *testing.B, many int, script jobHandler) (workers []*testWorker) {
	for i := range many {
		workers = append(workers, startWorker(b, fmt.Sprint("worker-", i), script))
	}
	return workers
}

func startBenchDispatcher(b *testing.B, binary, operator string, workers []*testWorker) *benchProgram {
	dispatcher := newTestDispatcher(b, newTestDiscovery(workers...))
	dispatcher.binary = binary
	dispatcher.start(operator, func(config string) string {
		// Slots enough that nothing waits: the ports are measured, not the module's care for endpoints.
		return strings.Replace(config, `"probing":true`, `"probing":false`, 1)
	})
	return &benchProgram{command: dispatcher.command, http1Address: strings.TrimPrefix(dispatcher.http1URL, "http://"), http2Address: strings.TrimPrefix(dispatcher.http2URL, "http://")}
}
