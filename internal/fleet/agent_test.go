package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// FuzzSplitBatch checks that splitBatch of arbitrary bytes either fails or returns messages that encode to the same bytes, and that
// splitBatch of an encoded batch returns the messages of the batch.
func FuzzSplitBatch(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 7}, []byte("m"))
	f.Add([]byte{255, 255, 255, 255}, []byte{})
	f.Fuzz(func(t *testing.T, text, message []byte) {
		if messages, err := splitBatch(text); err == nil {
			var again []byte
			for _, message := range messages {
				again = appendMessage(again, message)
			}
			if !bytes.Equal(again, text) {
				t.Fatalf("messages of batch %v are encoded again as %v", text, again)
			}
		}
		if messages, err := splitBatch(appendMessage(appendMessage(nil, message), text)); err != nil || len(messages) != 2 ||
			!bytes.Equal(messages[0], message) || !bytes.Equal(messages[1], text) {
			t.Fatalf("batch of messages %v and %v is split into %v, error %v", message, text, messages, err)
		}
	})
}

// FuzzCalls makes arbitrary calls to a dispatcher that does not lead, and checks that it responds and accepts only the calls status and
// founder.
func FuzzCalls(f *testing.F) {
	agent, err := New(options(f.TempDir()))
	if err != nil {
		f.Fatal(err)
	}
	f.Add("renew", `{"name":"n1","instance":"x","acknowledged":3,"form":1}`)
	f.Add("grant", `[{"name":"n1","instance":"x","acknowledged":3,"form":2,"era":7}]`)
	f.Add("leave", `{"name":"n1","instance":"x"}`)
	f.Add("watch", "")
	f.Add("renew", `{"name":"n1","form":99}`)
	f.Add("messages", "\x00\x00\x00\x01x")
	f.Add("propose", `{"rules":{"retries":99}}`)
	f.Add("status", "")
	f.Fuzz(func(t *testing.T, call, body string) {
		if strings.ContainsAny(call, " \r\n?#%/") || call == "" || call == "." || call == ".." {
			return
		}
		w := httptest.NewRecorder()
		r, err := http.NewRequestWithContext(context.Background(), "POST", "http://h/council/x", strings.NewReader(body))
		if err != nil {
			return
		}
		r.URL.Path = "/council/" + call
		agent.handler().ServeHTTP(w, r)
		if w.Code < 300 && call != "status" && call != "founder" {
			t.Fatalf("call %s with body %q was accepted with status %d", call, body, w.Code)
		}
	})
}

// options returns the options of an agent that is not a voter. Nothing listens at the address of the only voter.
func options(dir string) Options {
	return Options{Settings: &Settings{Name: "t", Listen: "127.0.0.1:0", Voters: []string{"127.0.0.1:1"}, Directory: dir, LeaseDuration: "1s", ReplaceAfter: "30s"}, Name: "n0",
		ApplyEffective: func(configversions.Effective) {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
}

// FuzzResponse checks that an arbitrary response to a renewal either fails to apply to the empty record, or replaces the record or
// raises its revision by the number of entries.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(`{"entries":[{"id":"a","announce":{"number":0,"rules":{"retries":0.1}}},{"id":"b","force":1}],"lease_ms":5}`))
	f.Add([]byte(`{"record":{"revision":4,"in_force":{"number":2}}}`))
	f.Add([]byte(`{"entries":[{"id":"a","council":[{"id":9,"address":"x"}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var got response
		if json.Unmarshal(text, &got) != nil {
			return
		}
		record, err := got.applyTo(configversions.Record{})
		if err == nil && got.Record == nil && record.Revision != uint64(len(got.Entries)) {
			t.Fatalf("revision %d after %d entries", record.Revision, len(got.Entries))
		}
	})
}

// TestResponseApplyTo_newerRecord checks that entries are not applied to a record that already has them. A watch response may
// bring the same entries between a lease request and its response. Applied twice, they would give the dispatcher a higher
// revision than the voters have.
func TestResponseApplyTo_newerRecord(t *testing.T) {
	votersEntry := func(id uint64) configversions.Entry {
		return configversions.Entry{Voters: []voters.Voter{{ID: id, Address: "x"}}}
	}
	requested, _ := configversions.Record{}.Apply(votersEntry(1))
	got := response{Entries: []configversions.Entry{votersEntry(2)}, Revision: 2}
	newer, err := got.applyTo(requested)
	if err != nil || newer.Revision != 2 {
		t.Fatalf("entries applied once: got %+v, error %v; want revision 2", newer, err)
	}
	if _, err := got.applyTo(newer); err == nil {
		t.Error("entries were applied twice")
	}
}

// TestNew_storedRecord checks that the record that a process stored is effective in its successor, without a lease and therefore without
// retries.
func TestNew_storedRecord(t *testing.T) {
	configured := options(t.TempDir())
	open := func() *Agent {
		t.Helper()
		agent, err := New(configured)
		if err != nil {
			t.Fatal(err)
		}
		return agent
	}
	if effective := open().Effective(); !effective.LeaseExpired || effective.Rules.RetriesAllowed || effective.Rules.RetryRatio != -1 {
		t.Errorf("without a stored record: got %+v; want an expired lease, no retries and no retry bound", effective)
	}
	open().saveRecord(configversions.Record{Revision: 2, InForce: configversions.Version{Number: 1, Rules: configversions.Rules{RetryRatio: 0.2, RetriesAllowed: true, DetachedWorkers: []string{"b"}}}})
	if effective := open().Effective(); !effective.LeaseExpired || effective.Versions[0] != 1 || effective.Rules.RetriesAllowed || len(effective.Rules.DetachedWorkers) != 1 {
		t.Errorf("with a stored record: got %+v; want an expired lease, version 1, no retries and 1 detached worker", effective)
	}
}

// TestStatus_whileRunBegins guards against a data race between Status and the start of Run. Only the race detector detects it.
func TestStatus_whileRunBegins(t *testing.T) {
	agent, err := New(options(t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { agent.Run(ctx); close(ended) }()
	for len(agent.Status().Members) == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-ended
}
