package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"brassdale/scheduler"
)

// Config returns the platform's configuration file for a dispatcher, by index. It listens on a port that the system chooses.
func (c *Cluster) Config(dispatcher int) ([]byte, error) {
	if dispatcher < 0 || dispatcher >= len(c.discoveryServers) {
		return nil, errors.New("there is no such dispatcher")
	}
	server, scenario := c.discoveryServers[dispatcher], c.sim.scenario
	server.mu.Lock()
	known, _ := server.endpointsSince(fullList)
	discovery := server.listener.Addr().String()
	server.mu.Unlock()
	return json.MarshalIndent(configObject{
		"name":      fmt.Sprintf("n%d", dispatcher),
		"listen":    "127.0.0.1:0",
		"discovery": discovery,
		"seed":      fmt.Sprintf("%016x", scenario.Seed),
		"limits":    configObject{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":     known,
		"settings":  c.configSettings(dispatcher, server.zone),
	}, "", " ")
}

// configObject is a JSON object of the configuration file. It follows the protocol's documentation and shares no
// type with the program that reads it, so that a mistake in either shows.
type configObject = map[string]any

// configSettings returns the settings of the configuration file. Durations are in microseconds.
func (c *Cluster) configSettings(dispatcher, zone int) configObject {
	scenario, settings := c.sim.scenario, c.sim.schedulerSettings(dispatcher)
	class := settings.Classes[0]
	effect := map[scheduler.Idempotency]string{scheduler.Idempotent: "safe", scheduler.IdempotentWithKey: "keyed", scheduler.NonIdempotent: "unsafe"}[class.Idempotency]
	var kinds []string
	for _, kind := range scenario.Kinds {
		kinds = append(kinds, kind.Name)
	}
	return configObject{
		"classes": []configObject{{"aim": class.LatencyObjective.Microseconds(), "credit": class.PriorityWeight, "deadline": class.Deadline.Microseconds(),
			"dedupScope": "cell", "effect": effect, "lateWorth": 0, "name": className, "stream": false, "window": class.DeduplicationWindow.Microseconds()}},
		"countedBy":  "work",
		"discovery":  "ask",
		"familyInfo": configObject{"classKind": []int{-1}, "classStretch": []float64{class.ObjectiveStretch}, "progress": 0, "tellsStart": true},
		"flavors":    kinds,
		"limits": configObject{"cancel": settings.MayCancel, "connIdle": 10_000_000, "connectTimeout": 200_000, "maxAttempts": settings.MaxAttempts,
			"maxRetryAfter": settings.MaxRetryAfter.Microseconds(), "mayDuplicate": settings.MayHedge, "probing": true, "retryAfter": true},
		"loadReport":   configObject{"columns": []string{"cpu_share", "pending", "x0", "x1"}, "via": "pull"},
		"locality":     zone,
		"ordinal":      dispatcher,
		"prices":       configObject{"crossZone": scenario.Network.CrossPrice},
		"replicasOfMe": scenario.Dispatchers,
		"rules": configObject{"answerSlack": settings.AnswerSlack.Microseconds(), "askWithin": settings.MaxPollInterval.Microseconds(),
			"cold": settings.SlowStartDuration.Microseconds(), "drainGrace": scenario.Rules.DrainGrace.Microseconds(),
			"fall": settings.OverloadWindow.Microseconds(), "startCapacity": settings.SlowStartCapacity, "tipMultiple": settings.OverloadMultiple},
		"zones": c.zoneNames(),
	}
}

// zoneNames returns the names of the scenario's zones.
func (c *Cluster) zoneNames() (names []string) {
	if c.sim.scenario.Network.Zones < 2 {
		return []string{"llanelli"}
	}
	for z := range c.sim.scenario.Network.Zones {
		names = append(names, c.sim.zoneName(z))
	}
	return names
}

// WriteConfig writes a dispatcher's configuration file into a directory of its own in dir and returns the file's path.
func (c *Cluster) WriteConfig(dir string, dispatcher int) (path string, err error) {
	config, err := c.Config(dispatcher)
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, fmt.Sprint(dispatcher), "config.json")
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, config, 0o600)
}
