package fit

import (
	"encoding/json"
	"io"
)

// roundedNumber is a computed number that is encoded in JSON with six significant digits.
type roundedNumber float64

// MarshalJSON writes six significant digits.
func (n roundedNumber) MarshalJSON() ([]byte, error) { return []byte(formatSixDigits(float64(n))), nil }

// The content of slopes.json. Its keys are a file format and do not change. Slopes are in the metric's unit per unit of the regressor.
type (
	slopesFile struct {
		Sweeps   []sweepJSON `json:"against"`
		Excluded []string    `json:"fell_behind"`
	}
	sweepJSON struct {
		Regressor     string      `json:"by"`
		Constant      string      `json:"held,omitempty"`
		Runs          int         `json:"runs"`
		RunsElsewhere int         `json:"runs_aside"`
		Reason        string      `json:"why,omitempty"`
		Slopes        []slopeJSON `json:"slopes"`
	}
	slopeJSON struct {
		Role         string     `json:"role"`
		Metric       string     `json:"figure"`
		Observations int        `json:"points"`
		Linear       *modelJSON `json:"linear,omitempty"`
		Logarithmic  *modelJSON `json:"log2,omitempty"`
		Verdict      Verdict    `json:"verdict"`
		Reason       string     `json:"why,omitempty"`
	}
	modelJSON struct {
		Slope                 roundedNumber  `json:"slope"`
		SlopeLow              roundedNumber  `json:"slope_low"`
		SlopeHigh             roundedNumber  `json:"slope_high"`
		Intercept             roundedNumber  `json:"intercept"`
		ResidualStandardError roundedNumber  `json:"residual_standard_error"`
		RSquared              *roundedNumber `json:"r_squared,omitempty"`
	}
)

// writeSlopesJSON writes the sweeps and slopes of runs as JSON.
func writeSlopesJSON(out io.Writer, runs []Run) error {
	_, excluded := excludeFellBehind(runs)
	file := slopesFile{Sweeps: []sweepJSON{}, Excluded: append([]string{}, excluded...)} // empty arrays, not null
	for _, sweep := range Sweeps(runs) {
		file.Sweeps = append(file.Sweeps, sweep.json())
	}
	text, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return err
	}
	_, err = out.Write(append(text, '\n'))
	return err
}

func (s Sweep) json() sweepJSON {
	slopes := []slopeJSON{} // an empty array, not null
	for _, slope := range s.Slopes {
		slopes = append(slopes, slopeJSON{Role: slope.Role, Metric: slope.Metric, Observations: slope.Observations,
			Linear: slope.Linear.json(), Logarithmic: slope.Logarithmic.json(), Verdict: slope.Verdict, Reason: slope.Reason})
	}
	return sweepJSON{Regressor: s.Regressor, Constant: s.Constant, Runs: s.Runs, RunsElsewhere: s.RunsElsewhere, Reason: s.Reason, Slopes: slopes}
}

// json returns the model for JSON. The model may be nil.
func (m *Model) json() *modelJSON {
	if m == nil {
		return nil
	}
	return &modelJSON{
		Slope:                 roundedNumber(m.Slope),
		SlopeLow:              roundedNumber(m.SlopeInterval.Low),
		SlopeHigh:             roundedNumber(m.SlopeInterval.High),
		Intercept:             roundedNumber(m.Intercept),
		ResidualStandardError: roundedNumber(m.ResidualStandardError),
		RSquared:              (*roundedNumber)(m.RSquared),
	}
}
