package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Clients that misuse the ports of a dispatcher beside its other clients, and a predecessor that is silent during a handover.

const (
	slowCrowdSize     = 120                    // clients of SlowCrowd
	slowCrowdPause    = 100 * time.Millisecond // of a client before it connects again
	slowCrowdPatience = 3500 * time.Millisecond
	floodBatch        = 50 // requests that a client of Flood writes at a time
	returnInterval    = 30 * time.Millisecond
	maxStay           = 300 * time.Millisecond // before a client of KeysReturn leaves
	maxAbsence        = 800 * time.Millisecond // before its key comes again
	silenceTime       = 800 * time.Millisecond // of a predecessor
	memorySampling    = 100 * time.Millisecond
	shortFieldBytes   = 7000
	halfBodyBytes     = 32 << 10
	http2Streams      = 50 // that a client of SlowCrowd opens
)

// joinSlowCrowd lets clients connect to the HTTP/1.1 and the HTTP/2 port, write a part of a request, and connect again when they are
// disconnected, until a time.
func (c *clientGroup) joinSlowCrowd(ctx context.Context, until time.Time) {
	parts := [][]byte{halfBody(), shortFields(), openStreams()}
	var clients sync.WaitGroup
	for i := range slowCrowdSize {
		part, address := parts[i%len(parts)], c.dispatcher.listen
		if i%len(parts) == len(parts)-1 {
			address = c.dispatcher.http2Port.address
		}
		clients.Go(func() {
			for time.Now().Before(until) && ctx.Err() == nil {
				writePart(address, part, until)
				time.Sleep(slowCrowdPause)
			}
		})
	}
	clients.Wait()
}

// writePart connects, writes a part of a request, and stays until it is disconnected or its patience or the time is over.
func writePart(address string, part []byte, until time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // its request is not judged
	deadline := time.Now().Add(slowCrowdPatience)
	if until.Before(deadline) {
		deadline = until
	}
	_ = conn.SetDeadline(deadline)
	if _, err := conn.Write(part); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// halfBody returns half of a request with a large body.
func halfBody() []byte {
	return []byte("POST /" + className + " HTTP/1.1\r\nHost: api\r\nReq-Id: half\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", halfBodyBytes))
}

// shortFields returns most of a head of very many short fields.
func shortFields() []byte {
	var text bytes.Buffer
	text.WriteString("POST /" + className + " HTTP/1.1\r\nHost: api\r\n")
	for i := 0; text.Len() < shortFieldBytes; i++ {
		fmt.Fprintf(&text, "x%d:\r\n", i)
	}
	return text.Bytes()
}

// openStreams returns HTTP/2 streams whose requests lack their bodies.
func openStreams() []byte {
	var text, block bytes.Buffer
	text.WriteString(http2.ClientPreface)
	framer, encoder := http2.NewFramer(&text, nil), hpack.NewEncoder(&block)
	_ = framer.WriteSettings() // a bytes.Buffer returns no error, nor do the calls below
	for i := range uint32(http2Streams) {
		block.Reset()
		for _, field := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":authority", "api"}, {":path", "/" + className},
			{"req-id", fmt.Sprint("open-", i)}, {"content-length", "1"}} {
			_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
		}
		_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: block.Bytes(), EndHeaders: true})
	}
	return text.Bytes()
}

// flood writes health checks on one connection without waiting for the answers, until a time.
func (c *clientGroup) flood(ctx context.Context, until time.Time) {
	batch := bytes.Repeat([]byte("GET /health/ready HTTP/1.1\r\nHost: api\r\n\r\n"), floodBatch)
	for time.Now().Before(until) && ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.dispatcher.listen, time.Second)
		if err != nil {
			time.Sleep(slowCrowdPause)
			continue
		}
		_ = conn.SetDeadline(until)
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for err == nil {
			_, err = conn.Write(batch)
		}
		_ = conn.Close() // its requests are not judged
	}
}

// returnKeys lets clients leave soon after their requests, and send the same key with another request later, until a time. The parameter stream
// seeds the draws.
func (c *clientGroup) returnKeys(ctx context.Context, until time.Time, stream time.Duration) {
	if c.plan.Idempotency != IdempotentWithKey {
		return
	}
	var clients sync.WaitGroup
	for i := uint64(0); time.Now().Before(until) && ctx.Err() == nil; i++ {
		random := rand.New(rand.NewPCG(c.plan.Seed, uint64(stream)+i))
		clients.Go(func() { c.returnKey(random) })
		time.Sleep(returnInterval)
	}
	clients.Wait()
}

// returnKey sends a request, leaves, and sends its key again.
func (c *clientGroup) returnKey(random *rand.Rand) {
	stay, absence := time.Duration(random.Int64N(int64(maxStay))), time.Duration(random.Int64N(int64(maxAbsence)))
	run, up := c.dispatcher.current()
	if !up {
		return
	}
	conn := c.connection(run.Number, true)
	if conn == nil {
		return
	}
	first, text := c.newRequest(run.Number)
	c.writeAndLeave(conn, first, text, false, stay)
	c.record.addRequest(first)
	time.Sleep(absence)
	if conn = c.connection(run.Number, true); conn == nil {
		return
	}
	again, text := c.newRequest(run.Number)
	again.ReturnedKey = "k" + first.ID
	text = bytes.Replace(text, []byte("Idempotency-Key: k"+again.ID), []byte("Idempotency-Key: "+again.ReturnedKey), 1)
	c.write(conn, text, again)
	c.readAndRelease(conn, again)
	c.record.addRequest(again)
}

// handOverSilently replaces the process while it is stopped for silenceTime after its successor serves.
func (d *dispatcherProcess) handOverSilently() error {
	if d.plan.Deadline > maxCountedDeadline || d.plan.SystemCallFaults != "" {
		return d.terminateAndRestart() // as handOver
	}
	if !d.restarting.TryLock() {
		return nil
	}
	defer d.restarting.Unlock()
	predecessor := d.detach()
	run, err := d.launch(d.tempDir)
	if err != nil {
		return err
	}
	d.awaitReady(run)
	predecessor.signal(syscall.SIGSTOP)
	time.Sleep(min(silenceTime, d.plan.Deadline/2))
	predecessor.signal(syscall.SIGCONT)
	predecessor.terminate()
	predecessor.awaitEnd()
	return nil
}

// samplePeakMemory records the peak of the process's resident memory until it has exited.
func samplePeakMemory(pid int, run *ProcessRun, record *Record, exited <-chan struct{}) {
	ticker := time.NewTicker(memorySampling)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
		if peak := peakMemory(pid); peak > 0 {
			record.locked(func() { run.PeakMemory = peak })
		}
	}
}

// peakMemory returns the peak of a process's resident memory in bytes, 0 if it cannot be read.
func peakMemory(pid int) int64 {
	const kilobyte = 1 << 10
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	if fields := strings.Fields(rest); found && len(fields) > 0 {
		kilobytes, _ := strconv.ParseInt(fields[0], 10, 64) // 0 on an error
		return kilobytes * kilobyte
	}
	return 0
}
