package gossippeers

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// runRandomHistory draws joins, crashes, partitions of zones, pauses and lost messages, then ends all faults. It returns the violation
// that remains.
func runRandomHistory(t *rapid.T, model *fleetModel) string {
	t.Helper()
	lossPercent := rapid.IntRange(0, 40).Draw(t, "percent lost")
	model.dropMessage = func() bool { return rapid.IntRange(0, 99).Draw(t, "loss") < lossPercent }
	zones := []string{"a", "b", "c"}
	for i := range rapid.IntRange(1, 14).Draw(t, "dispatchers") {
		model.join(fmt.Sprint("n", i), zones[rapid.IntRange(0, 2).Draw(t, "zone")], i%2)
	}
	for event := range rapid.IntRange(0, 10).Draw(t, "events") {
		for range rapid.IntRange(0, 6).Draw(t, "steps") {
			model.step()
		}
		names := slices.Sorted(maps.Keys(model.dispatchers))
		if len(names) == 0 {
			break
		}
		dispatcher := model.dispatchers[rapid.SampledFrom(names).Draw(t, "dispatcher")]
		switch rapid.IntRange(0, 5).Draw(t, "event") {
		case 0: // it crashes
			delete(model.dispatchers, dispatcher.Name)
		case 1: // another one joins
			model.join(fmt.Sprint("later", event), zones[rapid.IntRange(0, 2).Draw(t, "its zone")], event%2)
		case 2: // its zone is partitioned in two halves, or healed
			model.partitioned[dispatcher.Zone] = !model.partitioned[dispatcher.Zone]
		case 3: // it pauses or resumes
			dispatcher.paused = !dispatcher.paused
		case 4: // it restarts
			model.join(dispatcher.Name, dispatcher.Zone, dispatcher.half)
		case 5: // it leaves, and starts in another zone
			for _, other := range model.dispatchers {
				delete(other.knows, dispatcher.Name)
			}
			model.join(dispatcher.Name, zones[event%3], dispatcher.half)
		}
	}
	clear(model.partitioned)
	for _, dispatcher := range model.dispatchers {
		dispatcher.paused = false
	}
	model.dropMessage = func() bool { return false }
	return model.settle()
}

// TestPeers_convergeAfterRandomHistories checks that after any history all dispatchers of a zone know each other and no others, that no
// dispatcher starts an exchange any more, and that none has ever started two exchanges within minExchangePause.
func TestPeers_convergeAfterRandomHistories(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		if violation := runRandomHistory(t, newFleetModel()); violation != "" {
			t.Fatal(violation)
		}
	})
}

// runPartitionHistory partitions two zones in halves for 100 steps, then restarts one dispatcher. It returns the violation that remains.
func runPartitionHistory(model *fleetModel) string {
	for i := range 8 {
		model.join(fmt.Sprint("n", i), string("ab"[i%2]), i/2%2)
	}
	for range 100 {
		model.step()
	}
	model.partitioned["a"], model.partitioned["b"] = true, true
	for range 100 {
		model.step()
	}
	clear(model.partitioned)
	model.join("n3", "b", 1)
	return model.settle()
}

// deliberateFaults inject one fault each into a model.
var deliberateFaults = map[string]func(*fleetModel){
	"the leader suggests nobody": func(model *fleetModel) {
		model.suggest = func(*Directory, LeaseHolder, Digest) *PeerSuggestion { return nil }
	},
	"the leader suggests peers that know the same": func(model *fleetModel) {
		model.suggest = func(directory *Directory, dispatcher LeaseHolder, _ Digest) *PeerSuggestion {
			directory.suggestions = 0
			return directory.Suggest(dispatcher, Digest{})
		}
	},
	"the leader suggests the dispatcher itself": func(model *fleetModel) {
		model.suggest = func(_ *Directory, dispatcher LeaseHolder, _ Digest) *PeerSuggestion {
			return &PeerSuggestion{9, []string{dispatcher.Address}}
		}
	},
	"the leader suggests others' peers, and they are not filtered": func(model *fleetModel) {
		model.filtersPeers = false
		model.suggest = func(directory *Directory, dispatcher LeaseHolder, known Digest) *PeerSuggestion {
			dispatcher.Zone = map[string]string{"a": "b", "b": "a"}[dispatcher.Zone]
			return directory.Suggest(dispatcher, known)
		}
	},
	"exchanges without pauses": func(model *fleetModel) { model.respectsPauses = false },
	"the leader suggests the same peer each time": func(model *fleetModel) {
		model.suggest = func(directory *Directory, dispatcher LeaseHolder, known Digest) *PeerSuggestion {
			directory.suggestions = 0
			suggestion := directory.Suggest(dispatcher, known)
			if suggestion != nil && len(suggestion.Addresses) > 0 &&
				model.byAddress(suggestion.Addresses[0]).half != model.dispatchers[dispatcher.Name].half {
				return &PeerSuggestion{9, []string{dispatcher.Address}}
			}
			return suggestion
		}
	},
}

// TestPeers_deliberateFaultsAreFound checks that runPartitionHistory finds a violation with each deliberate fault, and none without a fault.
func TestPeers_deliberateFaultsAreFound(t *testing.T) {
	if violation := runPartitionHistory(newFleetModel()); violation != "" {
		t.Fatal(violation)
	}
	for name, breakModel := range deliberateFaults {
		model := newFleetModel()
		breakModel(model)
		if runPartitionHistory(model) == "" {
			t.Errorf("%s: no violation was found", name)
		}
	}
}
