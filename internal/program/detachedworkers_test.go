package program

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"brassdale/internal/protocol"
)

// TestStoredDetachedWorkers checks that a file of detached workers is read as the program of commit c2c1317 wrote it, that the same
// workers are written as the same bytes, and that the file of another dispatcher is rejected.
func TestStoredDetachedWorkers(t *testing.T) {
	const stored = `{"name":"dispatcher-1","workers":["worker-a","worker-b"]}`
	dir := t.TempDir()
	path := runtimeFile(func(string) string { return dir }, &protocol.Config{Listen: "127.0.0.1:8080"}, ".detached")
	if want := filepath.Join(dir, "brassdale-127.0.0.1:8080.detached"); path != want {
		t.Errorf("the file is %q, want %q", path, want)
	}
	if err := os.WriteFile(path, []byte(stored), 0o600); err != nil {
		t.Fatal(err)
	}
	file := &detachedWorkers{path: path, dispatcher: "dispatcher-1"}
	if err := file.load(); err != nil {
		t.Fatal(err)
	}
	if want := []string{"worker-a", "worker-b"}; file.fileMissing || !reflect.DeepEqual(file.list(), want) {
		t.Errorf("read %q (file missing: %v), want %q", file.list(), file.fileMissing, want)
	}

	written := &detachedWorkers{path: filepath.Join(t.TempDir(), "detached.json"), dispatcher: "dispatcher-1"}
	for _, worker := range []string{"worker-a", "worker-b"} {
		if err := written.set(worker, true); err != nil {
			t.Fatal(err)
		}
	}
	if text, err := os.ReadFile(written.path); err != nil || string(text) != stored {
		t.Errorf("wrote %q (error %v), want %q", text, err, stored)
	}
	if err := (&detachedWorkers{path: path, dispatcher: "dispatcher-2"}).load(); err == nil {
		t.Error("the file of another dispatcher was accepted")
	}
}
