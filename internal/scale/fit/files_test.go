package fit

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden holds a text against a file in testdata.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s is now\n%s", name, got)
	}
}

// put writes files below a folder.
func put(t *testing.T, dir string, files map[string]string) {
	t.Helper()
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// bytesOf gives all files of a folder by name.
func bytesOf(t *testing.T, dir string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]string{}
	for _, e := range entries {
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		all[e.Name()] = string(text)
	}
	return all
}

// The table, the slopes and the points of a drawn set of runs are what they were. In it a run fell behind, and three stand
// beside the others with another number of workers.
func TestGolden(t *testing.T) {
	rows, err := Read("testdata/results.json")
	if err != nil || len(rows) != 13 {
		t.Fatalf("%d runs, %v", len(rows), err)
	}
	dir := t.TempDir()
	if err := Save(dir, rows); err != nil {
		t.Fatal(err)
	}
	files := bytesOf(t, dir)
	if got := slices.Sorted(maps.Keys(files)); strings.Join(got, " ") != "bytes.svg cpu.svg kinds.svg points.csv seats.svg slopes.csv slopes.json table.txt" {
		t.Errorf("kept: %s", got)
	}
	for _, name := range []string{"table.txt", "slopes.csv", "slopes.json", "points.csv"} {
		golden(t, name, []byte(files[name]))
	}
	for name, wanted := range map[string][]string{
		"bytes.svg": {"p50", "p99", "4 KB/s", "workers 530, zones 8"}, "cpu.svg": {"dispatcher", "seat, most", "leader", "48 ms/s"},
		"seats.svg": {"seat, most", "leader"}, "kinds.svg": {"renewal", "record", "gossip", "raft", "discovery", "4 KB/s"},
	} {
		for _, w := range wanted {
			if !strings.Contains(files[name], w) {
				t.Errorf("%s does not say %q", name, w)
			}
		}
	}
}

// The same runs give the same bytes, whatever order they come in, and in a folder that had other results before.
func TestSameRunsSameBytes(t *testing.T) {
	rows, err := Read("testdata/results.json")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := Save(dir, rows); err != nil {
		t.Fatal(err)
	}
	first := bytesOf(t, dir)
	bare := []Run{{Source: "x", Values: map[string]float64{"dispatchers": 3}}}
	if err := Save(dir, bare); err != nil {
		t.Fatal(err)
	}
	if got := bytesOf(t, dir); len(got) != 4 {
		t.Errorf("charts of other runs are left: %v", slices.Sorted(maps.Keys(got)))
	}
	slices.Reverse(rows)
	if err := Save(dir, rows); err != nil {
		t.Fatal(err)
	}
	if got := bytesOf(t, dir); !maps.Equal(got, first) {
		for name := range first {
			if got[name] != first[name] {
				t.Errorf("%s differs", name)
			}
		}
	}
}

// One size alone is drawn as points, and nothing is fitted; so many kinds as there are have a band each; figures that are all 0 do no harm.
func TestOneSize(t *testing.T) {
	var rows []Run
	for seed := range 3 {
		r := Run{Source: "x", Values: map[string]float64{"dispatchers": 300, "seed": float64(seed), "control_bytes_s_p50": 3000, "leader_bytes_s": 0}}
		for _, kind := range []string{"other", "renewal", "record", "report", "budget", "gossip", "member_probe", "raft", "discovery"} {
			r.Values["bytes_by_kind."+kind] = 100
		}
		rows = append(rows, r)
	}
	dir := t.TempDir()
	if err := Save(dir, rows); err != nil {
		t.Fatal(err)
	}
	files := bytesOf(t, dir)
	if !strings.Contains(files["table.txt"], "against dispatchers: nothing fitted") || strings.Contains(files["slopes.json"], "intercept") || strings.Count(files["slopes.csv"], "\n") != 1 {
		t.Errorf("a number was invented:\n%s", files["table.txt"])
	}
	if files["bytes.svg"] == "" || files["seats.svg"] == "" || files["kinds.svg"] == "" || files["cpu.svg"] != "" {
		t.Errorf("charts: %v", slices.Sorted(maps.Keys(files)))
	}
	colours := map[string]bool{}
	for i := range 9 {
		colours[fmt.Sprint(bandColor(i))] = true
	}
	if len(colours) != 9 {
		t.Errorf("%d colours for nine kinds", len(colours))
	}
}

// Runs are read from files of one or many, and from folders; no file counts twice, and a gathered file stands for its folder.
func TestRead(t *testing.T) {
	dir := t.TempDir()
	put(t, dir, map[string]string{
		"all/b/result.json":      `{"dispatchers": 150, "bytes_by_kind": {"raft": 2}, "fell_behind": 1, "commit": "abc", "command": "x", "note": "y", "list": [1]}`,
		"all/a/result.json":      `{"dispatchers": 75, "fell_behind": false, "control_bytes_s_p50": null}`,
		"all/a/other.json":       `{"dispatchers": 1}`,
		"all/c/results.json":     `[{"dispatchers": 300}, {"dispatchers": 20, "fell_behind": true}]`,
		"all/c/run/result.json":  `{"dispatchers": 300}`,
		"one/result.json":        `{"dispatchers": 800}`,
		"none/slopes.json":       `{}`,
		"empty/results.json":     `[]`,
		"elsewhere/results.json": `[{"dispatchers": 5}]`,
	})
	rows, err := Read(filepath.Join(dir, "all"), filepath.Join(dir, "all", "a"), filepath.Join(dir, "one", "result.json"))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range rows {
		got = append(got, fmt.Sprintf("%s %v %v", r.Source, r.Values["dispatchers"], r.FellBehind))
	}
	if want := "all/c/results.json[1] 20 true|all/a/result.json 75 false|all/b/result.json 150 true|all/c/results.json[0] 300 false|one/result.json 800 false"; strings.Join(got, "|") != want {
		t.Errorf("%q", got)
	}
	if b := rows[2]; b.Values["bytes_by_kind.raft"] != 2 || b.Commit != "abc" || b.Command != "x" || len(b.Values) != 2 {
		t.Errorf("%+v", b)
	}
	for _, bad := range []string{"none", "empty", "nowhere"} {
		if _, err := Read(filepath.Join(dir, bad)); err == nil || !strings.Contains(err.Error(), bad) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

// What is wrong with a file is told with file, line and column.
func TestBadFiles(t *testing.T) {
	dir := t.TempDir()
	for i, c := range []struct{ text, place, what string }{
		{"[\n {\"dispatchers\": 75},\n {\"dispatchers\": }\n]", ":3:18:", "invalid character"},
		{"", ":1:1:", "unexpected end"},
		{"[{\"dispatchers\": 75}", ":1:21:", "unexpected end"},
		{"{\"dispatchers\": 75} 7", ":1:21:", "invalid character"},
		{"[{\"dispatchers\": 75},\n\n  {\"workers\": 530}]", ":3:3:", "dispatchers is missing"},
		{"{\"dispatchers\": 0}", ":1:1:", "dispatchers is missing or below 1"},
		{"{\"dispatchers\": \"75\"}", ":1:1:", "dispatchers is no number"},
		{"[{\"dispatchers\": 75},\n 7]", ":2:2:", "a run is a JSON object"},
		{"null", ":1:1:", "dispatchers is missing"},
		{"{\"dispatchers\": 75, \"control_bytes_s_p99\": \"much\"}", ":1:1:", "control_bytes_s_p99 is no number"},
		{"{\"dispatchers\": 75, \"bytes_by_kind\": {\"raft\": [1]}}", ":1:1:", "bytes_by_kind.raft is no number"},
		{"{\"dispatchers\": 75, \"workers\": 1e999}", ":1:1:", "workers"},
		{"{\"dispatchers\": 75, \"fell_behind\": \"a little\"}", ":1:1:", "fell_behind"},
	} {
		name := fmt.Sprintf("%d/result.json", i)
		put(t, dir, map[string]string{name: c.text})
		path := filepath.Join(dir, name)
		if _, err := Read(filepath.Dir(path)); err == nil || !strings.HasPrefix(err.Error(), path+c.place) || !strings.Contains(err.Error(), c.what) {
			t.Errorf("%q: %v, want %s%s %s", c.text, err, path, c.place, c.what)
		}
	}
}

// Runs are fitted along one size only.
func TestAlong(t *testing.T) {
	row := func(dispatchers, workers float64) Run {
		return Run{Values: map[string]float64{"dispatchers": dispatchers, "workers": workers, "zones": 8}}
	}
	rows := []Run{row(75, 530), row(300, 530), row(800, 530), row(300, 530), row(300, 100), row(300, 1060), row(75, 100)}
	for by, want := range map[string]string{
		"dispatchers": "75/530 300/530 300/530 800/530 at workers 530, zones 8", "workers": "300/100 300/530 300/530 300/1060 at dispatchers 300, zones 8",
		"changes": " at ",
	} {
		along, held := SelectSweep(rows, by)
		var got []string
		for _, r := range along {
			got = append(got, fmt.Sprintf("%v/%v", r.Values["dispatchers"], r.Values["workers"]))
		}
		if got := strings.Join(got, " ") + " at " + held; got != want {
			t.Errorf("%s: %s, want %s", by, got, want)
		}
	}
	for _, a := range FitSweeps(rows) {
		if fitted := a.Regressor == "dispatchers" || a.Regressor == "workers"; (a.Reason == "") != fitted {
			t.Errorf("%s: %q", a.Regressor, a.Reason)
		}
	}
}

// Two builds are compared size by size and seed by seed; what cannot be is said.
func TestCompare(t *testing.T) {
	row := func(dispatchers, seed, bytes float64) Run {
		return Run{Source: "r", Values: map[string]float64{"dispatchers": dispatchers, "workers": 530, "zones": 8, "seed": seed, "control_bytes_s_p50": bytes}}
	}
	behind := row(300, 3, 9e9)
	behind.FellBehind = true
	before := []Run{row(300, 1, 1000), row(300, 2, 2000), row(300, 4, 4000), row(300, 4, 2000), behind, row(75, 1, 100), row(800, 1, 0), row(600, 1, 5)}
	after := []Run{row(300, 1, 500), row(300, 2, 500), row(300, 3, 1), row(300, 4, 2700), row(150, 1, 7), row(800, 1, 3), row(600, 2, 5)}
	after[0].Values["leader_bytes_s"] = 12
	var got []string
	for _, r := range Compare(before, after) {
		got = append(got, fmt.Sprintf("%v %s: %d %v %v %v %v %v %s", r.Dispatchers, r.Metric, r.Seeds, r.Before, r.After, r.Median, r.Low, r.High, r.Reason))
	}
	want := []string{
		"75 control_bytes_s_p50: 0 0 0 0 0 0 not there after",
		"150 control_bytes_s_p50: 0 0 0 0 0 0 not there before",
		"300 control_bytes_s_p50: 3 2000 500 0.5 0.25 0.9 ",
		"300 leader_bytes_s: 0 0 0 0 0 0 not there before",
		"600 control_bytes_s_p50: 0 0 0 0 0 0 no seed in common",
		"800 control_bytes_s_p50: 0 0 0 0 0 0 0 before",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s", strings.Join(got, "\n"))
	}
	var table bytes.Buffer
	if err := CompareTable(&table, before, after); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"0.500  0.250 to 0.900", "no seed in common", "left out, as it fell behind (before): r (dispatchers 300, workers 530, zones 8, seed 3)"} {
		if !strings.Contains(table.String(), line) {
			t.Errorf("%q is not in\n%s", line, &table)
		}
	}
}
