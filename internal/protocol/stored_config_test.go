package protocol

import (
	"reflect"
	"testing"

	"brassdale/internal/testsupport"
)

// TestLoadConfig_allKeys reads a file with all keys that the program of commit c2c1317 knew, each with a different value, and checks that
// each value is in its field. The file was not written by the program, which only reads such files.
func TestLoadConfig_allKeys(t *testing.T) {
	config, err := LoadConfig("testdata/config/config.json", func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	testsupport.CheckAllSet(t, "config", *config)
	settings := config.Settings
	class, family, limits, rules := settings.Classes[0], settings.FamilyInfo, settings.Limits, settings.Rules
	for _, field := range []struct {
		key       string
		got, want any
	}{
		{"name", config.Name, "dispatcher-1"},
		{"listen", config.Listen, "127.0.0.1:8001"},
		{"discovery", config.Discovery, "127.0.0.1:8002"},
		{"admin", config.Admin, "127.0.0.1:8003"},
		{"seed", config.Seed, "5eed"},
		{"limits", config.Limits, Limits{Cores: 1.5, MemoryMB: 1002, Sockets: 1003}},
		{"known", *config.Known, List{Revision: 11, Complete: true, Members: []Member{{ID: "worker-a", HostPort: "127.0.0.1:3001",
			Locality: "zone-1", Flavor: "flavor-1", Cell: 12, Phase: "leaving", Size: 13.5, UpSinceMS: 14}}}},
		{"classes.name", class.Name, "class-1"},
		{"classes.aim", class.Aim, Micros(21)},
		{"classes.credit", class.Credit, 22.5},
		{"classes.deadline", class.Deadline, Micros(23)},
		{"classes.dedupScope", class.DedupScope, "scope-1"},
		{"classes.effect", class.Effect, "keyed"},
		{"classes.lateWorth", class.LateWorth, 24.5},
		{"classes.stream", class.Stream, true},
		{"classes.window", class.Window, Micros(25)},
		{"classes.aimStretch", class.AimStretch, 26.5},
		{"countedBy", settings.CountedBy, "counted-1"},
		{"settings.discovery", settings.Discovery, "push"},
		{"flavors", settings.Flavors, []string{"flavor-1"}},
		{"zones", settings.Zones, []string{"zone-1"}},
		{"familyInfo.classKind", family.ClassKind, []int{31}},
		{"familyInfo.classStretch", family.ClassStretch, []float64{32.5}},
		{"familyInfo.progress", family.Progress, Micros(33)},
		{"familyInfo.tellsStart", family.TellsStart, true},
		{"limits.cancel", limits.Cancel, true},
		{"limits.connIdle", limits.ConnIdle, Micros(41)},
		{"limits.connectTimeout", limits.ConnectTimeout, Micros(42)},
		{"limits.maxAttempts", limits.MaxAttempts, 43},
		{"limits.maxRetryAfter", limits.MaxRetryAfter, Micros(44)},
		{"limits.mayDuplicate", limits.MayDuplicate, true},
		{"limits.probing", limits.Probing, true},
		{"limits.retryAfter", limits.RetryAfter, true},
		{"loadReport.columns", settings.LoadReport.Columns, []string{"column-1"}},
		{"loadReport.via", settings.LoadReport.Via, "via-1"},
		{"locality", settings.Locality, 51},
		{"ordinal", settings.Ordinal, 52},
		{"prices.crossZone", settings.Prices.CrossZone, 53.5},
		{"replicasOfMe", settings.ReplicasOfMe, 54},
		{"rules.answerSlack", rules.AnswerSlack, Micros(61)},
		{"rules.askWithin", rules.AskWithin, Micros(62)},
		{"rules.cold", rules.Cold, Micros(63)},
		{"rules.drainGrace", rules.DrainGrace, Micros(64)},
		{"rules.fall", rules.Fall, Micros(65)},
		{"rules.startCapacity", rules.StartCapacity, 66.5},
		{"rules.tipMultiple", rules.TipMultiple, 67.5},
	} {
		if !reflect.DeepEqual(field.got, field.want) {
			t.Errorf("%s: read %v, want %v", field.key, field.got, field.want)
		}
	}
}
