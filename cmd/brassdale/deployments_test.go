package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// customer is what a deployment's file tells that reaches a dispatcher as settings. A range stands for a draw from it.
type deploymentFile struct {
	Name  string
	Net   struct{ Zones []string }
	Allow struct {
		Probes, Cancel bool
		SecondCopies   bool `toml:"second_copies"`
		RetryAfter     bool `toml:"retry_after"`
		MaxAttempts    int  `toml:"max_attempts"`
	}
	Clients struct {
		MaxRetryAfterMS int `toml:"max_retry_after_ms"`
	}
	Discovery struct{ Mode string }
	Rules     struct {
		DrainGraceMS int     `toml:"drain_grace_ms"`
		FallMultiple float64 `toml:"fall_multiple"`
		FallMS       int     `toml:"fall_ms"`
	}
	Tier []struct {
		Name   string
		Report struct {
			How    string
			Fields []string
		}
		Conn struct {
			IdleS            float64 `toml:"idle_s"`
			ConnectTimeoutMS int     `toml:"connect_timeout_ms"`
		}
		Kind []struct {
			Name     string
			ColdFrom []float64 `toml:"cold_from"`
			ColdS    []float64 `toml:"cold_s"`
		}
	}
	Class []struct {
		Name, Effect, Group string
		AimMS               int `toml:"aim_ms"`
		DeadlineMS          int `toml:"deadline_ms"`
		WindowMS            int `toml:"window_ms"`
		Worth               float64
		LateWorth           float64 `toml:"late_worth"`
	}
	Tenant []struct {
		Name  string
		Share float64
	}
	Fam struct {
		TellsStart bool    `toml:"tells_start"`
		ProgressS  float64 `toml:"progress_s"`
		Class      []struct{ Stretch float64 }
	}
}

func readDeployment(t *testing.T, file string) (deployment deploymentFile) {
	t.Helper()
	if _, err := toml.DecodeFile(file, &deployment); err != nil {
		t.Fatal(err)
	}
	return deployment
}

// settings gives them as the platform's file has them.
func (f deploymentFile) settingsJSON(t *testing.T) string {
	t.Helper()
	type object = map[string]any
	kind, tier := f.Tier[0].Kind[0], f.Tier[0]
	var classes, orgs []object
	var stretch []float64
	for i, test := range f.Class {
		class := object{"name": test.Name, "effect": test.Effect, "aim": test.AimMS * 1000, "deadline": test.DeadlineMS * 1000,
			"credit": test.Worth, "lateWorth": test.LateWorth, "stream": false}
		if test.Effect == "keyed" {
			class["dedupScope"], class["window"] = test.Group, test.WindowMS*1000
		}
		classes, stretch = append(classes, class), append(stretch, f.Fam.Class[min(i, len(f.Fam.Class)-1)].Stretch)
	}
	for _, o := range f.Tenant {
		orgs = append(orgs, object{"name": o.Name, "fraction": o.Share, "quotaPerS": 100 * o.Share})
	}
	via := map[string]string{"answers": "piggyback", "probe": "pull"}[tier.Report.How]
	text, err := json.Marshal(object{"classes": classes, "orgs": orgs, "discovery": f.Discovery.Mode, "flavors": []string{kind.Name},
		"zones": f.Net.Zones, "layers": []string{tier.Name}, "replicasOfMe": 1, "ordinal": 0, "locality": 0,
		"familyInfo": object{"classStretch": stretch, "tellsStart": f.Fam.TellsStart, "progress": f.Fam.ProgressS * 1e6},
		"limits": object{"cancel": f.Allow.Cancel, "probing": f.Allow.Probes, "mayDuplicate": f.Allow.SecondCopies,
			"retryAfter": f.Allow.RetryAfter, "maxAttempts": f.Allow.MaxAttempts, "maxRetryAfter": f.Clients.MaxRetryAfterMS * 1000,
			"connIdle": tier.Conn.IdleS * 1e6, "connectTimeout": tier.Conn.ConnectTimeoutMS * 1000},
		"loadReport": object{"columns": tier.Report.Fields, "via": via},
		"rules": object{"answerSlack": 8000, "askWithin": 10000000, "cold": kind.ColdS[1] * 1e6, "startCapacity": kind.ColdFrom[0],
			"drainGrace": f.Rules.DrainGraceMS * 1000, "fall": f.Rules.FallMS * 1000, "tipMultiple": f.Rules.FallMultiple}})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The program serves customers whose settings have nothing of one another: names, classes, effects, limits, lists that are
// pushed or asked for. Each class is served, under its own effect's rules; the classes of another customer are unknown.
func TestDeployments_served(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatal(files, err)
	}
	modes := map[string]bool{}
	for _, file := range files {
		deployment := readDeployment(t, file)
		modes[deployment.Discovery.Mode] = true
		t.Run(deployment.Name, func(t *testing.T) {
			t.Parallel()
			of := deployment.settingsJSON(t)
			workerB, workerC := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
			dispatcher := startDispatcherWith(t, "", func(config string) string { return strings.Replace(config, settingsJSON, of, 1) }, workerB, workerC)
			unsafe := 0
			for i, class := range deployment.Class {
				ask := func(id, key string) int {
					r := newRequest(dispatcher.http1URL, id, "Req-Kind", class.Name, "Req-Owner", deployment.Tenant[i%len(deployment.Tenant)].Name, "Idempotency-Key", key,
						"Req-Deadline-Ms", fmt.Sprint(class.DeadlineMS))
					r.URL.Path = "/" + class.Name
					status, body, _ := dispatcher.send(r)
					if status == 200 && body != "priced" {
						t.Errorf("%s: %q", class.Name, body)
					}
					return status
				}
				if got := ask(class.Name+"-1", class.Name+"-1"); got != 200 {
					t.Errorf("%s: %d", class.Name, got)
				}
				want := 200 // a key is a matter of keyed classes
				if class.Effect == "keyed" {
					want = 400
				} else if class.Effect == "unsafe" {
					unsafe++
				}
				if got := ask(class.Name+"-2", ""); got != want {
					t.Errorf("%s, %s, without a key: %d, want %d", class.Name, class.Effect, got, want)
				}
			}
			if unsafe == 0 {
				t.Error("no class that must not be repeated")
			}
			if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "foreign")); status != 404 {
				t.Errorf("a class of another customer: %d", status)
			}
		})
	}
	if !modes["ask"] || !modes["push"] {
		t.Errorf("lists come only as %v", modes)
	}
}

// What reaches the platform, program and deploy file, names no customer's classes, tenants, kinds or zones.
func TestSources_nameNoCustomer(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	names := []string{"price-part", "llanelli", "costing-workers", "deeside-aero", "credit-lookup", "statement-build", "payment-post",
		"lakes-billing", "amman", "bulk-order", "stock-check"}
	for _, file := range files {
		deployment := readDeployment(t, file)
		names = append(names, deployment.Name, deployment.Tier[0].Name)
		for _, test := range deployment.Class {
			names = append(names, test.Name)
		}
		for _, o := range deployment.Tenant {
			names = append(names, o.Name)
		}
	}
	sources := []string{"../../deploy/balancer.toml"}
	for _, glob := range []string{"../../scheduler/*.go", "../../internal/*/*.go", "../../internal/*/*/*.go", "*.go"} {
		found, err := filepath.Glob(glob)
		if err != nil {
			t.Fatal(err)
		}
		sources = append(sources, found...)
	}
	for _, file := range sources {
		if strings.HasSuffix(file, "_test.go") || strings.Contains(file, "/emulator/") || strings.Contains(file, "/faults/") || strings.Contains(file, "/load/") || strings.Contains(file, "/experiment/") {
			continue // stand-ins have customers of their own
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if strings.Contains(strings.ToLower(string(text)), name) {
				t.Errorf("%s names %q", file, name)
			}
		}
	}
}
