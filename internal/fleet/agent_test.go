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

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// FuzzSplitBatch splits arbitrary bytes, which either fails or gives the same batch again, and batches of messages, which gives
// the messages.
func FuzzSplitBatch(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 7}, []byte("m"))
	f.Add([]byte{255, 255, 255, 255}, []byte{})
	f.Fuzz(func(t *testing.T, text, m []byte) {
		if all, err := splitBatch(text); err == nil {
			var again []byte
			for _, m := range all {
				again = appendMessage(again, m)
			}
			if !bytes.Equal(again, text) {
				t.Fatalf("%v became %v", text, again)
			}
		}
		if all, err := splitBatch(appendMessage(appendMessage(nil, m), text)); err != nil || len(all) != 2 || !bytes.Equal(all[0], m) || !bytes.Equal(all[1], text) {
			t.Fatalf("%v, %v", all, err)
		}
	})
}

// FuzzCalls makes arbitrary calls to a dispatcher that leads nobody: it responds, and accepts nothing.
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
	f.Fuzz(func(t *testing.T, what, body string) {
		if strings.ContainsAny(what, " \r\n?#%/") || what == "" || what == "." || what == ".." {
			return
		}
		w := httptest.NewRecorder()
		r, err := http.NewRequestWithContext(context.Background(), "POST", "http://h/council/x", strings.NewReader(body))
		if err != nil {
			return
		}
		r.URL.Path = "/council/" + what
		agent.handler().ServeHTTP(w, r)
		if w.Code < 300 && what != "status" && what != "founder" {
			t.Fatalf("%s %q: %d", what, body, w.Code)
		}
	})
}

func options(dir string) Options {
	return Options{Settings: &Settings{Name: "t", Listen: "127.0.0.1:0", Voters: []string{"127.0.0.1:1"}, Directory: dir, LeaseDuration: "1s", ReplaceAfter: "30s"}, Name: "n0",
		ApplyEffective: func(configversions.Effective) {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
}

// FuzzResponse applies arbitrary responses to a record: that fails, or leads to the record that follows.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(`{"entries":[{"id":"a","announce":{"number":0,"rules":{"retries":0.1}}},{"id":"b","force":1}],"lease_ms":5}`))
	f.Add([]byte(`{"record":{"revision":4,"in_force":{"number":2}}}`))
	f.Add([]byte(`{"entries":[{"id":"a","council":[{"id":9,"address":"x"}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var got response
		if json.Unmarshal(text, &got) != nil {
			return
		}
		r, err := got.applyTo(configversions.Record{})
		if err == nil && got.Record == nil && r.Revision != uint64(len(got.Entries)) {
			t.Fatalf("%d entries make revision %d", len(got.Entries), r.Revision)
		}
	})
}

// TestResponseApplyTo_newerRecord applies entries to a record that has them already, as the subscription may bring between a
// request and its response: that is an error. Counted twice they would make the dispatcher newer than its voters for good.
func TestResponseApplyTo_newerRecord(t *testing.T) {
	votersEntry := func(id uint64) configversions.Entry {
		return configversions.Entry{Voters: []voters.Voter{{ID: id, Address: "x"}}}
	}
	asked, _ := configversions.Record{}.Apply(votersEntry(1))
	got := response{Entries: []configversions.Entry{votersEntry(2)}, Revision: 2}
	newer, err := got.applyTo(asked)
	if err != nil || newer.Revision != 2 {
		t.Fatalf("%+v, %v", newer, err)
	}
	if _, err := got.applyTo(newer); err == nil {
		t.Error("entries were applied twice")
	}
}

// TestNew_storedRecord checks that the record of the last process is effective in the next one, without a lease.
func TestNew_storedRecord(t *testing.T) {
	o := options(t.TempDir())
	open := func() *Agent {
		a, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	if st := open().Effective(); !st.LeaseExpired || st.Rules.RetriesAllowed || st.Rules.RetryRatio != -1 {
		t.Errorf("at first %+v", st)
	}
	a := open()
	a.saveRecord(configversions.Record{Revision: 2, InForce: configversions.Version{Number: 1, Rules: configversions.Rules{RetryRatio: 0.2, RetriesAllowed: true, DetachedWorkers: []string{"b"}}}})
	if st := open().Effective(); !st.LeaseExpired || st.Versions[0] != 1 || st.Rules.RetriesAllowed || len(st.Rules.DetachedWorkers) != 1 {
		t.Errorf("then %+v", st)
	}
}
