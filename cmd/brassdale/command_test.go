package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs the program with these arguments to its end.
func runCommand(t *testing.T, args ...string) (exitCode int, output, errorOutput string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "BRASSDALE_CHILD=1")
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

// TestCommand_exitCodes checks the exit codes and parts of the output of commands that need no dispatcher.
func TestCommand_exitCodes(t *testing.T) {
	t.Parallel()
	good, bad := filepath.Join(t.TempDir(), "good.hcl"), filepath.Join(t.TempDir(), "bad.hcl")
	for path, text := range map[string]string{
		good: "front \"progress\" {\n  listen = \"127.0.0.1:0\"\n}\n",
		bad:  "front \"progress\" {\n  jobs = 0\n  colour = 1\n}\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, test := range []struct {
		args []string
		code int
		want string // in the output or the errors
	}{
		{[]string{"check", good}, 0, "keep_mb"},
		{[]string{"check", bad}, 1, bad + ":3:3: Unsupported argument"},
		{[]string{"check", filepath.Join(t.TempDir(), "none.hcl")}, 1, "no such file"},
		{[]string{"version"}, 0, "brassdale "},
		{[]string{"completion", "bash"}, 0, "bash completion"},
		{[]string{"serve", "--log-format", "xml"}, 1, "--log-format"},
		{[]string{"serve", "--log-level", "loud"}, 1, "--log-level"},
		{[]string{"--operator", "old.toml"}, 1, "GW_CONFIG"},
		{[]string{"dispatch"}, 1, "unknown command"},
	} {
		code, out, errors := runCommand(t, test.args...)
		if code != test.code || !strings.Contains(out+errors, test.want) {
			t.Errorf("%v: exit code %d, %s%s", test.args, code, out, errors)
		}
	}
}
