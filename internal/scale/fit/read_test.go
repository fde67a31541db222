package fit

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeFiles writes files by name below a directory.
func writeFiles(t *testing.T, dir string, files map[string]string) {
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

// TestRead reads files with one and with several runs, and directories. No file counts twice, and results.json replaces the other files of its
// directory.
func TestRead(t *testing.T) {
	dir := t.TempDir()
	writeFiles(t, dir, map[string]string{
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
	runs, err := Read(filepath.Join(dir, "all"), filepath.Join(dir, "all", "a"), filepath.Join(dir, "one", "result.json"))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, run := range runs {
		got = append(got, fmt.Sprintf("%s %v %v", run.Source, run.Values["dispatchers"], run.FellBehind))
	}
	if want := "all/c/results.json[1] 20 true|all/a/result.json 75 false|all/b/result.json 150 true|all/c/results.json[0] 300 false|one/result.json 800 false"; strings.Join(got, "|") != want {
		t.Errorf("unexpected runs: %q", got)
	}
	if b := runs[2]; b.Values["bytes_by_kind.raft"] != 2 || b.Commit != "abc" || b.Command != "x" || len(b.Values) != 2 {
		t.Errorf("unexpected run of b/result.json: %+v", b)
	}
	for _, bad := range []string{"none", "empty", "nowhere"} {
		if _, err := Read(filepath.Join(dir, bad)); err == nil || !strings.Contains(err.Error(), bad) {
			t.Errorf("%s: expected an error with the path, got %v", bad, err)
		}
	}
}

// TestBadFiles checks that an error names file, line, column and the mistake.
func TestBadFiles(t *testing.T) {
	dir := t.TempDir()
	for i, c := range []struct{ text, place, what string }{
		{"[\n {\"dispatchers\": 75},\n {\"dispatchers\": }\n]", ":3:18:", "invalid character"},
		{"", ":1:1:", "unexpected end"},
		{"[{\"dispatchers\": 75}", ":1:21:", "unexpected end"},
		{"{\"dispatchers\": 75} 7", ":1:21:", "invalid character"},
		{"[{\"dispatchers\": 75},\n\n  {\"workers\": 530}]", ":3:3:", "dispatchers is missing"},
		{"{\"dispatchers\": 0}", ":1:1:", "dispatchers is missing or below 1"},
		{"{\"dispatchers\": \"75\"}", ":1:1:", "dispatchers: expected a number"},
		{"[{\"dispatchers\": 75},\n 7]", ":2:2:", "expected a JSON object for a run"},
		{"null", ":1:1:", "dispatchers is missing"},
		{"{\"dispatchers\": 75, \"control_bytes_s_p99\": \"much\"}", ":1:1:", "control_bytes_s_p99: expected a number"},
		{"{\"dispatchers\": 75, \"bytes_by_kind\": {\"raft\": [1]}}", ":1:1:", "bytes_by_kind.raft: expected a number"},
		{"{\"dispatchers\": 75, \"workers\": 1e999}", ":1:1:", "workers"},
		{"{\"dispatchers\": 75, \"fell_behind\": \"a little\"}", ":1:1:", "fell_behind"},
	} {
		name := fmt.Sprintf("%d/result.json", i)
		writeFiles(t, dir, map[string]string{name: c.text})
		path := filepath.Join(dir, name)
		if _, err := Read(filepath.Dir(path)); err == nil || !strings.HasPrefix(err.Error(), path+c.place) || !strings.Contains(err.Error(), c.what) {
			t.Errorf("%q: got error %v, expected %s%s %s", c.text, err, path, c.place, c.what)
		}
	}
}
