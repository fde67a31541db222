package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each fault is reported with its place, and all of them at once.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"front \"progress\" {\n  listen = \"here\"\n}\nkeys {\n  jobs = 0\n}", "f.hcl:2:12: Bad listen|f.hcl:5:10: Bad jobs"},
		{"front \"progress\" {\n  listen = \"10.0.0.1:80\"\n}", "f.hcl:2:12: Bad listen: \"10.0.0.1:80\" is not a loopback address"},
		{"front \"progress\" {\n  listen = \"127.0.0.1:0\"\n  upstream = \"soap\"\n}", "f.hcl:3:14: Bad upstream"},
		{"front \"progress\" {\n  listen = \"127.0.0.1:0\"\n  keep = 1\n}", "f.hcl:3:3: Unsupported argument"},
		{"keys {\n  jobs = \"many\"\n}", "f.hcl:2:11: Unsuitable value type"},
		{"front \"progress\" {\n}", "f.hcl:1:18: Missing required argument"},
		{"front \"progress\" {\n  listen = \"127.0.0.1:0\"\n}\nfront \"progress\" {\n  listen = \"127.0.0.1:0\"\n}", "f.hcl:4:1: Duplicate block"},
		{"front \"soap\" {\n}\nlisten = 1", "f.hcl:3:1: Unsupported argument|f.hcl:1:1: Unsupported block: There is no block front \"soap\"; there are: "},
		{"fleet {\n  retry_budget = -1\n}", "f.hcl:2:18: Bad retry_budget"},
		{"front \"progress\" {", "f.hcl:1:18: Unclosed configuration block"},
	} {
		_, err := Parse([]byte(c.text), "f.hcl")
		for want := range strings.SplitSeq(c.want, "|") {
			if err == nil || !strings.Contains("\n"+err.Error(), "\n"+want) {
				t.Errorf("%s:\n%v\nwant %s", c.text, err, want)
			}
		}
	}
	if _, err := Load("progress.toml"); err == nil || !strings.Contains(err.Error(), `front "progress"`) || strings.Contains(err.Error(), "\n") {
		t.Errorf("a file of the old form: %v", err)
	}
}

// File.String writes a file with the same settings.
func TestInForce(t *testing.T) {
	f, err := Load("../../deploy/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	again := filepath.Join(t.TempDir(), "again.hcl")
	if err := os.WriteFile(again, []byte(f.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	g, err := Load(again)
	if err != nil || g.String() != f.String() {
		t.Errorf("%v\n%s\nread again:\n%s", err, f, g)
	}
}

// Whatever the text, an error is a list of faults.
func FuzzParse(f *testing.F) {
	f.Add([]byte("front \"progress\" {\n  listen = \"127.0.0.1:0\"\n  jobs = 7\n}"))
	f.Add([]byte("front \"progress\" {\n  listen = [1]\n  tls {\n}\n}\nfront {}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if file, err := Parse(text, "f.hcl"); err == nil {
			if _, err := Parse([]byte(file.String()), "f.hcl"); err != nil {
				t.Errorf("what is in force is no file: %v", err)
			}
		}
	})
}
