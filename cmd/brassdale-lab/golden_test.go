package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"brassdale/internal/testsupport"
)

// argumentsVariable names the environment variable that makes this test binary run the program. Its value is the program's arguments,
// separated by spaces.
const argumentsVariable = "BRASSDALE_LAB_TEST_ARGUMENTS"

// hiddenCommands are the commands that the help does not list.
var hiddenCommands = []string{"hollow", "launch"}

// TestMain runs the program in place of the tests if argumentsVariable is set.
func TestMain(m *testing.M) {
	if arguments, ok := os.LookupEnv(argumentsVariable); ok {
		os.Args = append([]string{"brassdale-lab"}, strings.Fields(arguments)...)
		main()
		return
	}
	os.Exit(m.Run())
}

// TestGoldenHelp checks all sub-commands, flags, defaults and help texts against the golden file.
func TestGoldenHelp(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	writeHelp(t, &got, self, nil)
	for _, name := range hiddenCommands {
		writeHelp(t, &got, self, []string{name})
	}
	testsupport.CheckGolden(t, "testdata/help.txt", got.Bytes())
}

// listed finds the sub-commands in a help text.
var listed = regexp.MustCompile(`(?m)^  ([a-z][a-z0-9-]*) +\S`)

// writeHelp writes the help of a command and of all sub-commands that it lists, except cobra's own. The folder of the binary, which is part
// of a default, is replaced by FOLDER.
func writeHelp(t *testing.T, out *bytes.Buffer, self string, command []string) {
	t.Helper()
	run := exec.CommandContext(t.Context(), self)
	run.Env = append(os.Environ(), argumentsVariable+"="+strings.Join(append(command, "--help"), " "))
	text, err := run.CombinedOutput()
	if err != nil {
		t.Fatalf("%q --help: %v\n%s", command, err, text)
	}
	help := strings.ReplaceAll(string(text), filepath.Dir(self), "FOLDER")
	fmt.Fprintf(out, "==== %s\n%s\n", strings.Join(append([]string{"brassdale-lab"}, command...), " "), help)
	_, commands, _ := strings.Cut(help, "Available Commands:\n")
	commands, _, _ = strings.Cut(commands, "\n\n")
	for _, match := range listed.FindAllStringSubmatch(commands, -1) {
		if name := match[1]; name != "completion" && name != "help" {
			writeHelp(t, out, self, append(command[:len(command):len(command)], name))
		}
	}
}
