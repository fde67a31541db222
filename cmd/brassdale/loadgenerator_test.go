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
	worker := startWorker(t, "a", completeJob)
	dispatcher := startDispatcher(t, http2Frontend+progressFrontend("lines")+"", worker)
	for wire, address := range map[load.Wire]string{load.HTTP1: dispatcher.http1URL, load.HTTP2: dispatcher.http2URL, load.Events: dispatcher.progressURL} {
		at, err := url.Parse(address)
		if err != nil {
			t.Fatal(err)
		}
		client, err := load.NewClient(wire, "price-part", []string{at.Host})
		if err != nil {
			t.Fatal(err)
		}
		_, before := worker.count()
		plan := load.Generated([]load.Phase{{Shape: load.Poisson, For: 100 * time.Millisecond, Rate: 40}}, load.Mix{Accounts: []load.Account{{Name: "acct", Share: 1}}, Subjects: 3}, 1)
		figures := load.Run(t.Context(), plan, client, load.Options{Terms: load.Terms{Class: "price-part", GiveUp: 5 * time.Second}}).Figures()
		client.Close()
		if _, after := worker.count(); figures.Planned == 0 || figures.Outcomes["served"] != figures.Planned || after-before < figures.Planned {
			t.Errorf("%s: %v of %d jobs, %d at the endpoint", wire, figures.Outcomes, figures.Planned, after-before)
		}
	}
	client, err := load.NewClient(load.HTTP1, "no-such-class", []string{dispatcher.http1URL[len("http://"):]})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if figures := load.Run(t.Context(), load.Recorded([]load.Job{{}}), client, load.Options{Terms: load.Terms{GiveUp: 5 * time.Second}}).Figures(); figures.Outcomes["failed"] != 1 {
		t.Errorf("an unknown class: %v", figures.Outcomes)
	}
}
