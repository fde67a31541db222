package main

import (
	"net/url"
	"testing"
	"time"

	"brassdale/internal/load"
)

// TestLoadGenerator_allProtocols checks the load generator against the program over each protocol: each request that it counts as served
// ran at the worker, and a request that the program rejects is counted as failed.
func TestLoadGenerator_allProtocols(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	dispatcher := startDispatcher(t, http2Frontend+progressFrontend("lines"), worker)
	addresses := map[load.Wire]string{load.HTTP1: dispatcher.http1URL, load.HTTP2: dispatcher.http2URL, load.Events: dispatcher.progressURL}
	for protocol, address := range addresses {
		parsed, err := url.Parse(address)
		if err != nil {
			t.Fatal(err)
		}
		client, err := load.NewClient(protocol, "price-part", []string{parsed.Host})
		if err != nil {
			t.Fatal(err)
		}
		before := worker.jobCount()
		phases := []load.Phase{{Shape: load.Poisson, For: 100 * time.Millisecond, Rate: 40}}
		plan := load.Generated(phases, load.Mix{Accounts: []load.Account{{Name: "acct", Share: 1}}, Subjects: 3}, 1)
		figures := load.Run(t.Context(), plan, client, load.Options{Terms: load.Terms{Class: "price-part", Deadline: 5 * time.Second}}).Figures()
		client.Close()
		if after := worker.jobCount(); figures.Planned == 0 || figures.Outcomes["served"] != figures.Planned || after-before < figures.Planned {
			t.Errorf("%s: outcomes %v of %d requests, %d jobs at the worker, want all served and as many jobs", protocol, figures.Outcomes, figures.Planned, after-before)
		}
	}
	client, err := load.NewClient(load.HTTP1, "no-such-class", []string{dispatcher.http1URL[len("http://"):]})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	options := load.Options{Terms: load.Terms{Deadline: 5 * time.Second}}
	if figures := load.Run(t.Context(), load.Recorded([]load.Job{{}}), client, options).Figures(); figures.Outcomes["failed"] != 1 {
		t.Errorf("an unknown class: outcomes %v, want 1 failed", figures.Outcomes)
	}
}
