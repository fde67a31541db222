package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// fleetName is the name of the fleet in all runs, and of the author of its config versions.
const fleetName = "rig"

// startDispatcher starts the process of a real dispatcher, and returns when it is ready.
func (r *run) startDispatcher(ctx context.Context, started *dispatcher) error {
	config, err := r.writeConfig(started.emulatorIndex, started.name)
	if err != nil {
		return err
	}
	args := []string{"serve"}
	if started.role != roleBaseline {
		path := filepath.Join(r.directory, "operator-"+started.name+".hcl")
		if err := os.WriteFile(path, []byte(r.operatorFile(started)), 0o600); err != nil {
			return err
		}
		args = append(args, "--operator", path)
	}
	environment := []string{"GW_CONFIG=" + config} // overrides the value that StartWith sets: the last value of a variable counts
	process, err := r.cluster.StartWith(ctx, r.options.DispatcherProgram, r.directory, started.emulatorIndex, environment, args...)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	started.process = process
	return nil
}

// operatorFile returns the text of a real dispatcher's operator file.
func (r *run) operatorFile(of *dispatcher) string {
	region := r.plan.region(of.zone)
	var text strings.Builder
	fmt.Fprintf(&text, "council {\n fleet = %q\n listen = %q\n seat = %d\n directory = %q\n bound = %q\n replace = %q\n region = %q\n zone = %q\n set_aside = %t\n voters = [",
		fleetName, of.fleetAddress, of.voterNumber, filepath.Join(r.directory, "disk-"+of.name), r.plan.LeaseDuration, r.plan.ReplaceAfter,
		regionName(region), zoneName(of.zone), of.role == roleDedicated)
	for _, address := range r.voterAddresses {
		fmt.Fprintf(&text, "%q, ", address)
	}
	text.WriteString("]\n reach = {\n")
	for address, linkAddress := range r.links.addressesFrom(region) {
		fmt.Fprintf(&text, "  %q = %q\n", address, linkAddress)
	}
	text.WriteString(" }\n}\nfailover {\n")
	for _, each := range r.failover.Regions {
		fmt.Fprintf(&text, " region %q {\n  zones = [", each.Name)
		for _, zone := range each.Zones {
			fmt.Fprintf(&text, "%q, ", zone)
		}
		text.WriteString("]\n }\n")
	}
	fmt.Fprintf(&text, " headroom = %g\n return_in = %q\n alone = %q\n detect = %q\n}\noverload {\n retries = %g\n probes = %g\n}\n",
		r.failover.Headroom, r.failover.RecoveryRamp, r.failover.MaxTimeWithoutLease, r.failover.DetectionTime, r.overload.RetryRatio, r.overload.ProbesPerSecond)
	return text.String()
}

// platformConfig is a JSON object of the platform's configuration file.
type platformConfig map[string]any

// object returns a nested object; nil if there is none.
func (c platformConfig) object(key string) platformConfig {
	object, _ := c[key].(map[string]any)
	return object
}

// writeConfig writes the platform's configuration file for a listener of the emulator and returns its path, which contains the parameter
// name. The file is the emulator's, except that the number of dispatchers is the size of the whole fleet and that probing is off if the
// plan sets SkipWorkerProbes.
func (r *run) writeConfig(listener int, name string) (path string, err error) {
	text, err := r.cluster.Config(listener)
	if err != nil {
		return "", err
	}
	var config platformConfig
	if err := json.Unmarshal(text, &config); err != nil {
		return "", err
	}
	settings := config.object("settings")
	if settings == nil {
		return "", errors.New("the emulator's configuration file has no settings")
	}
	settings["replicasOfMe"] = r.plan.Dispatchers
	if limits := settings.object("limits"); limits != nil && r.plan.SkipWorkerProbes {
		limits["probing"] = false
	}
	if text, err = json.Marshal(config); err != nil {
		return "", err
	}
	path = filepath.Join(r.directory, "config-"+name+".json")
	return path, os.WriteFile(path, text, 0o600)
}
