package soak

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	maxSignalPause  = 100 * time.Millisecond // between the signals of a series, and until TermAtStart
	reloadPause     = 20 * time.Millisecond  // between the signals of ReloadsThenTerm: all come within 50 ms
	busyConnections = 12                     // that clients use until their process is gone
	pipelinedEvery  = 4                      // of these, one in so many carries two requests at once
	maxThinkTime    = 30 * time.Millisecond  // of their clients between an answer and the next request
	busyStart       = 300 * time.Millisecond // for which they are used before the first signal
)

// playSignalEvent plays a series of signals to a dispatcher's process, while clients use the connections that it leaves open.
func (r *run) playSignalEvent(event Event) error {
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

// reloadBadConfig reloads a configuration that is none, and then a good one. It does nothing while a restart is in progress.
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
	if _, err := d.launchAlone(); err != nil {
		return err
	}
	time.Sleep(pause)
	d.terminate()
	d.awaitEnd()
	return d.start()
}

// handOver starts a successor beside the process, which gets SIGTERM after a pause. A run in which requests last for longer than a shutdown, or
// whose system calls fail, has a plain restart instead: clients cannot tell which of the two processes has their connection.
func (d *dispatcherProcess) handOver(pause time.Duration) error {
	if d.plan.Deadline > maxCountedDeadline || d.plan.SystemCallFaults != "" {
		return d.terminateAndRestart()
	}
	if !d.restarting.TryLock() {
		return nil
	}
	defer d.restarting.Unlock()
	predecessor := d.detach()
	run, err := d.launch(d.temporary)
	if err != nil {
		return err
	}
	time.Sleep(pause)
	predecessor.terminate()
	var ending sync.WaitGroup
	ending.Go(predecessor.awaitEnd)
	d.awaitReady(run)
	ending.Wait()
	return nil
}

// detach returns the process that runs now, to be signalled while the dispatcher has another.
func (d *dispatcherProcess) detach() *dispatcherProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &dispatcherProcess{plan: d.plan, record: d.record, processRun: d.processRun, pid: d.pid, exited: d.exited}
}

// useConnections has clients use connections of the process that runs now, each without a pause for longer than maxThinkTime, until the
// process is gone or closes them. The returned function waits for that. stream makes the draws differ from those of other events.
func (c *clientGroup) useConnections(stream time.Duration) (wait func()) {
	run, up := c.dispatcher.current()
	if !up {
		return func() {}
	}
	var using sync.WaitGroup
	for i := range busyConnections {
		random := rand.New(rand.NewPCG(c.plan.Seed, uint64(stream)+uint64(i)))
		using.Go(func() { c.useConnection(run, i%pipelinedEvery == 0, random) })
	}
	time.Sleep(busyStart)
	return using.Wait
}

// useConnection sends requests on a connection, and on another one once that may carry no more, until the process is gone or refuses new ones.
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
