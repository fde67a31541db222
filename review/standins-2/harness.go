// Program standins2 plays the cases of the second review: stand-ins for workers, discovery, clients and the platform, on loopback. Each
// case starts the dispatcher with the command of the deploy file, and judges only what clients, workers and the platform can see.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// caseLimit is the time after which a case is ended: it could not run.
const caseLimit = 110 * time.Second

// bench is what a case runs on: its record, its temporary folder and the processes that it has started.
type bench struct {
	trouble bool // false with TROUBLE=0: the same without the disruption
	dir     string

	mu        sync.Mutex
	record    *os.File
	begun     time.Time
	processes []*process
}

// setupFailed ends a case that could not run.
type setupFailed struct{ reason string }

func fail(format string, values ...any) { panic(setupFailed{fmt.Sprintf(format, values...)}) }

// cases has the cases by their numbers. A case returns what broke the rule.
var cases = map[string]func(*bench) (breaks []string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE RECORD, in the root of the repository")
		os.Exit(couldNot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and ends all its processes.
func play(run func(*bench) []string, recordPath string) (code int) {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, begun: time.Now()}
	defer os.RemoveAll(dir)
	defer b.endProcesses()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() {
		defer func() {
			if failure, ok := recover().(setupFailed); ok {
				b.note("could not run: %s", failure.reason)
				done <- couldNot
			}
		}()
		b.note("trouble: %v", b.trouble)
		breaks := run(b)
		for _, text := range breaks {
			b.note("broken: %s", text)
		}
		if len(breaks) > 0 {
			b.note("result: the rule was broken %d times", len(breaks))
			done <- broken
			return
		}
		b.note("result: the rule held")
		done <- held
	}()
	select {
	case code = <-done:
	case <-signals:
		b.note("could not run: ended by a signal")
		code = couldNot
	case <-time.After(caseLimit):
		b.note("could not run: not finished in %v", caseLimit)
		code = couldNot
	}
	fmt.Println(map[int]string{held: "held", broken: "broken", couldNot: "could not run"}[code] + ", see " + recordPath)
	return code
}

// note writes a line of the record, with the seconds since the begin of the case.
func (b *bench) note(format string, values ...any) { b.noteAt(time.Now(), format, values...) }

func (b *bench) noteAt(at time.Time, format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", at.Sub(b.begun).Seconds(), fmt.Sprintf(format, values...))
}

// address returns a free loopback address.
func address() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// serve serves HTTP on a free loopback port until the end of the program.
func serve(handler http.Handler) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	go http.Serve(listener, handler)
	return listener.Addr().String()
}

// process is a dispatcher that a case has started.
type process struct {
	b       *bench
	name    string
	command *exec.Cmd
	exited  chan struct{}
	listen  string
	admin   string
	config  string // path of the platform's file
}

// dispatcherSpec says how to start a dispatcher.
type dispatcherSpec struct {
	name, listen, admin, tmp string
	config                   map[string]any
	operator                 string // text of the operator's file; empty for none
}

// start starts a dispatcher with the command of the deploy file and waits until it is ready.
func (b *bench) start(spec dispatcherSpec) *process {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		fail("not in the root of the repository: %v", err)
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if found == nil {
		fail("deploy/balancer.toml has no run")
	}
	run := string(found[1])
	p := &process{b: b, name: spec.name, exited: make(chan struct{}), listen: spec.listen, admin: spec.admin}
	p.config = filepath.Join(b.dir, spec.name+".json")
	p.writeConfig(spec.config)
	if spec.operator != "" {
		path := filepath.Join(b.dir, spec.name+".hcl")
		if err := os.WriteFile(path, []byte(spec.operator), 0o600); err != nil {
			fail("%v", err)
		}
		run += " serve --operator " + path
	}
	if os.Getenv("REVIEW_LOG") != "" { // for a look by hand
		run += " --log-level debug"
	}
	p.command = exec.Command("/bin/sh", "-c", run)
	p.command.Env = append(os.Environ(), "GW_CONFIG="+p.config, "GW_NAME=n0", "GW_LISTEN="+spec.listen, "TMPDIR="+spec.tmp, "GW_ADMIN="+spec.admin)
	log, err := os.Create(filepath.Join(b.dir, spec.name+".log"))
	if err != nil {
		fail("%v", err)
	}
	if path := os.Getenv("REVIEW_LOG"); path != "" {
		if log, err = os.Create(path + "." + spec.name); err != nil {
			fail("%v", err)
		}
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		fail("%s does not start: %v", spec.name, err)
	}
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	go func() { _ = p.command.Wait(); close(p.exited) }()
	p.awaitReady()
	b.note("dispatcher %s is ready at %s", spec.name, spec.listen)
	return p
}

// writeConfig replaces the platform's file.
func (p *process) writeConfig(config map[string]any) {
	text, err := json.Marshal(config)
	if err != nil {
		fail("%v", err)
	}
	if err := os.WriteFile(p.config+".new", text, 0o600); err != nil {
		fail("%v", err)
	}
	if err := os.Rename(p.config+".new", p.config); err != nil {
		fail("%v", err)
	}
}

// awaitReady waits until the second address of the process says yes.
func (p *process) awaitReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		select {
		case <-p.exited:
			fail("%s has ended", p.name)
		default:
		}
		if response, err := client.Get("http://" + p.admin + "/_ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	fail("%s is not ready after 30 s", p.name)
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// endProcesses kills all processes that the case has started and waits for their end.
func (b *bench) endProcesses() {
	b.mu.Lock()
	processes := b.processes
	b.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Kill()
		<-p.exited
	}
	b.record.Close()
}

// front returns the part of an operator's file that switches on a front at an address.
func front(name, listen, rest string) string {
	return fmt.Sprintf("front %q {\n  listen = %q\n%s}\n", name, listen, rest)
}

// member is an entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is one discovery service: the whole list, and watches.
type discovery struct {
	b       *bench
	address string

	mu       sync.Mutex
	oldest   int64 // changes since this revision are kept; to an older one the whole list is answered
	revision int64
	members  []member
	changes  []change
	changed  chan struct{}
	down     bool                                                // connections are closed without an answer
	crowded  time.Duration                                       // above 0: a call waits so long in the queue and then fails with 503
	onTold   func(at time.Time, complete bool, members []member) // called after an answer was written
}

type change struct {
	revision int64
	entry    member
}

func newDiscovery(b *bench, revision int64, members []member) *discovery {
	d := &discovery{b: b, oldest: revision, revision: revision, members: members, changed: make(chan struct{})}
	d.address = serve(d)
	return d
}

// update changes an entry, or removes it with the phase "left". A new entry is added.
func (d *discovery) update(entry member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	var next []member
	known := false
	for _, m := range d.members {
		if m.ID == entry.ID {
			known = true
			m = entry
		}
		if m.Phase != "left" {
			next = append(next, m)
		}
	}
	if !known && entry.Phase != "left" {
		next = append(next, entry)
	}
	d.members = next
	d.changes = append(d.changes, change{d.revision, entry})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) set(apply func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.revision, true, append([]member{}, d.members...)}
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	down, crowded := d.down, d.crowded
	d.mu.Unlock()
	if down {
		d.reset(w)
		return
	}
	if crowded > 0 {
		d.refuse(w, r, crowded)
		return
	}
	query := r.URL.Query()
	index, wait := int64(-1), 0
	if query.Has("index") {
		fmt.Sscan(query.Get("index"), &index)
		fmt.Sscan(query.Get("wait"), &wait)
	}
	if index < d.oldest {
		d.answer(w, d.whole())
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		changed, answer := d.changed, list{Revision: d.revision, Members: []member{}}
		down, crowded = d.down, d.crowded
		for _, c := range d.changes {
			if c.revision > index {
				answer.Members = append(answer.Members, c.entry)
			}
		}
		d.mu.Unlock()
		switch {
		case down:
			d.reset(w)
			return
		case crowded > 0:
			d.refuse(w, r, crowded)
			return
		case len(answer.Members) > 0:
			d.answer(w, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			d.answer(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// refuse lets a call wait in the queue and then ends it with 503: it has waited too long.
func (d *discovery) refuse(w http.ResponseWriter, r *http.Request, crowded time.Duration) {
	select {
	case <-time.After(crowded):
	case <-r.Context().Done():
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	d.b.note("discovery ends a call with 503: it has waited too long")
}

func (d *discovery) reset(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// answer writes a list. It is told once it is written.
func (d *discovery) answer(w http.ResponseWriter, l list) {
	text, _ := json.Marshal(l)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text)
	_ = http.NewResponseController(w).Flush()
	at := time.Now()
	if len(l.Members) > 0 {
		var names []string
		for _, m := range l.Members {
			names = append(names, m.ID+" "+m.Phase)
		}
		d.b.noteAt(at, "discovery has written revision %d complete=%v: %s", l.Revision, l.Complete, strings.Join(names, ", "))
	}
	if d.onTold != nil {
		d.onTold(at, l.Complete, l.Members)
	}
}

// box is a worker. Jobs wait in order for a slot. A job that has begun goes on when its dispatcher gives it up; one that waits is dropped.
type box struct {
	b       *bench
	id      string
	cell    int
	address string
	slots   chan struct{}
	cellOf  *cell
	runtime func(key string) time.Duration
	result  func(key string) string
	drains  atomic.Bool // jobs that have not started are handed back

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a job whose last byte a worker has received.
type arrival struct {
	at      time.Time
	box     string
	id, key string
}

// cell is a group of workers that drop a repeat of a key for the window.
type cell struct {
	number int
	window time.Duration
	mu     sync.Mutex
	first  map[string]*firstRun
	log    *runLog
}

type firstRun struct {
	at   time.Time
	done chan struct{}
}

// runLog has all runs of a case.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

type run struct {
	at           time.Time
	key, id, box string
	cell         int
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// of returns the runs of a key.
func (l *runLog) of(key string) (runs []run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.key == key {
			runs = append(runs, r)
		}
	}
	return runs
}

func newCell(number int, log *runLog) *cell {
	return &cell{number: number, window: 7500 * time.Millisecond, first: map[string]*firstRun{}, log: log}
}

func newBox(b *bench, id string, c *cell, slots int, runtime func(string) time.Duration) *box {
	x := &box{b: b, id: id, cell: c.number, cellOf: c, slots: make(chan struct{}, slots), runtime: runtime,
		result: func(key string) string { return "priced " + key }}
	x.address = serve(x)
	return x
}

func (x *box) member(phase string) member {
	return member{ID: x.id, HostPort: x.address, Locality: "llanelli", Flavor: "new-box", Cell: x.cell, Phase: phase, Size: 1}
}

func members(boxes []*box) (all []member) {
	for _, x := range boxes {
		all = append(all, x.member("active"))
	}
	return all
}

func (x *box) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && (r.URL.Path == "/health/live" || r.URL.Path == "/stats"):
		// A probe shows only that the process runs.
		busy := len(x.slots)
		w.Header().Set("Srv-Load", fmt.Sprintf("util=%.2f,queue=0,x0=%d,x1=%d", float64(busy)/float64(cap(x.slots)), cap(x.slots)-busy, cap(x.slots)-busy))
		w.WriteHeader(http.StatusOK)
	case r.Method == http.MethodPost:
		x.job(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (x *box) job(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get("Req-Id"), r.Header.Get("Idempotency-Key")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	body := make([]byte, 64<<10)
	for {
		if _, err := r.Body.Read(body); err != nil {
			break
		}
	}
	at := time.Now()
	x.mu.Lock()
	x.arrivals = append(x.arrivals, arrival{at, x.id, id, key})
	x.mu.Unlock()
	x.b.noteAt(at, "box %s (cell %d) received %s key %s", x.id, x.cell, id, key)
	if x.drains.Load() {
		w.Header().Set("Srv-Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	line := func(rest string) {
		fmt.Fprintf(w, "{\"id\":%q,\"from\":%q,%s}\n", id, x.id, rest)
		_ = controller.Flush()
	}
	select {
	case x.slots <- struct{}{}:
	case <-r.Context().Done(): // a cancel drops waiting work
		return
	}
	release := func() { <-x.slots }
	first, repeat := x.cellOf.begin(key, id, x.id)
	if repeat { // the cell drops it: it does not run again, and gets the result of the run that there was
		release()
		x.b.note("box %s (cell %d) drops %s: a repeat of key %s", x.id, x.cell, id, key)
		select {
		case <-first.done:
			line(fmt.Sprintf("\"state\":\"done\",\"result\":%q", x.result(key)))
		case <-r.Context().Done():
		}
		return
	}
	x.b.note("box %s (cell %d) runs %s key %s", x.id, x.cell, id, key)
	line(`"state":"started"`)
	ran := make(chan struct{})
	go func() { // running work goes on when it is given up
		time.Sleep(x.runtime(key))
		release()
		close(first.done)
		close(ran)
	}()
	progress := time.NewTicker(2 * time.Second)
	defer progress.Stop()
	for {
		select {
		case <-ran:
			line(fmt.Sprintf("\"state\":\"done\",\"result\":%q", x.result(key)))
			return
		case <-progress.C:
			line(`"state":"running","share":0.5`)
		case <-r.Context().Done():
			return
		}
	}
}

// begin begins a run, or finds the run of which this is a repeat.
func (c *cell) begin(key, id, boxID string) (first *firstRun, repeat bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if known := c.first[key]; known != nil && now.Sub(known.at) < c.window {
		return known, true
	}
	first = &firstRun{at: now, done: make(chan struct{})}
	c.first[key] = first
	c.log.add(run{now, key, id, boxID, c.number})
	return first, false
}

func (x *box) arrivalsSoFar() []arrival {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]arrival{}, x.arrivals...)
}

// settings are the settings of a small deployment, in the form and with the figures of the operators' example.
func settings() map[string]any {
	return map[string]any{
		"classes": []any{map[string]any{"aim": 200000, "credit": 1.0, "deadline": 5000000, "dedupScope": "cell", "effect": "keyed",
			"lateWorth": 0.0, "name": "price-part", "stream": false, "window": 7500000}},
		"clientHabits": map[string]any{"marksRetry": false}, "countedBy": "work", "discovery": "ask",
		"familyInfo": map[string]any{"classKind": []any{-1}, "classPriority": []any{0}, "classStretch": []any{2.5},
			"memoryUnit": "a worker has one unit for each slot", "notes": "1 it has started, 2 share done", "progress": 2000000,
			"queueOrder": "fifo", "reportX0": "free slots", "reportX1": "free memory", "tellsStart": true},
		"flavors": []any{"new-box", "old-box"}, "layers": []any{"costing-boxes"},
		"limits": map[string]any{"cancel": true, "connIdle": 10000000, "connectTimeout": 200000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
			"maxAttempts": 4, "maxRetryAfter": 2000000, "mayDuplicate": true, "mostHeld": 20000, "peers": false, "probing": true,
			"retryAfter": true, "streamsPerConn": 1},
		"loadReport":   map[string]any{"columns": []any{"cpu_share", "pending", "x0", "x1"}, "via": "pull"},
		"locality":     0,
		"objectiveMix": map[string]any{"whole": 0.65, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.1},
		"ordinal":      0, "orgs": []any{map[string]any{"fraction": 1.0, "name": "deeside-aero", "quotaPerS": 170.0}}, "overShareWorth": 0.1,
		"prices": map[string]any{"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.02, "lateFail": 0.08, "moves": 0.0,
			"origin": 0.0, "peer": 0.0, "probe": 0.004, "waste": 0.034},
		"replicasOfMe": 1,
		"rules": map[string]any{"answerSlack": 8000, "askWithin": 10000000, "cold": 24000000, "drainGrace": 500000, "fall": 1500000,
			"startCapacity": 0.14, "tipMultiple": 3.0},
		"serviceType": "jobs", "tick": 2000, "tier": 0, "weights": "nominal", "zones": []any{"llanelli"},
	}
}

// platformFile returns the platform's file of a dispatcher.
func platformFile(listen, admin, discovery string, known list) map[string]any {
	return map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "admin": admin, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings()}
}

// client returns a client of HTTP/1.1 with connections of its own.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 0}}
}

// client2 returns a client of HTTP/2 in cleartext, with one connection.
func client2() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}

// request returns a job's request.
func request(ctx context.Context, address, id, key string, deadline time.Duration) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/price-part", strings.NewReader("part "+key))
	if err != nil {
		fail("%v", err)
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Kind", "price-part")
	r.Header.Set("Req-Owner", "deeside-aero")
	r.Header.Set("Req-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Idempotency-Key", key)
	return r
}
