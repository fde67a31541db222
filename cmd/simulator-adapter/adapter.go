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

// instance is one simulated dispatcher.
type instance struct {
	settings  protocol.Settings
	scheduler *scheduler.Scheduler
}

// session is the state of one run with the simulator. It is used by one goroutine.
type session struct {
	out       *bufio.Writer
	now       scheduler.Instant
	pages     map[uint64][]entry
	instances map[int]*instance
}

// run reads batches of lines from in until its end, and writes the answers to out. An error names the invalid line.
func run(in io.Reader, out io.Writer) error {
	c := &session{out: bufio.NewWriterSize(out, 1<<16), pages: map[uint64][]entry{}, instances: map[int]*instance{}}
	reader := bufio.NewReaderSize(in, 1<<16)
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if line = bytes.TrimSpace(line); len(line) > 0 {
			if err := c.handleLine(line); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
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

func (c *session) handleLine(line []byte) error {
	name, body, err := unwrap(line)
	if err != nil {
		return err
	}
	var event message
	if err := json.Unmarshal(body, &event); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	switch name {
	case "SYNC":
		c.now = event.Time.Duration()
	case "YOUR_TURN":
		if _, err := c.out.WriteString("{\"FINISHED\":{}}\n"); err != nil {
			return err
		}
		return c.out.Flush()
	case "PAGE":
		c.pages[event.Ref] = event.NodesList
	default:
		if event.DispatcherID == nil {
			return fmt.Errorf("%s: no dispatcherId", name)
		}
		if err := c.handleEvent(name, *event.DispatcherID, &event); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// unwrap returns the name and the body of the one message on a line. Nearly all lines have the plain form, which is split here without
// decoding. Others are decoded by encoding/json.
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

// plainName reports whether a name consists of capital letters and underscores only.
func plainName(name []byte) bool {
	for _, letter := range name {
		if letter != '_' && (letter < 'A' || letter > 'Z') {
			return false
		}
	}
	return len(name) > 0
}

// handleEvent passes one event to the scheduler of its dispatcher and writes the actions.
func (c *session) handleEvent(name string, dispatcher int, event *message) error {
	switch name {
	case "ENLIST":
		c.instances[dispatcher] = &instance{settings: event.Params, scheduler: scheduler.New(event.Params.SchedulerSettings(), event.InitSeed)}
		return nil
	case "SHUTDOWN":
		delete(c.instances, dispatcher)
		return nil
	}
	target := c.instances[dispatcher]
	if target == nil {
		return fmt.Errorf("dispatcher %d was not enlisted", dispatcher)
	}
	schedulerEvent, err := c.translate(target, name, event)
	if err != nil || schedulerEvent == nil {
		return err
	}
	for _, action := range target.scheduler.Handle(c.now, schedulerEvent) {
		if err := c.writeAction(dispatcher, action); err != nil {
			return err
		}
	}
	return nil
}

// translate returns the scheduler's event for a simulator's event, or nil if the scheduler does not need it.
func (c *session) translate(target *instance, name string, event *message) (scheduler.Event, error) {
	request, worker := scheduler.RequestID(event.Handle), scheduler.WorkerID(event.Worker)
	switch name {
	case "BACKENDS_CHANGED":
		return c.endpointsUpdated(event)
	case "ARRIVAL":
		arrival := scheduler.RequestArrived{ID: request, Class: event.Qos, Slots: event.Width, Deadline: event.Expires.Duration(), AffinityKey: event.Subject}
		if event.Bitmap&hintValid != 0 {
			arrival.EstimatedWork = event.Effort.Duration()
		}
		return arrival, nil
	case "STARTED":
		return scheduler.AttemptStarted{ID: request, Attempt: event.SeqNo, Worker: worker, Streamed: true}, nil
	case "INTERIM":
		if event.Topic == topicStarted {
			return scheduler.AttemptStarted{ID: request, Attempt: event.SeqNo, Worker: worker}, nil
		}
		return scheduler.AttemptProgressed{ID: request, Attempt: event.SeqNo, Worker: worker, Share: event.X}, nil
	case "CLOSED_ATTEMPT", "ECHO":
		outcome, ok := outcomes[event.Verdict]
		if !ok {
			return nil, fmt.Errorf("unknown verdict %q", event.Verdict)
		}
		report := target.settings.Report(event.Stats)
		if name == "ECHO" {
			return scheduler.ProbeCompleted{Worker: worker, Outcome: outcome, Report: report}, nil
		}
		return scheduler.AttemptFinished{ID: request, Attempt: event.SeqNo, Worker: worker, Outcome: outcome,
			Final: event.Final, Report: report, ConnectionIdle: -1}, nil
	case "ELAPSED":
		return scheduler.TimerFired{Token: event.Ref}, nil
	case "HANGUP":
		return scheduler.ClientLeft{ID: request}, nil
	case "PEER":
		return nil, nil
	}
	return nil, errors.New("unknown message")
}

// endpointsUpdated returns the update for an event, with the last list that was received under the event's list number.
func (c *session) endpointsUpdated(event *message) (scheduler.Event, error) {
	kind, ok := listKinds[event.Form]
	if !ok {
		return nil, fmt.Errorf("unknown form %q", event.Form)
	}
	update := scheduler.EndpointsUpdated{ListKind: kind}
	if kind == scheduler.ListFailed {
		return update, nil
	}
	page, ok := c.pages[event.Ref]
	if !ok {
		return nil, fmt.Errorf("list %d was not received before", event.Ref)
	}
	for _, line := range page {
		state, ok := states[line.Status]
		if !ok {
			return nil, fmt.Errorf("unknown status %q", line.Status)
		}
		update.Workers = append(update.Workers, scheduler.WorkerInfo{
			ID: scheduler.WorkerID(line.Worker), State: state, Zone: line.RegionPart, Cell: line.Pod, MachineKind: line.Machine,
			Weight: line.Weight, StartedAt: line.OnlineSince.Duration(),
		})
	}
	return update, nil
}

// writeAction writes an action of a dispatcher as one line.
func (c *session) writeAction(dispatcher int, action scheduler.Action) error {
	switch action := action.(type) {
	case scheduler.Send:
		return c.writeMessage("FORWARD", forward{dispatcher, uint64(action.ID), string(action.Worker)})
	case scheduler.Cancel:
		return c.writeMessage("ABORT_ATTEMPT", abort{dispatcher, uint64(action.ID), action.Attempt})
	case scheduler.Reject:
		return c.writeMessage("BUSY", busy{dispatcher, uint64(action.ID), inMicros(action.RetryAfter)})
	case scheduler.Fail:
		return c.writeMessage("END_FAILED", endFailed{dispatcher, uint64(action.ID)})
	case scheduler.CloseIdleConnections:
		return c.writeMessage("DROP_CONNS", workerAction{dispatcher, string(action.Worker)})
	case scheduler.Probe:
		return c.writeMessage("SOUND_OUT", workerAction{dispatcher, string(action.Worker)})
	case scheduler.Subscribe:
		return c.writeMessage("TRACK", track{dispatcher, true})
	case scheduler.SetTimer:
		return c.writeMessage("WAKE_AT", wakeAt{dispatcher, action.Token, inMicros(action.After)})
	case scheduler.Log:
		return c.writeMessage("SAY_LOG", sayLog{dispatcher, action.Text})
	}
	return fmt.Errorf("unknown action %T", action)
}

// writeMessage writes a named body as one line.
func (c *session) writeMessage(name string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "{%q:%s}\n", name, text)
	return err
}

// inMicros returns a duration in microseconds, the simulator's unit.
func inMicros(d time.Duration) int64 { return int64(d / time.Microsecond) }
