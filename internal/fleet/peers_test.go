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

// FuzzFrames takes batches apart that nobody put together; those that were come back as they were.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 7}, []byte("m"))
	f.Add([]byte{255, 255, 255, 255}, []byte{})
	f.Fuzz(func(t *testing.T, text, m []byte) {
		if all, err := frames(text); err == nil {
			var again []byte
			for _, m := range all {
				again = frame(again, m)
			}
			if !bytes.Equal(again, text) {
				t.Fatalf("%v became %v", text, again)
			}
		}
		if all, err := frames(frame(frame(nil, m), text)); err != nil || len(all) != 2 || !bytes.Equal(all[0], m) || !bytes.Equal(all[1], text) {
			t.Fatalf("%v, %v", all, err)
		}
	})
}

// FuzzCalls sends a dispatcher what no other sends: it answers, and takes nothing for a proposal that is none.
func FuzzCalls(f *testing.F) {
	a, err := New(options(f.TempDir()))
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
		a.handler().ServeHTTP(w, r)
		if w.Code < 300 && what != "status" && what != "founder" {
			t.Fatalf("%s %q: %d", what, body, w.Code)
		}
	})
}

func options(dir string) Options {
	return Options{Settings: &Settings{Name: "t", Listen: "127.0.0.1:0", Voters: []string{"127.0.0.1:1"}, Directory: dir, LeaseDuration: "1s", ReplaceAfter: "30s"}, Name: "n0",
		ApplyEffective: func(configversions.Effective) {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
}

// FuzzAnswer puts what no seat answers onto a record: it is refused, or follows from it.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"entries":[{"id":"a","announce":{"number":0,"rules":{"retries":0.1}}},{"id":"b","force":1}],"lease_ms":5}`))
	f.Add([]byte(`{"record":{"revision":4,"in_force":{"number":2}}}`))
	f.Add([]byte(`{"entries":[{"id":"a","council":[{"id":9,"address":"x"}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var got answer
		if json.Unmarshal(text, &got) != nil {
			return
		}
		r, err := got.onto(configversions.Record{})
		if err == nil && got.Record == nil && r.Revision != uint64(len(got.Entries)) {
			t.Fatalf("%d entries make revision %d", len(got.Entries), r.Revision)
		}
	})
}

// Entries follow the record that was asked about. Put onto a newer one, which the subscription had brought meanwhile, those
// that any record takes were counted twice, and the dispatcher took itself for newer than its council for good.
func TestEntriesFollowTheQuestion(t *testing.T) {
	council := func(id uint64) configversions.Entry {
		return configversions.Entry{Voters: []voters.Voter{{ID: id, Address: "x"}}}
	}
	asked, _ := configversions.Record{}.Apply(council(1))
	got := answer{Entries: []configversions.Entry{council(2)}, Revision: 2}
	newer, err := got.onto(asked)
	if err != nil || newer.Revision != 2 {
		t.Fatalf("%+v, %v", newer, err)
	}
	if _, err := got.onto(newer); err == nil {
		t.Error("entries were taken twice")
	}
}

// What was known at the last end holds at the next start, without a lease; what cannot be read is as nothing.
func TestKnownOutlastsTheProcess(t *testing.T) {
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
	a.keep(configversions.Record{Revision: 2, InForce: configversions.Version{Number: 1, Rules: configversions.Rules{RetryRatio: 0.2, RetriesAllowed: true, DetachedWorkers: []string{"b"}}}})
	if st := open().Effective(); !st.LeaseExpired || st.Versions[0] != 1 || st.Rules.RetriesAllowed || len(st.Rules.DetachedWorkers) != 1 {
		t.Errorf("then %+v", st)
	}
}
