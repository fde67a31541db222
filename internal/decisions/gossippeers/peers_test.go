package gossippeers

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// runRandomHistory draws joins, deaths, cuts of zones, pauses and lost messages, ends all faults, and returns the violation that
// remains.
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
		case 0: // it dies
			delete(model.dispatchers, dispatcher.Name)
		case 1: // another one joins
			model.join(fmt.Sprint("later", event), zones[rapid.IntRange(0, 2).Draw(t, "its zone")], event%2)
		case 2: // its zone is cut in two, or no longer
			model.cut[dispatcher.Zone] = !model.cut[dispatcher.Zone]
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
	clear(model.cut)
	for _, dispatcher := range model.dispatchers {
		dispatcher.paused = false
	}
	model.dropMessage = func() bool { return false }
	return model.settle()
}

// TestPeers_convergeAfterRandomHistories checks that after any history all dispatchers of a zone know each other and no others, that none
// starts an exchange any more, and that none ever started two within minExchangePause.
func TestPeers_convergeAfterRandomHistories(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		if violation := runRandomHistory(t, newFleetModel()); violation != "" {
			t.Fatal(violation)
		}
	})
}

// runCutHistory cuts two zones in two for 100 steps, then restarts one dispatcher. It returns the violation that remains.
func runCutHistory(model *fleetModel) string {
	for i := range 8 {
		model.join(fmt.Sprint("n", i), string("ab"[i%2]), i/2%2)
	}
	for range 100 {
		model.step()
	}
	model.cut["a"], model.cut["b"] = true, true
	for range 100 {
		model.step()
	}
	clear(model.cut)
	model.join("n3", "b", 1)
	return model.settle()
}

// deliberateMistakes break a model, each in one way.
var deliberateMistakes = map[string]func(*fleetModel){
	"the leader suggests nobody": func(model *fleetModel) {
		model.suggest = func(*Directory, Member, Digest) *PeerSuggestion { return nil }
	},
	"the leader suggests peers that know the same": func(model *fleetModel) {
		model.suggest = func(directory *Directory, dispatcher Member, _ Digest) *PeerSuggestion {
			directory.suggestions = 0
			return directory.Suggest(dispatcher, Digest{})
		}
	},
	"the leader suggests the dispatcher itself": func(model *fleetModel) {
		model.suggest = func(_ *Directory, dispatcher Member, _ Digest) *PeerSuggestion {
			return &PeerSuggestion{9, []string{dispatcher.Address}}
		}
	},
	"the leader suggests others' peers, and they are not filtered": func(model *fleetModel) {
		model.filtersPeers = false
		model.suggest = func(directory *Directory, dispatcher Member, known Digest) *PeerSuggestion {
			dispatcher.Zone = map[string]string{"a": "b", "b": "a"}[dispatcher.Zone]
			return directory.Suggest(dispatcher, known)
		}
	},
	"exchanges without pauses": func(model *fleetModel) { model.respectsPauses = false },
	"the leader suggests the same peer each time": func(model *fleetModel) {
		model.suggest = func(directory *Directory, dispatcher Member, known Digest) *PeerSuggestion {
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

// TestPeers_mistakesAreFound checks that the history of runCutHistory finds each deliberate mistake, and nothing without one.
func TestPeers_mistakesAreFound(t *testing.T) {
	if violation := runCutHistory(newFleetModel()); violation != "" {
		t.Fatal(violation)
	}
	for name, breakModel := range deliberateMistakes {
		model := newFleetModel()
		breakModel(model)
		if runCutHistory(model) == "" {
			t.Errorf("%s: no violation was found", name)
		}
	}
}
