package main

import (
	"net/url"
	"testing"
	"time"

	"brassdale/internal/load"
)

// The load generator over each wire against the program: every job that it counts served was run by the endpoint, and
// what the program refuses is counted so.
func TestLoadGenerator_allProtocols(t *testing.T) {
	t.Parallel()
	a := startWorker(t, "a", completeJob)
	n := startDispatcher(t, http2Frontend+progressFrontend("lines")+"", a)
	for wire, address := range map[load.Wire]string{load.HTTP1: n.http1URL, load.HTTP2: n.http2URL, load.Events: n.progressURL} {
		at, err := url.Parse(address)
		if err != nil {
			t.Fatal(err)
		}
		c, err := load.NewClient(wire, "price-part", []string{at.Host})
		if err != nil {
			t.Fatal(err)
		}
		_, before := a.count()
		plan := load.Generated([]load.Phase{{Shape: load.Poisson, For: 100 * time.Millisecond, Rate: 40}}, load.Mix{Accounts: []load.Account{{Name: "acct", Share: 1}}, Subjects: 3}, 1)
		f := load.Run(t.Context(), plan, c, load.Options{Terms: load.Terms{Class: "price-part", GiveUp: 5 * time.Second}}).Figures()
		c.Close()
		if _, after := a.count(); f.Planned == 0 || f.Outcomes["served"] != f.Planned || after-before < f.Planned {
			t.Errorf("%s: %v of %d jobs, %d at the endpoint", wire, f.Outcomes, f.Planned, after-before)
		}
	}
	c, err := load.NewClient(load.HTTP1, "no-such-class", []string{n.http1URL[len("http://"):]})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if f := load.Run(t.Context(), load.Recorded([]load.Job{{}}), c, load.Options{Terms: load.Terms{GiveUp: 5 * time.Second}}).Figures(); f.Outcomes["failed"] != 1 {
		t.Errorf("an unknown class: %v", f.Outcomes)
	}
}
