package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// entry is one line of a list.
type entry struct {
	Pod         int
	Machine     int
	RegionPart  int
	Worker      string
	Status      string
	Weight      float64
	OnlineSince protocol.Micros
}

// message holds the fields of every event; each event uses a few.
type message struct {
	Time         protocol.Micros
	DispatcherID *int `json:"dispatcherId"`
	InitSeed     uint64
	Params       protocol.Settings
	Ref          uint64
	NodesList    []entry
	Form         string
	Handle       uint64
	Qos          int
	Subject      uint64
	Expires      protocol.Micros
	Effort       protocol.Micros
	Width        float64
	Bitmap       int
	Worker       string
	SeqNo        int
	Verdict      string
	Final        bool
	Stats        []float64
	Topic        int
	X            float64
}

const (
	hintValid  = 1 // bit of bitmap: the cost hint is valid
	topicStart = 1 // topic of a note: the job has started
)

var (
	outcomes = map[string]scheduler.Outcome{
		"S": scheduler.Served, "E": scheduler.Errored, "F": scheduler.Full, "T": scheduler.TimedOut,
		"C": scheduler.NoConnect, "R": scheduler.Reset, "X": scheduler.Cancelled, "N": scheduler.NeverSent,
	}
	listKinds = map[string]scheduler.ListKind{
		"INCREMENTAL": scheduler.ListDelta, "FULL": scheduler.ListFull, "SAVED": scheduler.ListCached, "FAILED": scheduler.ListFailed,
	}
	states = map[string]scheduler.WorkerState{"live": scheduler.Ready, "quiescing": scheduler.Draining, "dead": scheduler.Gone}
)

// instance is one dispatcher of this process.
type instance struct {
	params    protocol.Settings
	scheduler *scheduler.Scheduler
}

// link is the state of one conversation with the bench.
type link struct {
	out       *bufio.Writer
	now       scheduler.Clock
	pages     map[uint64][]entry
	instances map[int]*instance
}

// run answers batches from in until it ends.
func run(in io.Reader, out io.Writer) error {
	l := &link{out: bufio.NewWriterSize(out, 1<<16), pages: map[uint64][]entry{}, instances: map[int]*instance{}}
	r := bufio.NewReaderSize(in, 1<<16)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if line = bytes.TrimSpace(line); len(line) > 0 {
			if err := l.take(line); err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// take handles one line.
func (l *link) take(line []byte) error {
	name, body, err := unwrap(line)
	if err != nil {
		return err
	}
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	switch name {
	case "SYNC":
		l.now = m.Time.Duration()
	case "YOUR_TURN":
		l.out.WriteString("{\"FINISHED\":{}}\n")
		return l.out.Flush()
	case "PAGE":
		l.pages[m.Ref] = m.NodesList
	default:
		if m.DispatcherID == nil {
			return fmt.Errorf("%s: no dispatcherId", name)
		}
		if err := l.event(name, *m.DispatcherID, &m); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// unwrap gives a message's name and fields. Nearly all lines have the plain form that is cut apart
// here; any other is left to the JSON package.
func unwrap(line []byte) (string, []byte, error) {
	if rest, ok := bytes.CutPrefix(line, []byte(`{"`)); ok && line[len(line)-1] == '}' {
		if name, body, ok := bytes.Cut(rest, []byte(`":{`)); ok && plainName(name) {
			if body = line[len(line)-len(body)-1 : len(line)-1]; json.Valid(body) {
				return string(name), body, nil
			}
		}
	}
	var wrapped map[string]json.RawMessage
	if err := json.Unmarshal(line, &wrapped); err != nil {
		return "", nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if len(wrapped) != 1 {
		return "", nil, fmt.Errorf("%d messages on a line, want 1", len(wrapped))
	}
	for name, body := range wrapped {
		return name, body, nil
	}
	panic("unreachable")
}

func plainName(name []byte) bool {
	for _, c := range name {
		if c != '_' && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return len(name) > 0
}

// event passes one event to its instance and writes the actions.
func (l *link) event(name string, id int, m *message) error {
	switch name {
	case "ENLIST":
		l.instances[id] = &instance{params: m.Params, scheduler: scheduler.New(m.Params.SchedulerSettings(), m.InitSeed)}
		return nil
	case "SHUTDOWN":
		delete(l.instances, id)
		return nil
	}
	in := l.instances[id]
	if in == nil {
		return fmt.Errorf("dispatcher %d was not enlisted", id)
	}
	ev, err := l.translate(in, name, m)
	if err != nil || ev == nil {
		return err
	}
	for _, a := range in.scheduler.Handle(l.now, ev) {
		if err := l.write(id, a); err != nil {
			return err
		}
	}
	return nil
}

// translate gives the event in the module's terms; nil for one that it does not need.
func (l *link) translate(in *instance, name string, m *message) (scheduler.Event, error) {
	req, worker := scheduler.RequestID(m.Handle), scheduler.WorkerID(m.Worker)
	switch name {
	case "BACKENDS_CHANGED":
		return l.listed(m)
	case "ARRIVAL":
		a := scheduler.RequestArrived{ID: req, Class: m.Qos, Slots: m.Width, Deadline: m.Expires.Duration(), AffinityKey: m.Subject}
		if m.Bitmap&hintValid != 0 {
			a.EstimatedWork = m.Effort.Duration()
		}
		return a, nil
	case "STARTED":
		return scheduler.AttemptStarted{ID: req, Attempt: m.SeqNo, Worker: worker, Streamed: true}, nil
	case "INTERIM":
		if m.Topic == topicStart {
			return scheduler.AttemptStarted{ID: req, Attempt: m.SeqNo, Worker: worker}, nil
		}
		return scheduler.AttemptProgressed{ID: req, Attempt: m.SeqNo, Worker: worker, Share: m.X}, nil
	case "CLOSED_ATTEMPT", "ECHO":
		outcome, ok := outcomes[m.Verdict]
		if !ok {
			return nil, fmt.Errorf("unknown verdict %q", m.Verdict)
		}
		report := in.params.Report(m.Stats)
		if name == "ECHO" {
			return scheduler.ProbeCompleted{Worker: worker, Outcome: outcome, Report: report}, nil
		}
		return scheduler.AttemptFinished{ID: req, Attempt: m.SeqNo, Worker: worker, Outcome: outcome,
			Final: m.Final, Report: report, ConnectionIdle: -1}, nil
	case "ELAPSED":
		return scheduler.TimerFired{Token: m.Ref}, nil
	case "HANGUP":
		return scheduler.ClientLeft{ID: req}, nil
	case "PEER":
		return nil, nil
	}
	return nil, errors.New("unknown message")
}

func (l *link) listed(m *message) (scheduler.Event, error) {
	kind, ok := listKinds[m.Form]
	if !ok {
		return nil, fmt.Errorf("unknown form %q", m.Form)
	}
	ev := scheduler.EndpointsUpdated{ListKind: kind}
	if kind == scheduler.ListFailed {
		return ev, nil
	}
	page, ok := l.pages[m.Ref]
	if !ok {
		return nil, fmt.Errorf("list %d was never given", m.Ref)
	}
	for _, e := range page {
		state, ok := states[e.Status]
		if !ok {
			return nil, fmt.Errorf("unknown status %q", e.Status)
		}
		ev.Workers = append(ev.Workers, scheduler.WorkerInfo{
			ID: scheduler.WorkerID(e.Worker), State: state, Zone: e.RegionPart, Cell: e.Pod, MachineKind: e.Machine,
			Weight: e.Weight, StartedAt: e.OnlineSince.Duration(),
		})
	}
	return ev, nil
}

// The actions as they go out.
type (
	forward struct {
		DispatcherID int    `json:"dispatcherId"`
		Handle       uint64 `json:"handle"`
		Worker       string `json:"worker"`
	}
	abort struct {
		DispatcherID int    `json:"dispatcherId"`
		Handle       uint64 `json:"handle"`
		SeqNo        int    `json:"seqNo"`
	}
	busy struct {
		DispatcherID int    `json:"dispatcherId"`
		Handle       uint64 `json:"handle"`
		RetryAfter   int64  `json:"retryAfter,omitempty"`
	}
	endFailed struct {
		DispatcherID int    `json:"dispatcherId"`
		Handle       uint64 `json:"handle"`
	}
	soundOut struct {
		DispatcherID int    `json:"dispatcherId"`
		Worker       string `json:"worker"`
	}
	track struct {
		DispatcherID int  `json:"dispatcherId"`
		Active       bool `json:"active"`
	}
	wakeAt struct {
		DispatcherID int    `json:"dispatcherId"`
		Ref          uint64 `json:"ref"`
		Span         int64  `json:"span"`
	}
	sayLog struct {
		DispatcherID int    `json:"dispatcherId"`
		What         string `json:"what"`
	}
)

func (l *link) write(id int, a scheduler.Action) error {
	switch a := a.(type) {
	case scheduler.Send:
		return l.put("FORWARD", forward{id, uint64(a.ID), string(a.Worker)})
	case scheduler.Cancel:
		return l.put("ABORT_ATTEMPT", abort{id, uint64(a.ID), a.Attempt})
	case scheduler.Reject:
		return l.put("BUSY", busy{id, uint64(a.ID), inMicros(a.RetryAfter)})
	case scheduler.Fail:
		return l.put("END_FAILED", endFailed{id, uint64(a.ID)})
	case scheduler.CloseIdleConnections:
		return l.put("DROP_CONNS", soundOut{id, string(a.Worker)})
	case scheduler.Probe:
		return l.put("SOUND_OUT", soundOut{id, string(a.Worker)})
	case scheduler.Subscribe:
		return l.put("TRACK", track{id, true})
	case scheduler.SetTimer:
		return l.put("WAKE_AT", wakeAt{id, a.Token, inMicros(a.After)})
	case scheduler.Log:
		return l.put("SAY_LOG", sayLog{id, a.Text})
	}
	return fmt.Errorf("unknown action %T", a)
}

func (l *link) put(name string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(l.out, "{%q:%s}\n", name, b)
	return err
}

func inMicros(d time.Duration) int64 { return int64(d / time.Microsecond) }
