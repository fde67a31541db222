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

// The load of these benchmarks is a closed loop: benchOpenRequests are open at a time, and each answer is followed by the next request.
// Only the ratios are meaningful, because the loads run in turns on the same machine; absolute figures depend on the machine.
const (
	benchOpenRequests  = 100
	benchRoundDuration = 1200 * time.Millisecond
	benchRounds        = 7
)

// loadRound is the result of a load that ran for benchRoundDuration.
type loadRound struct {
	latencies []time.Duration // of each request
	duration  time.Duration
}

// rate returns requests per second.
func (r *loadRound) rate() float64 { return float64(len(r.latencies)) / r.duration.Seconds() }

// percentile returns the latency within which this fraction of the requests was answered; 0 without requests.
func (r *loadRound) percentile(fraction float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(int(fraction*float64(len(r.latencies))), len(r.latencies)-1)]
}

// benchKeys numbers the keys of all requests.
var benchKeys atomic.Int64

// nextBenchKey returns an unused key.
func nextBenchKey() string { return strconv.FormatInt(benchKeys.Add(1), 16) }

// runConcurrently runs a load of one connection on this number of connections at once, and returns the combined results.
func runConcurrently(b *testing.B, connections int, load func() ([]time.Duration, error)) *loadRound {
	b.Helper()
	var mu sync.Mutex
	var loads sync.WaitGroup
	all := &loadRound{}
	beganAt := time.Now()
	for range connections {
		loads.Go(func() {
			latencies, err := load()
			if err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			all.latencies = append(all.latencies, latencies...)
		})
	}
	loads.Wait()
	all.duration = time.Since(beganAt)
	return all
}

// loadHTTP1 keeps benchOpenRequests open over HTTP/1.1, one per connection.
func loadHTTP1(b *testing.B, address string, until time.Time) *loadRound {
	b.Helper()
	return runConcurrently(b, benchOpenRequests, func() ([]time.Duration, error) { return loadHTTP1Connection(address, until) })
}

// loadHTTP1Connection sends one request after the other on a connection.
func loadHTTP1Connection(address string, until time.Time) (latencies []time.Duration, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for time.Now().Before(until) {
		key := nextBenchKey()
		sentAt := time.Now()
		fmt.Fprintf(conn, "POST /price-part HTTP/1.1\r\nHost: api.internal\r\nReq-Id: id-%s\r\nReq-Kind: price-part\r\nReq-Owner: taff-marine\r\nIdempotency-Key: %s\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 7\r\n\r\ndrawing", key, key)
		if !readServedHTTP1(reader) {
			return latencies, errors.New("no complete answer with status 200")
		}
		latencies = append(latencies, time.Since(sentAt))
	}
	return latencies, nil
}

// readServedHTTP1 reads a short answer and reports whether its status is 200.
func readServedHTTP1(reader *bufio.Reader) bool {
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

// loadHTTP2 keeps benchOpenRequests open over HTTP/2, as streams of this number of connections.
func loadHTTP2(b *testing.B, address string, connections int, until time.Time) *loadRound {
	b.Helper()
	return runConcurrently(b, connections, func() ([]time.Duration, error) {
		return loadHTTP2Connection(address, benchOpenRequests/connections, until)
	})
}

const (
	frameHeaderSize  = 9
	hpackMethodPOST  = 0x83 // indexed fields of HPACK's static table
	hpackSchemeHTTP  = 0x86
	hpackStatus200   = 0x88
	windowUpdateSize = 16 << 10 // received bytes after which the connection's flow control window is extended
)

// http2Load is a load over one HTTP/2 connection. Header fields are sent as literals, which cost the client little processor time.
type http2Load struct {
	out        []byte               // frames to write
	nextStream uint32               // the next stream's ID
	sentAt     map[uint32]time.Time // of the open streams
	unread     int                  // received bytes of data for which the flow control window is not extended yet
	latencies  []time.Duration
}

// loadHTTP2Connection keeps this number of streams open on a connection until the given time, and returns when all are answered.
func loadHTTP2Connection(address string, streams int, until time.Time) ([]time.Duration, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	load := &http2Load{nextStream: 1, sentAt: map[uint32]time.Time{}}
	io.WriteString(conn, h2.ClientPreface)
	conn.Write(appendFrameHeader(nil, 0, h2.FrameSettings, 0, 0))
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		for now := time.Now(); len(load.sentAt) < streams && now.Before(until); {
			load.appendRequest()
		}
		if len(load.out) > 0 && reader.Buffered() == 0 {
			if _, err := conn.Write(load.out); err != nil {
				return load.latencies, err
			}
			load.out = load.out[:0]
		}
		if len(load.sentAt) == 0 {
			return load.latencies, nil
		}
		if err := load.readFrame(reader); err != nil {
			return load.latencies, err
		}
	}
}

// appendFrameHeader appends the header of a frame.
func appendFrameHeader(out []byte, size int, frame h2.FrameType, flags h2.Flags, stream uint32) []byte {
	out = append(out, byte(size>>16), byte(size>>8), byte(size), byte(frame), byte(flags))
	return binary.BigEndian.AppendUint32(out, stream)
}

// appendRequest opens a stream with a complete request.
func (l *http2Load) appendRequest() {
	key := nextBenchKey()
	block := []byte{hpackMethodPOST, hpackSchemeHTTP}
	for _, field := range [...][2]string{{":path", "/price-part"}, {":authority", "api.internal"}, {"req-id", "id-" + key}, {"req-kind", "price-part"},
		{"req-owner", "taff-marine"}, {"idempotency-key", key}, {"req-deadline-ms", "5000"}, {"content-length", "7"}} {
		block = append(append(block, 0, byte(len(field[0]))), field[0]...)
		block = append(append(block, byte(len(field[1]))), field[1]...)
	}
	l.out = appendFrameHeader(l.out, len(block), h2.FrameHeaders, h2.FlagHeadersEndHeaders, l.nextStream)
	l.out = append(l.out, block...)
	l.out = appendFrameHeader(l.out, len("drawing"), h2.FrameData, h2.FlagDataEndStream, l.nextStream)
	l.out = append(l.out, "drawing"...)
	l.sentAt[l.nextStream] = time.Now()
	l.nextStream += 2
}

// readFrame reads a frame and appends the frames that answer it.
func (l *http2Load) readFrame(reader *bufio.Reader) error {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return err
	}
	size, stream := int(header[0])<<16|int(header[1])<<8|int(header[2]), binary.BigEndian.Uint32(header[5:])
	frame, flags := h2.FrameType(header[3]), h2.Flags(header[4])
	switch frame {
	case h2.FrameHeaders: // its first byte is the status
		if first, err := reader.ReadByte(); err != nil || first != hpackStatus200 {
			return fmt.Errorf("stream %d: want the header byte of status 200, got %x, error %v", stream, first, err)
		}
		size--
	case h2.FrameData:
		l.unread += size
	}
	if _, err := reader.Discard(size); err != nil {
		return err
	}
	switch {
	case frame == h2.FrameSettings && !flags.Has(h2.FlagSettingsAck):
		l.out = appendFrameHeader(l.out, 0, h2.FrameSettings, h2.FlagSettingsAck, 0)
	case frame == h2.FrameData && flags.Has(h2.FlagDataEndStream), frame == h2.FrameHeaders && flags.Has(h2.FlagHeadersEndStream):
		l.latencies = append(l.latencies, time.Since(l.sentAt[stream]))
		delete(l.sentAt, stream)
	case frame == h2.FrameRSTStream, frame == h2.FrameGoAway:
		return fmt.Errorf("stream %d: unexpected frame %s", stream, frame)
	}
	if l.unread > windowUpdateSize {
		l.out = appendFrameHeader(l.out, 4, h2.FrameWindowUpdate, 0, 0)
		l.out = binary.BigEndian.AppendUint32(l.out, uint32(l.unread))
		l.unread = 0
	}
	return nil
}

// reportRounds logs the medians of rounds that ran in turns, and of the ratios to the first load within each turn.
func reportRounds(b *testing.B, names []string, rounds [][]*loadRound) {
	b.Helper()
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

// median returns the middle value.
func median[T int | float64 | time.Duration](values []T) T {
	values = slices.Clone(values)
	slices.Sort(values)
	return values[len(values)/2]
}

// BenchmarkFrontends compares the frontends of one program by requests whose jobs are answered at once. The dispatcher has one core. With
// BRASSDALE_BASE it also measures the HTTP/1.1 frontend of that binary; BRASSDALE_BINARY should then name the binary to compare with it.
func BenchmarkFrontends(b *testing.B) {
	debug.SetGCPercent(400) // of the load generator, not of the program under test
	workers := startWorkers(b, 12, completeAtOnce)
	binary := os.Getenv("BRASSDALE_BINARY") // a production build; empty for the test binary
	with, without := startBenchDispatcher(b, binary, http2Frontend+"keys {\n  jobs = 200000\n}\n", workers), startBenchDispatcher(b, binary, "", workers)
	names := []string{"HTTP/1.1, no operator's file", "HTTP/1.1", "HTTP/2, 1 connection", "HTTP/2, 4 connections"}
	loads := []func(time.Time) *loadRound{
		func(until time.Time) *loadRound { return loadHTTP1(b, without.http1Address, until) },
		func(until time.Time) *loadRound { return loadHTTP1(b, with.http1Address, until) },
		func(until time.Time) *loadRound { return loadHTTP2(b, with.http2Address, 1, until) },
		func(until time.Time) *loadRound { return loadHTTP2(b, with.http2Address, 4, until) },
	}
	if base := os.Getenv("BRASSDALE_BASE"); base != "" {
		before := startBenchDispatcher(b, base, "", workers)
		names = append(names, "HTTP/1.1, binary before")
		loads = append(loads, func(until time.Time) *loadRound { return loadHTTP1(b, before.http1Address, until) })
	}
	var rounds [][]*loadRound
	for i := range benchRounds + 1 {
		var turn []*loadRound
		for _, load := range loads {
			turn = append(turn, load(time.Now().Add(benchRoundDuration)))
			time.Sleep(100 * time.Millisecond)
		}
		if i > 0 { // the first turn is a warmup
			rounds = append(rounds, turn)
		}
	}
	reportRounds(b, names, rounds)
	b.Logf("resident: %d MB with an operator's file, %d MB without", with.residentMB(), without.residentMB())
}

// BenchmarkOpenStreams measures the memory of 1,000 open streams whose jobs wait at their workers.
func BenchmarkOpenStreams(b *testing.B) {
	release := make(chan struct{})
	workers := startWorkers(b, 250, func(worker *testWorker, conn net.Conn, r *http.Request) {
		<-release
		completeAtOnce(worker, conn, r)
	})
	program := startBenchDispatcher(b, "", "front \"http2\" {\n  listen = \"127.0.0.1:0\"\n  streams = 250\n}\n", workers)
	before := program.residentMB()
	until := time.Now().Add(2 * time.Second)
	var loads sync.WaitGroup
	for range 10 {
		loads.Go(func() {
			if _, err := loadHTTP2Connection(program.http2Address, 100, until); err != nil {
				b.Error(err)
			}
		})
	}
	time.Sleep(time.Until(until))
	b.Logf("resident: %d MB before, %d MB with 1,000 streams open", before, program.residentMB())
	close(release)
	loads.Wait()
}

// benchProgram is a dispatcher under load.
type benchProgram struct {
	command                    *exec.Cmd
	http1Address, http2Address string
}

// residentMB returns the resident memory of the process.
func (p *benchProgram) residentMB() int {
	return int(processMemory(p.command.Process.Pid, "VmRSS") >> 20)
}

// startBenchDispatcher starts a dispatcher from a binary; empty for the test binary.
func startBenchDispatcher(b *testing.B, binary, operator string, workers []*testWorker) *benchProgram {
	dispatcher := newTestDispatcher(b, newTestDiscovery(workers...))
	dispatcher.binary = binary
	// Without probes no request waits for capacity, so the benchmark measures the frontends and not the placement of requests.
	dispatcher.start(operator, withSetting(`"probing":true`, `"probing":false`))
	return &benchProgram{
		command:      dispatcher.command,
		http1Address: strings.TrimPrefix(dispatcher.http1URL, "http://"),
		http2Address: strings.TrimPrefix(dispatcher.http2URL, "http://"),
	}
}
