package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// deploymentFile is the part of a deployment's file that reaches a dispatcher as settings. Where the file has a range, such as ColdS, the
// platform draws a value from it.
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

// readDeployment reads a file of deploy/sites.
func readDeployment(t *testing.T, path string) (deployment deploymentFile) {
	t.Helper()
	if _, err := toml.DecodeFile(path, &deployment); err != nil {
		t.Fatal(err)
	}
	return deployment
}

// settingsJSON returns the settings as the platform's file has them.
func (f deploymentFile) settingsJSON(t *testing.T) string {
	t.Helper()
	type object = map[string]any
	machine, tier := f.Tier[0].Kind[0], f.Tier[0]
	var classes, accounts []object
	var stretches []float64
	for i, class := range f.Class {
		settings := object{"name": class.Name, "effect": class.Effect, "aim": class.AimMS * 1000, "deadline": class.DeadlineMS * 1000,
			"credit": class.Worth, "lateWorth": class.LateWorth, "stream": false}
		if class.Effect == "keyed" {
			settings["dedupScope"], settings["window"] = class.Group, class.WindowMS*1000
		}
		classes, stretches = append(classes, settings), append(stretches, f.Fam.Class[min(i, len(f.Fam.Class)-1)].Stretch)
	}
	for _, tenant := range f.Tenant {
		accounts = append(accounts, object{"name": tenant.Name, "fraction": tenant.Share, "quotaPerS": 100 * tenant.Share})
	}
	via := map[string]string{"answers": "piggyback", "probe": "pull"}[tier.Report.How]
	text, err := json.Marshal(object{"classes": classes, "orgs": accounts, "discovery": f.Discovery.Mode, "flavors": []string{machine.Name},
		"zones": f.Net.Zones, "layers": []string{tier.Name}, "replicasOfMe": 1, "ordinal": 0, "locality": 0,
		"familyInfo": object{"classStretch": stretches, "tellsStart": f.Fam.TellsStart, "progress": f.Fam.ProgressS * 1e6},
		"limits": object{"cancel": f.Allow.Cancel, "probing": f.Allow.Probes, "mayDuplicate": f.Allow.SecondCopies,
			"retryAfter": f.Allow.RetryAfter, "maxAttempts": f.Allow.MaxAttempts, "maxRetryAfter": f.Clients.MaxRetryAfterMS * 1000,
			"connIdle": tier.Conn.IdleS * 1e6, "connectTimeout": tier.Conn.ConnectTimeoutMS * 1000},
		"loadReport": object{"columns": tier.Report.Fields, "via": via},
		"rules": object{"answerSlack": 8000, "askWithin": 10000000, "cold": machine.ColdS[1] * 1e6, "startCapacity": machine.ColdFrom[0],
			"drainGrace": f.Rules.DrainGraceMS * 1000, "fall": f.Rules.FallMS * 1000, "tipMultiple": f.Rules.FallMultiple}})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestDeployments_served checks that each class of each deployment is served according to its idempotency, and that a class of another
// deployment is unknown. The deployments differ in names, classes, idempotency, limits, and whether lists are pushed or polled.
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
			workers := startNamedWorkers(t, completeJob, "a", "b")
			dispatcher := startDispatcherWith(t, "", withSetting(settingsJSON, deployment.settingsJSON(t)), workers...)
			nonIdempotent := 0
			for i, class := range deployment.Class {
				send := func(id, key string) int {
					account := deployment.Tenant[i%len(deployment.Tenant)].Name
					r := newRequest(dispatcher.http1URL, id, "Req-Kind", class.Name, "Req-Owner", account, "Idempotency-Key", key,
						"Req-Deadline-Ms", fmt.Sprint(class.DeadlineMS))
					r.URL.Path = "/" + class.Name
					status, body, _ := dispatcher.send(r)
					if status == 200 && body != "priced" {
						t.Errorf("%s: answered %q, want \"priced\"", class.Name, body)
					}
					return status
				}
				if status := send(class.Name+"-1", class.Name+"-1"); status != 200 {
					t.Errorf("%s: status %d, want 200", class.Name, status)
				}
				want := 200 // the request has no key, which only a class that is idempotent with key requires
				if class.Effect == "keyed" {
					want = 400
				} else if class.Effect == "unsafe" {
					nonIdempotent++
				}
				if status := send(class.Name+"-2", ""); status != want {
					t.Errorf("%s, %s, without a key: status %d, want %d", class.Name, class.Effect, status, want)
				}
			}
			if nonIdempotent == 0 {
				t.Error("the deployment has no non-idempotent class, want at least one")
			}
			if status, _, _ := dispatcher.sendKey("foreign"); status != 404 {
				t.Errorf("a class of another deployment: status %d, want 404", status)
			}
		})
	}
	if !modes["ask"] || !modes["push"] {
		t.Errorf("modes of discovery %v, want ask and push", modes)
	}
}

// TestSources_nameNoCustomer checks that the program's sources and its deploy file name no customer's classes, accounts, tiers or zones.
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
		for _, class := range deployment.Class {
			names = append(names, class.Name)
		}
		for _, tenant := range deployment.Tenant {
			names = append(names, tenant.Name)
		}
	}
	emulations := []string{"/emulator/", "/faults/", "/load/", "/experiment/"} // they define their own deployments
	sources := []string{"../../deploy/balancer.toml"}
	for _, glob := range []string{"../../scheduler/*.go", "../../internal/*/*.go", "../../internal/*/*/*.go", "*.go"} {
		found, err := filepath.Glob(glob)
		if err != nil {
			t.Fatal(err)
		}
		sources = append(sources, found...)
	}
	for _, file := range sources {
		if strings.HasSuffix(file, "_test.go") || slices.ContainsFunc(emulations, func(dir string) bool { return strings.Contains(file, dir) }) {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if strings.Contains(strings.ToLower(string(text)), name) {
				t.Errorf("%s contains the customer's name %q", file, name)
			}
		}
	}
}
