package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Folders of runs are drawn together, into the one folder or where --out says, and compared with those before.
func TestScaleReport(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"now/a/result.json":    `{"dispatchers": 75, "seed": 1, "control_bytes_s_p50": 100}`,
		"now/b/result.json":    `{"dispatchers": 150, "seed": 1, "control_bytes_s_p50": 100}`,
		"now/c/result.json":    `{"dispatchers": 300, "seed": 1, "control_bytes_s_p50": 100}`,
		"before/results.json":  `[{"dispatchers": 300, "seed": 1, "control_bytes_s_p50": 400}]`,
		"broken/b/result.json": "{\n\"dispatchers\": }",
	} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	run := func(args ...string) (string, error) {
		c, out := scaleReportCommand(), &bytes.Buffer{}
		c.SilenceUsage, c.SilenceErrors = true, true
		c.SetOut(out)
		c.SetArgs(args)
		err := c.Execute()
		return out.String(), err
	}
	now, before, out := filepath.Join(dir, "now"), filepath.Join(dir, "before"), filepath.Join(dir, "out")
	said, err := run(now, "--before", before)
	if err != nil || !strings.Contains(said, "flat") || !strings.Contains(said, "0.250") {
		t.Errorf("%v\n%s", err, said)
	}
	if text, err := os.ReadFile(filepath.Join(now, "compared.txt")); err != nil || !strings.Contains(string(text), "0.250") {
		t.Errorf("%v\n%s", err, text)
	}
	if said, err := run(now, before, "--out", out); err != nil || !strings.Contains(said, "against dispatchers: 4 runs") || !strings.Contains(said, "kept in "+out) {
		t.Errorf("%v\n%s", err, said)
	}
	for _, name := range []string{"table.txt", "points.csv", "slopes.csv", "slopes.json", "bytes.svg"} {
		if _, err := os.Stat(filepath.Join(out, name)); err != nil {
			t.Error(err)
		}
	}
	if _, err := run(filepath.Join(dir, "broken")); err == nil || !strings.Contains(err.Error(), filepath.Join("broken", "b", "result.json")+":2:16:") {
		t.Errorf("%v", err)
	}
	if _, err := run(); err == nil {
		t.Error("nothing to read, and no fault")
	}
}
