package fleet

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/traffic"
)

const (
	callWithin = 600 * time.Millisecond // an answer of another dispatcher
	mostBatch  = 256                    // messages in one call, and that wait for one
	mostAsking = 4096                   // questions that wait at a seat: a change has all ask at once
	mostBody   = 32 << 20
)

// question asks for a lease.
type question struct {
	configversions.Dispatcher
	Revision uint64          `json:"revision"`         // of the record that is known; 0 for the whole record
	Report   json.RawMessage `json:"report,omitempty"` // a failover.Report
	Demand   json.RawMessage `json:"demand,omitempty"` // uses a second of each budget, by its name
	Firsts   float64         `json:"firsts,omitempty"` // first calls a second

	Neighbours *gossippeers.Digest `json:"neighbours,omitempty"` // that it knows; nil of one that gossips over the whole fleet
}

// part has the bytes of reports and budgets in questions count as such, at the one who sends them or has received them.
func part(m *traffic.Meter, sent bool, all ...question) {
	for _, q := range all {
		for kind, text := range map[traffic.Kind]json.RawMessage{traffic.Report: q.Report, traffic.Budget: q.Demand} {
			if n := len(text); n > 0 && sent {
				m.Within(traffic.Renewal, kind, n, 0)
			} else if n > 0 {
				m.Within(traffic.Renewal, kind, 0, n)
			}
		}
	}
}

// form is that of this build: 2 has shares in rules, 3 gossips among neighbours, whom its leader names. What a build cannot
// read is refused, not guessed at.
const (
	form           = 3
	formNeighbours = 3
	leastForm      = 1
)

// answer gives a lease, or news of the record, or says who may.
type answer struct {
	Record   *configversions.Record     `json:"record,omitempty"`  // whole, ...
	Entries  []configversions.Entry     `json:"entries,omitempty"` // ... or what changed since the revision that was said
	LeaseMS  int64                      `json:"lease_ms,omitempty"`
	Era      uint64                     `json:"era,omitempty"`
	Revision uint64                     `json:"revision,omitempty"` // that the leader has
	Leader   uint64                     `json:"leader,omitempty"`   // a seat
	Refused  map[string]string          `json:"refused,omitempty"`  // who gets no lease, and why
	Rates    map[string]json.RawMessage `json:"rates,omitempty"`    // by dispatcher; in each by budget
	Why      string                     `json:"why,omitempty"`

	Present []configversions.Dispatcher       `json:"present,omitempty"` // who holds leases, ...
	Absent  []configversions.AbsentDispatcher `json:"absent,omitempty"`  // ... and who held one lately

	Form       int                                    `json:"form,omitempty"`       // the leader's
	Neighbours map[string]*gossippeers.PeerSuggestion `json:"neighbours,omitempty"` // by the dispatcher that knows others than the leader
}

func newClient(m *traffic.Meter) *http.Client {
	dialer := &net.Dialer{Timeout: callWithin / 2}
	return &http.Client{Transport: &http.Transport{DialContext: m.Dial(dialer), MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true}}
}

// Call posts a body to another dispatcher, or gets where there is none, and reads the answer, by then.
func Call(ctx context.Context, c *http.Client, url string, body []byte, by time.Time) (int, []byte, error) {
	ctx, stop := context.WithDeadline(ctx, by)
	defer stop()
	method := http.MethodPost
	if body == nil {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("User-Agent", "") // nobody asks for it, and each dispatcher calls some times a second
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	return resp.StatusCode, text, err
}

// kindOf tells what a request to the council's address is for.
func kindOf(r *http.Request) traffic.Kind {
	if r.URL.Path == "/members/stream" {
		return traffic.Gossip
	}
	return kindOfCall(strings.TrimPrefix(r.URL.Path, "/council/"))
}

// kindOfCall tells it by the call's name.
func kindOfCall(what string) traffic.Kind {
	switch what {
	case "renew", "grant", "leave":
		return traffic.Renewal
	case "watch":
		return traffic.Record
	case "messages":
		return traffic.Raft
	}
	return traffic.Other
}

// peer has messages for another seat, in their order; what finds no room is lost, as on a network.
type peer struct{ out chan []byte }

func (p *peer) send(m []byte) {
	select {
	case p.out <- m:
	default:
	}
}

// next waits for messages and gives all that are there, up to a call's worth.
func (p *peer) next(ctx context.Context) (batch []byte, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case m := <-p.out:
		batch = frame(batch, m)
	}
	for n := 1; n < mostBatch && len(p.out) > 0 && len(batch) < mostBody/2; n++ {
		batch = frame(batch, <-p.out)
	}
	return batch, true
}

func frame(b, m []byte) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(m))), m...)
}

var errFrames = errors.New("no whole messages")

// frames takes a batch apart.
func frames(b []byte) (all [][]byte, err error) {
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, errFrames
		}
		n := binary.BigEndian.Uint32(b)
		if b = b[4:]; uint64(n) > uint64(len(b)) {
			return nil, errFrames
		}
		all, b = append(all, b[:n:n]), b[n:]
	}
	return all, nil
}

// decode reads a JSON body whole.
func (a *Agent) decode(r *http.Request, to any) error {
	text, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, mostBody))
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.counts.Served++
	a.mu.Unlock()
	if err := json.Unmarshal(text, to); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

func (a *Agent) reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
