package soak

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	maxSignalPause  = 100 * time.Millisecond // between the signals of a series; from the start to SIGTERM for TermAtStart
	reloadPause     = 20 * time.Millisecond  // between the signals of ReloadsThenTerm: all come within 50 ms
	busyConnections = 12                     // that clients use until their process has ended
	pipelinedEvery  = 4                      // one in this many busy connections carries two requests at once
	maxThinkTime    = 30 * time.Millisecond  // from an answer to the client's next request
	busyLeadTime    = 300 * time.Millisecond // connections are used for this long before the first signal
)

// runSignalEvent sends a series of signals to a dispatcher's process, while clients use the connections that it leaves open.
func (r *run) runSignalEvent(event Event) error {
	process := r.dispatchers[event.Target]
	switch event.Kind {
	case BadReload:
		return process.reloadBadConfig(event.Step)
	case TermAtStart:
		return process.terminateAtStart(event.Step)
	}
	defer r.clients[event.Target].useConnections(event.At)()
	switch event.Kind {
	case UseUntilKill:
		return process.terminateAndRestart()
	case ReloadsThenTerm:
		return process.endAndRestart(func() {
			process.signal(syscall.SIGHUP)
			time.Sleep(reloadPause)
			process.signal(syscall.SIGHUP)
			time.Sleep(reloadPause)
			process.terminate()
		})
	case TermTwice:
		return process.endAndRestart(func() {
			process.terminate()
			time.Sleep(event.Step)
			process.terminate()
		})
	case TermAtHandover:
		return process.handOver(event.Step)
	}
	return nil
}

// reloadBadConfig reloads an invalid configuration, and then a valid one. It does nothing while a restart is in progress.
func (d *dispatcherProcess) reloadBadConfig(pause time.Duration) error {
	if !d.restarting.TryLock() {
		return nil
	}
	defer d.restarting.Unlock()
	if err := os.WriteFile(d.configPath(), []byte(`{"name":`), 0o600); err != nil {
		return err
	}
	d.signal(syscall.SIGHUP)
	time.Sleep(pause)
	return d.reload()
}

// terminateAtStart kills the process, starts it, ends the new one after a pause, and starts it again. It does nothing while another restart
// is in progress.
func (d *dispatcherProcess) terminateAtStart(pause time.Duration) error {
	if !d.restarting.TryLock() {
		return nil
	}
	defer d.restarting.Unlock()
	d.kill()
	if _, err := d.launchInNewDirectory(); err != nil {
		return err
	}
	time.Sleep(pause)
	d.terminate()
	d.awaitEnd()
	return d.start()
}

// handOver starts a successor next to the running process, which gets SIGTERM after a pause. If requests may last longer than a shutdown, or
// system call faults are injected, it does a plain restart instead, as clients cannot tell which of the two processes has their connection.
func (d *dispatcherProcess) handOver(pause time.Duration) error {
	if d.plan.Deadline > maxCountedDeadline || d.plan.SystemCallFaults != "" {
		return d.terminateAndRestart()
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
	time.Sleep(pause)
	predecessor.terminate()
	var shutdown sync.WaitGroup
	shutdown.Go(predecessor.awaitEnd)
	d.awaitReady(run)
	shutdown.Wait()
	return nil
}

// detach returns the running process as a dispatcherProcess of its own, so that it can be signalled after the dispatcher has started another.
func (d *dispatcherProcess) detach() *dispatcherProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &dispatcherProcess{plan: d.plan, record: d.record, processRun: d.processRun, pid: d.pid, exited: d.exited}
}

// useConnections starts clients that use connections of the running process, with pauses below maxThinkTime, until the process has ended or
// accepts no more connections. The returned function waits until the clients have finished. The parameter stream seeds the draws, so that
// they differ from the draws of other events.
func (c *clientGroup) useConnections(stream time.Duration) (wait func()) {
	run, up := c.dispatcher.current()
	if !up {
		return func() {}
	}
	var clients sync.WaitGroup
	for i := range busyConnections {
		random := rand.New(rand.NewPCG(c.plan.Seed, uint64(stream)+uint64(i)))
		clients.Go(func() { c.useConnection(run, i%pipelinedEvery == 0, random) })
	}
	time.Sleep(busyLeadTime)
	return clients.Wait
}

// useConnection sends requests on a connection, until the process has ended or accepts no new connection. If the connection may carry no more
// requests, it opens another.
func (c *clientGroup) useConnection(run *ProcessRun, pipelined bool, random *rand.Rand) {
	var conn *clientConn
	for c.isRunning(run) {
		if conn == nil {
			if conn = c.connection(run.Number, true); conn == nil {
				return
			}
		}
		request, text := c.newRequest(run.Number)
		request.ConnectionReused = conn.reused
		send := c.sendPlain
		if pipelined {
			send = c.sendPipelined
		}
		mayContinue := send(conn, run, request, text)
		c.record.addRequest(request)
		if conn.reused = true; !mayContinue {
			conn = nil
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxThinkTime))))
	}
	if conn != nil {
		_ = conn.Close() // its outcome is recorded already
	}
}

// isRunning reports whether a process has not ended.
func (c *clientGroup) isRunning(run *ProcessRun) (running bool) {
	c.record.locked(func() { running = run.EndedAt.IsZero() })
	return running
}
