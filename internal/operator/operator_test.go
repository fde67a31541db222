package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestParse_invalidFile checks that each fault of a file is reported with line and column, and that all faults are reported at once.
func TestParse_invalidFile(t *testing.T) {
	for _, test := range []struct{ text, want string }{
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
		_, err := Parse([]byte(test.text), "f.hcl")
		for want := range strings.SplitSeq(test.want, "|") {
			if err == nil || !strings.Contains("\n"+err.Error(), "\n"+want) {
				t.Errorf("%s:\nerror %v\nwant %s", test.text, err, want)
			}
		}
	}
	if _, err := Load("progress.toml"); err == nil || !strings.Contains(err.Error(), `front "progress"`) || strings.Contains(err.Error(), "\n") {
		t.Errorf("a file in the former TOML format: error %v", err)
	}
}

// TestFileString_roundTrip checks that File.String returns a file with the same settings.
func TestFileString_roundTrip(t *testing.T) {
	file, err := Load("../../deploy/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "again.hcl")
	if err := os.WriteFile(path, []byte(file.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	again, err := Load(path)
	if err != nil || again.String() != file.String() {
		t.Errorf("error %v\n%s\nread again:\n%s", err, file, again)
	}
}

// FuzzParse checks that if Parse accepts a file, it also accepts the result of File.String.
func FuzzParse(f *testing.F) {
	f.Add([]byte("front \"progress\" {\n  listen = \"127.0.0.1:0\"\n  jobs = 7\n}"))
	f.Add([]byte("front \"progress\" {\n  listen = [1]\n  tls {\n}\n}\nfront {}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if file, err := Parse(text, "f.hcl"); err == nil {
			if _, err := Parse([]byte(file.String()), "f.hcl"); err != nil {
				t.Errorf("the result of String is rejected: %v", err)
			}
		}
	})
}
