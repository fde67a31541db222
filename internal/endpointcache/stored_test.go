package endpointcache

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"brassdale/internal/protocol"
	"brassdale/internal/testsupport"
	"brassdale/scheduler"
)

const storedDispatcher = "dispatcher 1" // with a space, which is escaped in the name of its directory

// storedSnapshot is the content of the snapshot in testdata/stored; each field has a different value.
func storedSnapshot() *CachedList {
	return &CachedList{
		Dispatcher: storedDispatcher, ConfirmedAtMS: 1001, Revision: 11, Discovery: "127.0.0.1:8500", Detached: []string{"worker-z"},
		Members: []CachedMember{{
			Member: protocol.Member{ID: "worker-a", HostPort: "127.0.0.1:3001", Locality: "zone-1", Flavor: "flavor-1",
				Cell: 2, Phase: "active", Size: 1.5, UpSinceMS: 901},
			LastSignalMS: 1000,
			Statistics:   &scheduler.WorkerStatistics{StartedAt: 21, Slots: 22.5, Increment: 23.5, Slowness: 24.5, SlownessJobs: 25.5, LastSignal: 26},
		}},
		Classes:    map[string]scheduler.ClassStatistics{"class-1": {WorkScale: 31.5, MeanLogRuntime: 32.5, Jobs: 33}},
		Overcommit: 41.5, MeanAttemptDuration: 42.5, MeanWork: 43.5,
	}
}

// storedChanges are the records of the journal in testdata/stored.
func storedChanges() []*journalRecord {
	return []*journalRecord{
		{AtMS: 1002, Revision: 12, Members: []protocol.Member{{ID: "worker-b", HostPort: "127.0.0.1:3002", Locality: "zone-2",
			Flavor: "flavor-2", Cell: 3, Phase: "leaving", Size: 2.5, UpSinceMS: 902}}},
		{AtMS: 1003, Revision: 13, Detached: &[]string{"worker-a", "worker-b"}},
	}
}

// TestStoredList checks that a snapshot and a journal that the program of commit c2c1317 wrote are read, and that the same content is
// written as the same bytes under the same names.
func TestStoredList(t *testing.T) {
	const stored = "testdata/stored"
	testsupport.CheckAllSet(t, "snapshot", storedSnapshot())

	read := t.TempDir()
	if err := os.CopyFS(read, os.DirFS(stored)); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{read, filepath.Join(read, "dispatcher%201")} { // a checkout has wider permissions
		if err := os.Chmod(path, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	files, err := OpenOrCreate(read, storedDispatcher)
	if err != nil {
		t.Fatal(err)
	}
	got, faults := NewStore(files, storedDispatcher).Load()
	want := storedSnapshot()
	want.ConfirmedAtMS, want.Revision, want.Detached = 1003, 13, []string{"worker-a", "worker-b"}
	want.Members = append(want.Members, CachedMember{Member: storedChanges()[0].Members[0]})
	if len(faults) > 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v (faults %q)", got, want, faults)
	}

	written := t.TempDir()
	if err := os.Chmod(written, 0o700); err != nil { // TempDir has the permissions of the umask
		t.Fatal(err)
	}
	writeStored(t, written)
	for _, name := range []string{"snapshot-0000000000000001", "journal-0000000000000001"} {
		want, err := os.ReadFile(filepath.Join(stored, "dispatcher%201", name))
		if err != nil {
			t.Fatal(err)
		}
		if text, err := os.ReadFile(filepath.Join(written, "dispatcher%201", name)); err != nil || string(text) != string(want) {
			t.Errorf("%s: wrote %q (error %v), want %q", name, text, err, want)
		}
	}
}

// writeStored writes the content of testdata/stored.
func writeStored(t *testing.T, dir string) {
	t.Helper()
	files, err := OpenOrCreate(dir, storedDispatcher)
	if err != nil {
		t.Fatal(err)
	}
	store := NewStore(files, storedDispatcher)
	if err := store.Snapshot(storedSnapshot()); err != nil {
		t.Fatal(err)
	}
	for _, record := range storedChanges() {
		if err := store.Append(record); err != nil {
			t.Fatal(err)
		}
	}
}
