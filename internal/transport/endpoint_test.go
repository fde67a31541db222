package transport

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"brassdale/brain"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// sink takes the ends of calls.
type sink chan brain.Outcome

func (sink) Began(routing.CallID)                                        {}
func (sink) Progressed(routing.CallID, float64)                          {}
func (s sink) Finished(_ routing.CallID, e routing.End)                  { s <- e.Outcome }
func (s sink) Probed(_ brain.WorkerID, o brain.Outcome, _ *brain.Report) { s <- o }

// A call that waited for its connection is looked at again before its first byte: what was called off,
// overdue or drained meanwhile does not go out, and nothing of it is written.
func TestLookBeforeFirstByte(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		told, deadline time.Time
		cut, sent      bool
	}{
		"may go":          {deadline: now.Add(time.Hour), sent: true},
		"told just now":   {told: now, deadline: now.Add(time.Hour), sent: true},
		"told 500 ms ago": {told: now.Add(-500 * time.Millisecond), deadline: now.Add(time.Hour)},
		"overdue":         {deadline: now},
		"called off":      {deadline: now.Add(time.Hour), cut: true},
	} {
		p := &protocol.Params{}
		p.Rules.DrainGrace = 500000
		ends := make(sink, 4)
		e := newEndpoint(NewFleet(context.Background(), p, ends, 8, slog.New(slog.NewTextHandler(io.Discard, nil))), routing.Destination{Told: c.told})
		here, there := net.Pipe()
		quota := &io.LimitedReader{R: here}
		x := &exchange{call: routing.Call{Job: &protocol.Job{ID: "1", Method: "POST", Target: "/", Deadline: c.deadline}}, deadline: c.deadline}
		x.cut.Store(c.cut)
		e.waiting = append(e.waiting, x)
		e.free(&wire{conn: here, quota: quota, in: bufio.NewReader(quota)})
		if c.sent {
			if _, err := bufio.NewReader(there).ReadByte(); err != nil {
				t.Errorf("%s: nothing written: %v", name, err)
			}
			there.Close()
			if o := <-ends; o != brain.Reset && o != brain.NoConnect {
				t.Errorf("%s: ended as %v", name, o)
			}
		} else if o := <-ends; o != brain.NeverSent || len(e.idle) != 1 || x.wire != nil {
			t.Errorf("%s: ended as %v, %d idle connections", name, o, len(e.idle))
		}
		here.Close()
		there.Close()
	}
}
