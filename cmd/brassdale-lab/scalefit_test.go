package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The report of several folders of runs is written to the only folder or to --out, and compared with the runs of --before.
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
	output, err := run(now, "--before", before)
	if err != nil || !strings.Contains(output, "flat") || !strings.Contains(output, "0.250") {
		t.Errorf("%v\n%s", err, output)
	}
	if text, err := os.ReadFile(filepath.Join(now, "compared.txt")); err != nil || !strings.Contains(string(text), "0.250") {
		t.Errorf("%v\n%s", err, text)
	}
	if output, err := run(now, before, "--out", out); err != nil || !strings.Contains(output, "against dispatchers: 4 runs") || !strings.Contains(output, "kept in "+out) {
		t.Errorf("%v\n%s", err, output)
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
		t.Error("no error without a folder of runs")
	}
}
