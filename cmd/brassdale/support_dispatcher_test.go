// The tests of this directory start the program as real processes on loopback, with scripted stand-ins for workers and discovery. A test
// of a process looks like this:
//
//	func TestRequest_whatItShows(t *testing.T) {
//		t.Parallel()
//		worker := startWorker(t, "a", completeJob)   // or another jobHandler
//		dispatcher := startDispatcher(t, "", worker) // the process is ready
//		status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "key-1"))
//		if status != http.StatusOK || worker.runsOf("key-1") != 1 {
//			t.Errorf("status %d after %d runs, want 200 after 1", status, worker.runsOf("key-1"))
//		}
//		dispatcher.waitForLog("msg=ready") // waits up to 10 s; never sleep for a fixed time instead
//	}
//
// Functions that start a dispatcher:
//
//   - startDispatcher: the default. Discovery lists the workers, the operator's file may be empty.
//   - startDispatcherWith: the same with a change of the platform's file, such as withSetting or withLongDeadline.
//   - newTestDispatcher, then start: where discovery, descriptorLimit, tempDir or binary has to be set before the start.
//   - startWithConfig: the test has its own discovery and writes the complete platform's file.
//   - newTestDispatcher, then startProcess: the process is expected to exit or not to become ready. startProcess does not wait for it.
//   - startSuccessor: a second process with the same platform's file while the first still runs, for a handover.
//   - startAgain: another process with the same discovery and $TMPDIR, with another platform's file or after the first has ended.
//   - startFromCache, startWhileDiscoveryFails: the first endpoint list comes from the endpoint cache.
//   - startFleet, startFleetWith: several dispatchers with a raft group, each with a directory of its own.
//   - startBenchDispatcher: in benchmarks; the program may be another build.
//
// All of these register a cleanup. It sends each process SIGKILL and waits for its end, so a test of a shutdown calls terminate and
// waitForExit itself. It then reports the log as a test error if the test has failed or the log contains "panic" or "DATA RACE", so tests
// need not search the log for these. Workers stop listening, connections to discovery are closed, and directories are removed.

package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the tests. If BRASSDALE_CHILD is set, it runs the program instead: tests start this binary as real processes.
func TestMain(m *testing.M) {
	if os.Getenv("BRASSDALE_CHILD") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// settingsJSON is the block "settings" of the platform's file. Durations are in microseconds.
const settingsJSON = `{"classes":[{"aim":200000,"credit":1,"deadline":5000000,"dedupScope":"cell","effect":"keyed","lateWorth":0.1,"name":"price-part","window":7500000}],
"discovery":"ask","familyInfo":{"classKind":[-1],"classStretch":[2.5],"progress":2000000,"tellsStart":true},"flavors":["new-worker"],
"limits":{"cancel":true,"connIdle":10000000,"connectTimeout":200000,"maxAttempts":4,"maxRetryAfter":2000000,"mayDuplicate":true,"probing":true,"retryAfter":true,"newKey":1},
"loadReport":{"columns":["cpu_share","pending","x0","x1"],"via":"pull"},"replicasOfMe":1,
"rules":{"answerSlack":8000,"askWithin":10000000,"cold":24000000,"drainGrace":500000,"fall":1500000,"startCapacity":0.14,"tipMultiple":3},"zones":["llanelli"]}`

// testDispatcher is a process of the program under test. Its log is an error of the test if the test fails, or if the process
// panics or has a data race.
type testDispatcher struct {
	t                  testing.TB
	binary             string // path of the program; empty for the tests' own binary
	command            *exec.Cmd
	discovery          *testDiscovery
	configPath, config string // path of the platform's file; its text at the start
	operatorPath       string // path of the operator's file
	descriptorLimit    int    // limit of file descriptors of the process; 0 for the limit of the test process
	tempDir            string // $TMPDIR of the process

	// URLs of the frontends, from the addresses in the log; empty where a frontend is off.
	http1URL, http2URL, progressURL, adminURL string

	mu      sync.Mutex
	logText strings.Builder
	exited  chan struct{} // closed when the process has ended
}

// newTestDispatcher returns a dispatcher whose process is not started yet.
func newTestDispatcher(t testing.TB, discovery *testDiscovery) *testDispatcher {
	return &testDispatcher{t: t, discovery: discovery, exited: make(chan struct{})}
}

// startDispatcher starts discovery with a list of workers, and a dispatcher. If operator is empty, the dispatcher has no operator's file.
func startDispatcher(t *testing.T, operator string, workers ...*testWorker) *testDispatcher {
	t.Helper()
	return startDispatcherWith(t, operator, func(config string) string { return config }, workers...)
}

// startDispatcherWith is startDispatcher with a change of the platform's file before the start.
func startDispatcherWith(t *testing.T, operator string, change func(string) string, workers ...*testWorker) *testDispatcher {
	t.Helper()
	dispatcher := newTestDispatcher(t, newTestDiscovery(workers...))
	dispatcher.start(operator, change)
	return dispatcher
}

// start starts discovery and the process, and waits until it is ready.
func (d *testDispatcher) start(operator string, change func(string) string) {
	d.t.Helper()
	discovery := httptest.NewServer(d.discovery)
	d.t.Cleanup(discovery.CloseClientConnections)
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		discovery.Listener.Addr(), d.discovery.listJSON(), settingsJSON)
	d.startProcess(change(config), operator)
	d.waitUntilReady()
}

// withSetting returns a change of the platform's file that replaces the first occurrence of a text. It panics if the file lacks the text.
func withSetting(old, new string) func(config string) string {
	return func(config string) string {
		if !strings.Contains(config, old) {
			panic(fmt.Sprintf("the platform's file has no %s", old))
		}
		return strings.Replace(config, old, new, 1)
	}
}

// withLongDeadline is a change of the platform's file to a deadline of 60 s, so that no request reaches its deadline during a test.
var withLongDeadline = withSetting(`"deadline":5000000`, `"deadline":60000000`)

// startWithConfig starts a dispatcher with this text as the platform's file, and waits until it is ready.
func startWithConfig(t testing.TB, config string) *testDispatcher {
	t.Helper()
	dispatcher := newTestDispatcher(t, nil)
	dispatcher.startProcess(config, "")
	dispatcher.waitUntilReady()
	return dispatcher
}

// waitUntilReady waits until the process accepts clients, and sets the URLs.
func (d *testDispatcher) waitUntilReady() {
	d.t.Helper()
	d.waitFor("readiness", func() bool {
		d.http1URL, d.progressURL, d.adminURL = d.frontendURL("inbound"), d.frontendURL("progress"), d.frontendURL("admin")
		d.http2URL = d.frontendURL("http2")
		return d.http1URL != "" && strings.Contains(d.log(), "msg=ready")
	})
}

// startSuccessor starts another process with the same platform's file while this one runs, as the platform does for a handover.
func (d *testDispatcher) startSuccessor(operator string) *testDispatcher {
	d.t.Helper()
	return d.startAgain(d.config, operator)
}

// startAgain starts another process with this one's discovery and $TMPDIR, and waits until it is ready.
func (d *testDispatcher) startAgain(config, operator string) *testDispatcher {
	d.t.Helper()
	other := newTestDispatcher(d.t, d.discovery)
	other.tempDir = d.tempDir
	other.startProcess(config, operator)
	other.waitUntilReady()
	return other
}

// waitForHandovers waits until the process has completed this number of handovers since its start.
func (d *testDispatcher) waitForHandovers(count int) {
	d.t.Helper()
	d.waitFor(fmt.Sprint(count, " handovers"), func() bool { return strings.Count(d.log(), "handover complete") == count })
}

// waitForPredecessorEnd waits until this successor has logged the end of its predecessor.
func (d *testDispatcher) waitForPredecessorEnd() {
	d.t.Helper()
	d.waitForLog("predecessor ended")
}

// startProcess writes the files and starts the process, which is killed at the end of the test.
func (d *testDispatcher) startProcess(config, operator string) {
	dir := d.t.TempDir()
	d.configPath, d.config = filepath.Join(dir, "config.json"), config
	if d.binary == "" {
		d.binary = os.Args[0]
	}
	d.command = exec.Command(d.binary)
	if operator != "" {
		file := filepath.Join(dir, "operator.hcl")
		d.writeFile(file, operator)
		d.command.Args = append(d.command.Args, "serve", "--operator", file)
	}
	d.writeFile(d.configPath, config)
	if d.tempDir == "" {
		d.tempDir = d.t.TempDir()
	}
	d.operatorPath = filepath.Join(dir, "operator.hcl")
	if d.descriptorLimit > 0 {
		limit := fmt.Sprintf("ulimit -n %d; exec \"$@\"", d.descriptorLimit)
		d.command = exec.Command("sh", append([]string{"-c", limit, "sh"}, d.command.Args...)...)
	}
	d.command.Env = append(os.Environ(), "BRASSDALE_CHILD=1", "GW_CONFIG="+d.configPath, "TMPDIR="+d.tempDir, "GW_ADMIN=127.0.0.1:0")
	d.command.Stderr = d
	if err := d.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() { d.command.Wait(); close(d.exited) }()
	d.t.Cleanup(func() {
		d.kill()
		if text := d.log(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic") || d.t.Failed() {
			d.t.Errorf("log of the program:\n%s", text)
		}
	})
}

// writeFile replaces a file that the process reads.
func (d *testDispatcher) writeFile(path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// Write appends standard error of the process to the log.
func (d *testDispatcher) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.logText.Write(p)
}

// log returns what the process has logged so far.
func (d *testDispatcher) log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.logText.String()
}

// frontendURL returns the URL of a frontend from its address in the log; empty if the log has no address.
func (d *testDispatcher) frontendURL(frontend string) string {
	_, rest, found := strings.Cut(d.log(), "front="+frontend+" address=")
	address, _, complete := strings.Cut(rest, "\n")
	if !found || !complete {
		return ""
	}
	return "http://" + address
}

// waitFor waits for a condition, and fails the test if it is not met within 10 s.
func (d *testDispatcher) waitFor(what string, met func() bool) {
	d.t.Helper()
	waitWithin(d.t, 10*time.Second, 2*time.Millisecond, what, met)
}

// waitWithin checks a condition at an interval until it is met, and fails the test if it is not within the limit.
func waitWithin(t testing.TB, limit, interval time.Duration, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !met(); time.Sleep(interval) {
		if time.Now().After(end) {
			t.Fatalf("time-out after %v, waiting for: %s", limit, what)
		}
	}
}

// waitForLog waits until the log has a text.
func (d *testDispatcher) waitForLog(text string) {
	d.t.Helper()
	d.waitFor(fmt.Sprintf("%q in the log", text), func() bool { return strings.Contains(d.log(), text) })
}

// waitForMetric waits until a metric has a value.
func (d *testDispatcher) waitForMetric(name string, value int) {
	d.t.Helper()
	d.waitFor(fmt.Sprintf("%s=%d", name, value), func() bool { return d.metric(name) == value })
}

// waitForListSource waits until the endpoint list comes from this source.
func (d *testDispatcher) waitForListSource(source string) {
	d.t.Helper()
	d.waitFor("list_source="+source, func() bool { return d.metricText("list_source") == source })
}

// waitUntilIdle waits until no request and no HTTP/2 stream is open.
func (d *testDispatcher) waitUntilIdle() {
	d.t.Helper()
	d.waitFor("no open request or stream", func() bool {
		return d.metric("concurrent") == 0 && d.metric("front.http2.streams") == 0
	})
}

// waitForRun waits until a worker has received a key once.
func (d *testDispatcher) waitForRun(worker *testWorker, key string) {
	d.t.Helper()
	d.waitFor(fmt.Sprintf("key %s at worker %s", key, worker.id), func() bool { return worker.runsOf(key) == 1 })
}

// waitForWatch waits until the last call to discovery is a watch.
func (d *testDispatcher) waitForWatch() {
	d.t.Helper()
	d.waitFor("a watch", d.discovery.watched)
}

// reload replaces the platform's file and sends SIGHUP.
func (d *testDispatcher) reload(config string) {
	d.writeFile(d.configPath, config)
	d.command.Process.Signal(syscall.SIGHUP)
}

// terminate sends SIGTERM.
func (d *testDispatcher) terminate() { d.command.Process.Signal(syscall.SIGTERM) }

// kill ends the process with SIGKILL and waits for its end.
func (d *testDispatcher) kill() {
	d.command.Process.Kill()
	<-d.exited
}

// waitForExit waits until the process has ended by itself, and checks that its exit code is 0.
func (d *testDispatcher) waitForExit(by time.Time) {
	d.t.Helper()
	select {
	case <-d.exited:
	case <-time.After(time.Until(by)):
		d.t.Fatal("the process has not exited in time")
	}
	if code := d.command.ProcessState.ExitCode(); code != 0 {
		d.t.Errorf("exit code %d, want 0", code)
	}
}

// callAdmin calls the admin API and returns the status and the body.
func (d *testDispatcher) callAdmin(method, path, body string) (int, string) {
	d.t.Helper()
	r, err := http.NewRequest(method, d.adminURL+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	r.Close = true
	status, text, _ := d.send(r)
	return status, text
}

// metric returns the value of a metric; -1 if there is no metric of that name or its value is not an integer.
func (d *testDispatcher) metric(name string) int {
	d.t.Helper()
	value, err := strconv.Atoi(d.metricText(name))
	if err != nil {
		return -1
	}
	return value
}

// metricText returns the value of a metric as text; empty if there is no metric of that name.
func (d *testDispatcher) metricText(name string) string {
	d.t.Helper()
	_, text := d.callAdmin("GET", "/_vars", "")
	_, rest, _ := strings.Cut("\n"+text, "\n"+name+"=")
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

// checkMetrics checks the values of metrics.
func (d *testDispatcher) checkMetrics(what string, wanted map[string]int) {
	d.t.Helper()
	for name, want := range wanted {
		if got := d.metric(name); got != want {
			d.t.Errorf("%s: %s=%d, want %d", what, name, got, want)
		}
	}
}

// processMemory returns a field of /proc/PID/status in bytes, such as VmRSS; 0 if it cannot be read.
func processMemory(pid int, field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, found := strings.Cut(string(text), field+":")
	if err != nil || !found {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	return kilobytes << 10
}
