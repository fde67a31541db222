package scale

import (
	"encoding/json"
	"os"

	"brassdale/internal/fleet"
)

// HollowSpec configures a process of hollow dispatchers, which are all in one zone.
type HollowSpec struct {
	ConfigPath       string                 `json:"config"` // the platform's configuration file
	Directory        string                 `json:"directory"`
	Fleet            string                 `json:"fleet"`
	Zone             string                 `json:"zone"`
	Region           string                 `json:"region"`
	LeaseDuration    string                 `json:"bound"`
	ReplaceAfter     string                 `json:"replace"`
	Voters           []string               `json:"voters"`
	FleetSize        int                    `json:"among"`    // dispatchers that serve jobs
	Capacity         map[string]float64     `json:"capacity"` // slots by zone, for reports
	Workers          int                    `json:"workers"`
	Rate             float64                `json:"rate"` // jobs a second that each dispatcher reports
	Failover         *fleet.Failover        `json:"failover"`
	Overload         *fleet.Overload        `json:"overload"`
	AddressOverrides map[string]string      `json:"reach,omitempty"`
	Seed             uint64                 `json:"seed"`
	Baseline         bool                   `json:"bare"` // they have no fleet agent, and only call discovery
	Dispatchers      []HollowDispatcherSpec `json:"each"`
}

// HollowDispatcherSpec configures one of the dispatchers.
type HollowDispatcherSpec struct {
	Name    string `json:"name"`
	Address string `json:"address"` // where other dispatchers reach it
}

// LoadHollowSpec reads a spec from a file.
func LoadHollowSpec(path string) (HollowSpec, error) {
	var spec HollowSpec
	text, err := os.ReadFile(path)
	if err != nil {
		return spec, err
	}
	return spec, json.Unmarshal(text, &spec)
}
