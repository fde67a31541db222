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

// The tests start the real program: this binary again, as the child that only runs main.
func TestMain(m *testing.M) {
	if os.Getenv("BRASSDALE_CHILD") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const settingsJSON = `{"classes":[{"aim":200000,"credit":1,"deadline":5000000,"dedupScope":"cell","effect":"keyed","lateWorth":0.1,"name":"price-part","window":7500000}],
"discovery":"ask","familyInfo":{"classKind":[-1],"classStretch":[2.5],"progress":2000000,"tellsStart":true},"flavors":["new-worker"],
"limits":{"cancel":true,"connIdle":10000000,"connectTimeout":200000,"maxAttempts":4,"maxRetryAfter":2000000,"mayDuplicate":true,"probing":true,"retryAfter":true,"newKey":1},
"loadReport":{"columns":["cpu_share","pending","x0","x1"],"via":"pull"},"replicasOfMe":1,
"rules":{"answerSlack":8000,"askWithin":10000000,"cold":24000000,"drainGrace":500000,"fall":1500000,"startCapacity":0.14,"tipMultiple":3},"zones":["llanelli"]}`

// node is the program under test.
type testDispatcher struct {
	t                     testing.TB
	binary                string // the program's, empty for this one
	command               *exec.Cmd
	discovery             *testDiscovery
	configPath, config    string // the platform's file, and its text at the start
	operatorPath          string // the operator's file
	descriptorLimit       int    // that the process may hold; 0 for as many as this one
	tempDir               string // $TMPDIR
	http1URL, progressURL string // of the fronts
	http2URL              string
	adminURL              string // of the door
	mu                    sync.Mutex
	logText               strings.Builder
	exited                chan struct{}
}

func startDispatcher(t *testing.T, operator string, workers ...*testWorker) *testDispatcher {
	t.Helper()
	return startDispatcherWith(t, operator, func(config string) string { return config }, workers...)
}

// startWith starts the program with a file that is changed before.
func startDispatcherWith(t *testing.T, operator string, change func(string) string, workers ...*testWorker) *testDispatcher {
	t.Helper()
	dispatcher := &testDispatcher{t: t, discovery: &testDiscovery{revision: 1, workers: workers, changed: make(chan struct{})}, exited: make(chan struct{})}
	dispatcher.start(operator, change)
	return dispatcher
}

// startHere starts discovery and the program.
func (d *testDispatcher) start(operator string, change func(string) string) {
	d.t.Helper()
	discovery := httptest.NewServer(d.discovery)
	d.t.Cleanup(discovery.CloseClientConnections)
	config := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		discovery.Listener.Addr(), d.discovery.listJSON(), settingsJSON)
	d.startProcess(change(config), operator)
	d.waitUntilReady(operator)
}

// serves waits until the program takes clients.
func (d *testDispatcher) waitUntilReady(operator string) {
	d.t.Helper()
	d.waitFor("both fronts", func() bool {
		d.http1URL, d.progressURL, d.adminURL = d.frontendURL("inbound"), d.frontendURL("progress"), d.frontendURL("admin")
		d.http2URL = d.frontendURL("http2")
		return d.http1URL != "" && strings.Contains(d.log(), "msg=ready")
	})
}

// successor starts the program again beside itself, as the platform does.
func (d *testDispatcher) startSuccessor(operator string) *testDispatcher {
	d.t.Helper()
	successor := &testDispatcher{t: d.t, discovery: d.discovery, tempDir: d.tempDir, exited: make(chan struct{})}
	successor.startProcess(d.config, operator)
	successor.waitUntilReady(operator)
	return successor
}

// passesOn waits until so many successors have told the program that they serve.
func (d *testDispatcher) waitForHandovers(times int) {
	d.t.Helper()
	d.waitFor("the successor's word", func() bool { return strings.Count(d.log(), "handover complete") == times })
}

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
		d.command.Process.Kill()
		<-d.exited
		if text := d.log(); strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic") || d.t.Failed() {
			d.t.Errorf("log of the program:\n%s", text)
		}
	})
}

func (d *testDispatcher) writeFile(path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

func (d *testDispatcher) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.logText.Write(p)
}

func (d *testDispatcher) log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.logText.String()
}

func (d *testDispatcher) frontendURL(front string) string {
	_, rest, ok := strings.Cut(d.log(), "front="+front+" address=")
	address, _, whole := strings.Cut(rest, "\n")
	if !ok || !whole {
		return ""
	}
	return "http://" + address
}

func (d *testDispatcher) waitFor(what string, ok func() bool) {
	d.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("never seen: %s", what)
		}
	}
}

// reload replaces the platform's file and tells the program.
func (d *testDispatcher) reload(config string) {
	d.writeFile(d.configPath, config)
	d.command.Process.Signal(syscall.SIGHUP)
}

func (d *testDispatcher) terminate() { d.command.Process.Signal(syscall.SIGTERM) }

// ends waits until the program has ended by itself, in good order.
func (d *testDispatcher) waitForExit(by time.Time) {
	d.t.Helper()
	select {
	case <-d.exited:
	case <-time.After(time.Until(by)):
		d.t.Fatal("still runs")
	}
	if code := d.command.ProcessState.ExitCode(); code != 0 {
		d.t.Errorf("exit code %d", code)
	}
}

// call makes an operator's call at the door and gives the status and the body.
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

// figure gives one of the figures; -1 where there is none of that name.
func (d *testDispatcher) metric(name string) int {
	d.t.Helper()
	_, text := d.callAdmin("GET", "/_vars", "")
	_, rest, ok := strings.Cut("\n"+text, "\n"+name+"=")
	value, _, _ := strings.Cut(rest, "\n")
	x, err := strconv.Atoi(value)
	if !ok || err != nil {
		return -1
	}
	return x
}

// text gives a figure that is no number.
func (d *testDispatcher) metricText(name string) string {
	_, text := d.callAdmin("GET", "/_vars", "")
	_, rest, _ := strings.Cut("\n"+text, "\n"+name+"=")
	value, _, _ := strings.Cut(rest, "\n")
	return value
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
