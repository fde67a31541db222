package fit

import (
	"fmt"
	"strings"
	"testing"
)

// TestSelectSweep checks that the runs of a sweep differ only in its parameter, and that only parameters that vary are fitted.
func TestSelectSweep(t *testing.T) {
	run := func(dispatchers, workers float64) Run {
		return Run{Values: map[string]float64{"dispatchers": dispatchers, "workers": workers, "zones": 8}}
	}
	runs := []Run{run(75, 530), run(300, 530), run(800, 530), run(300, 530), run(300, 100), run(300, 1060), run(75, 100)}
	for parameter, want := range map[string]string{
		"dispatchers": "75/530 300/530 300/530 800/530 at workers 530, zones 8", "workers": "300/100 300/530 300/530 300/1060 at dispatchers 300, zones 8",
		"changes": " at ",
	} {
		selected, constant := SelectSweep(runs, parameter)
		var pairs []string
		for _, run := range selected {
			pairs = append(pairs, fmt.Sprintf("%v/%v", run.Values["dispatchers"], run.Values["workers"]))
		}
		if got := strings.Join(pairs, " ") + " at " + constant; got != want {
			t.Errorf("%s: got %s, expected %s", parameter, got, want)
		}
	}
	for _, sweep := range Sweeps(runs) {
		if fitted := sweep.Regressor == "dispatchers" || sweep.Regressor == "workers"; (sweep.Reason == "") != fitted {
			t.Errorf("%s: unexpected reason %q", sweep.Regressor, sweep.Reason)
		}
	}
}
