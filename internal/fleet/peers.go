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
	"time"

	"brassdale/internal/decisions/agreement"
)

const (
	callWithin = 600 * time.Millisecond // an answer of another dispatcher
	mostBatch  = 256                    // messages in one call, and that wait for one
	mostBody   = 8 << 20
)

// question asks for a lease.
type question struct {
	Name         string `json:"name"`
	Acknowledged uint64 `json:"acknowledged"`
	Form         int    `json:"form"` // of the messages: one that cannot be read is refused, not guessed at
}

// form is that of this build.
const form = 1

// answer gives one, or says who may.
type answer struct {
	Record  *agreement.Record `json:"record,omitempty"`
	LeaseMS int64             `json:"lease_ms,omitempty"`
	Leader  int               `json:"leader,omitempty"` // a seat
	Why     string            `json:"why,omitempty"`
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: callWithin / 2}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
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
	resp, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	return resp.StatusCode, text, err
}

// peer takes messages to another voter, in their order; what finds no room is lost, as on a network.
type peer struct {
	url string
	out chan []byte
}

func (p *peer) send(m []byte) {
	select {
	case p.out <- m:
	default:
	}
}

// run sends what waits, as much as there is in one call.
func (p *peer) run(ctx context.Context, c *http.Client) {
	for {
		var batch []byte
		select {
		case <-ctx.Done():
			return
		case m := <-p.out:
			batch = frame(batch, m)
		}
		for n := 1; n < mostBatch && len(p.out) > 0; n++ {
			batch = frame(batch, <-p.out)
		}
		_, _, _ = Call(ctx, c, p.url, batch, time.Now().Add(callWithin)) // what is lost is sent again by the log
	}
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
func decode(r *http.Request, to any) error {
	text, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, mostBody))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, to); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
