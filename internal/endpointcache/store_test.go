package endpointcache

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// testMember returns a worker in the given phase.
func testMember(id, phase string) protocol.Member {
	return protocol.Member{ID: id, HostPort: "127.0.0.1:3000", Locality: "llanelli", Flavor: "new-box", Cell: 1, Phase: phase, Size: 1}
}

// testList returns a list of active workers.
func testList(revision int64, ids ...string) *CachedList {
	list := &CachedList{ConfirmedAtMS: 1000 * revision, Revision: revision, Discovery: "127.0.0.1:8500", Detached: []string{"detached"}}
	for _, id := range ids {
		list.Members = append(list.Members, CachedMember{Member: testMember(id, "active"), LastSignalMS: 7, Statistics: &scheduler.WorkerStatistics{Slots: 5}})
	}
	return list
}

// TestLoad_damagedSnapshot checks guarantees 2 and 5 of the package at each byte: if a byte of a snapshot is changed, or the snapshot is
// truncated, the previous generation is used.
func TestLoad_damagedSnapshot(t *testing.T) {
	original := newMemoryFiles()
	store := NewStore(original, "n0")
	for _, list := range []*CachedList{testList(1, "a", "b"), testList(2, "a", "b", "c")} {
		if err := store.Snapshot(list); err != nil {
			t.Fatal(err)
		}
	}
	newest := fileName(snapshotPrefix, 2)
	intact := original.files[newest]
	check := func(what string, damaged []byte) {
		t.Helper()
		files := newMemoryFiles()
		files.files[fileName(snapshotPrefix, 1)], files.files[newest] = original.files[fileName(snapshotPrefix, 1)], damaged
		list, faults := NewStore(files, "n0").Load()
		if list == nil || list.Revision != 1 || len(list.Members) != 2 || len(faults) != 1 {
			t.Fatalf("%s: loaded %+v, faults %q", what, list, faults)
		}
		if _, isRenamed := files.files[damagedPrefix+newest]; !isRenamed {
			if _, remains := files.files[newest]; !remains || !strings.Contains(faults[0], "version") {
				t.Fatalf("%s: not renamed, faults %q", what, faults)
			}
		}
	}
	for i := range intact {
		check(fmt.Sprint("truncated at ", i), intact[:i])
		for _, flip := range []byte{1, 0x80, 0xff} {
			damaged := slices.Clone(intact)
			damaged[i] ^= flip
			check(fmt.Sprintf("byte %d ^ %x", i, flip), damaged)
		}
	}
	check("extended by a byte", append(slices.Clone(intact), ' '))
}

// TestLoad_damagedJournal checks guarantee 3 of the package at each byte: if a journal is truncated or a byte is changed, the records before
// the damage are used, and no others.
func TestLoad_damagedJournal(t *testing.T) {
	original := newMemoryFiles()
	store := NewStore(original, "n0")
	if err := store.Snapshot(testList(1, "a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	var ends []int
	journal := fileName(journalPrefix, 1)
	for i, id := range []string{"a", "b", "c"} {
		if err := store.Append(&journalRecord{AtMS: int64(2000 + i), Revision: int64(2 + i), Members: []protocol.Member{testMember(id, "leaving")}}); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(original.files[journal]))
	}
	intact := original.files[journal]
	snapshot := original.files[fileName(snapshotPrefix, 1)]
	loadLeaving := func(text []byte) (count int, torn bool) {
		t.Helper()
		return loadLeavingMembers(t, snapshot, text)
	}
	for offset := range intact {
		want := 0
		for _, end := range ends {
			if end <= offset {
				want++
			}
		}
		if count, torn := loadLeaving(intact[:offset]); count != want || torn == (offset == 0 || slices.Contains(ends, offset)) {
			t.Fatalf("truncated at %d: %d records, torn %v", offset, count, torn)
		}
		damaged := slices.Clone(intact)
		damaged[offset] ^= 0x10
		if count, _ := loadLeaving(damaged); count != want {
			t.Fatalf("byte %d changed: %d records, want %d", offset, count, want)
		}
	}
	// A record is not used if it is at the position of another record.
	swapped := slices.Concat(intact[ends[0]:ends[1]], intact[:ends[0]])
	if count, torn := loadLeaving(swapped); count != 0 || !torn {
		t.Errorf("swapped records: %d used, torn %v", count, torn)
	}
}

// loadLeavingMembers loads a snapshot of three workers with a journal in which they start leaving one after the other. It returns how many
// are leaving according to the records that were read, and whether the journal was reported as torn.
func loadLeavingMembers(t *testing.T, snapshot, journal []byte) (count int, torn bool) {
	t.Helper()
	files := newMemoryFiles()
	files.files[fileName(snapshotPrefix, 1)], files.files[fileName(journalPrefix, 1)] = snapshot, journal
	list, faults := NewStore(files, "n0").Load()
	if list == nil || len(list.Members) != 3 {
		t.Fatalf("loaded %+v, faults %q", list, faults)
	}
	for i, member := range list.Members {
		if member.Phase == "leaving" {
			if count++; count != i+1 {
				t.Fatalf("the leaving workers are not the first ones: %+v", list.Members)
			}
		}
	}
	if list.Revision != int64(1+count) {
		t.Fatalf("%d workers are leaving at revision %d", count, list.Revision)
	}
	return count, len(faults) > 0
}

// TestStore_crashAtAnyStep checks guarantee 1 of the package: if the machine crashes at any change of the files, everything that was written
// without an error can be read, and the next process can write further lists.
func TestStore_crashAtAnyStep(t *testing.T) {
	for crashPart := range 3 {
		for crashAt := 1; ; crashAt++ {
			files := newMemoryFiles()
			files.crashAt, files.crashPart = crashAt, crashPart
			store := NewStore(files, "n0")
			stored := int64(0) // the last revision that was written without an error
			for revision := int64(1); revision <= 12; revision++ {
				var err error
				if revision%3 == 1 {
					err = store.Snapshot(testList(revision, "a", "b"))
				} else {
					err = store.Append(&journalRecord{AtMS: 1000 * revision, Revision: revision, Members: []protocol.Member{testMember("a", "leaving")}})
				}
				if err == nil {
					stored = revision
				}
			}
			crashed := files.steps >= crashAt
			files.crashAt = 0
			next := NewStore(files, "n0")
			list, _ := next.Load()
			if stored > 0 && (list == nil || list.Revision < stored) || list != nil && list.Revision > stored+1 {
				t.Fatalf("crash at step %d, part %d: revision %d was stored, %+v loaded", crashAt, crashPart, stored, list)
			}
			if err := next.Snapshot(testList(20, "c")); err != nil {
				t.Fatal(err)
			}
			if list, _ := NewStore(files, "n0").Load(); list == nil || list.Revision != 20 {
				t.Fatalf("crash at step %d, part %d: the next process's list is not loaded: %+v", crashAt, crashPart, list)
			}
			if !crashed {
				break
			}
		}
	}
}

// TestStore_twoProcesses checks guarantee 4 of the package: two processes with the same dispatcher name write in turn, and neither changes
// the files of the other. Directories and files are accessible to their owner only.
func TestStore_twoProcesses(t *testing.T) {
	dir := t.TempDir()
	files, err := OpenOrCreate(dir, "n0/../x")
	if err != nil {
		t.Fatal(err)
	}
	first, second := NewStore(files, "n0/../x"), NewStore(files, "n0/../x")
	for i := range int64(5) {
		for _, store := range []*Store{first, second} {
			if err := store.Snapshot(testList(10*i+1, "a")); err != nil {
				t.Fatal(err)
			}
			if err := store.Append(&journalRecord{Revision: 10*i + 2, AtMS: 1, Members: []protocol.Member{testMember("a", "leaving")}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	generations, err := first.Generations()
	if err != nil || len(generations) != retainedGenerations {
		t.Fatalf("generations %v, error %v", generations, err)
	}
	for _, generation := range generations {
		if generation.Err != nil || generation.Records != 1 || generation.TornBytes != 0 || generation.List.Members[0].Phase != "leaving" {
			t.Errorf("generation %+v", generation)
		}
	}
	// Each dispatcher has a directory of its own, regardless of its name.
	other, err := OpenOrCreate(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	if list, _ := NewStore(other, "n1").Load(); list != nil {
		t.Errorf("another dispatcher loads %+v", list)
	}
	if names, _ := Dispatchers(dir); !slices.Equal(names, []string{"n0/../x", "n1"}) {
		t.Errorf("dispatchers %q", names)
	}
	if info, _ := os.Stat(filepath.Join(dir, "n1")); info.Mode().Perm() != 0o700 {
		t.Errorf("directory has mode %o, want 700", info.Mode().Perm())
	}
	names, _ := files.Names()
	for _, name := range names {
		if info, _ := os.Stat(filepath.Join(dir, escapeName("n0/../x"), name)); info.Mode().Perm() != 0o600 {
			t.Errorf("%s has mode %o, want 600", name, info.Mode().Perm())
		}
	}
}

// TestStore_unusableDirectory checks that a directory that others may write, a path that is not a directory, and a full disk each lead to an
// error, and that a list written before the disk was full can still be read.
func TestStore_unusableDirectory(t *testing.T) {
	dir := t.TempDir()
	if err := os.Chmod(dir, 0o770); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenOrCreate(dir, "n0"); err == nil || !strings.Contains(err.Error(), "others may write") {
		t.Errorf("directory with mode 0770: error %v", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenOrCreate(file, "n0"); err == nil {
		t.Error("a file was opened as a directory")
	}
	files := newMemoryFiles()
	store := NewStore(files, "n0")
	if err := store.Snapshot(testList(1, "a")); err != nil {
		t.Fatal(err)
	}
	files.failWith = errors.New("no space left on device")
	if err := store.Append(&journalRecord{Revision: 2}); !errors.Is(err, files.failWith) {
		t.Errorf("append to a full disk: %v", err)
	}
	if err := store.Append(&journalRecord{Revision: 3}); err != errNoGeneration { // this error itself, not one that wraps it
		t.Errorf("append after a torn record: %v", err)
	}
	if err := store.Snapshot(testList(4, "a")); !errors.Is(err, files.failWith) {
		t.Errorf("snapshot on a full disk: %v", err)
	}
	if list, _ := store.Load(); list == nil || list.Revision != 1 {
		t.Errorf("after the failures: loaded %+v", list)
	}
}

// TestLoad_otherVersions checks that a snapshot of format version 1 is read, and that a snapshot of a later version is neither read nor
// renamed.
func TestLoad_otherVersions(t *testing.T) {
	files := newMemoryFiles()
	files.files[fileName(snapshotPrefix, 1)] = encodeSnapshot(1, []byte(`{"dispatcher":"n0","made_ms":5000,"list":{"revision":4,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:3000","locality":"llanelli","flavor":"new-box","cell":2,"phase":"active","size":1,"up_since_ms":9}]}}`))
	files.files[fileName(snapshotPrefix, 2)] = encodeSnapshot(99, []byte(`{}`))
	list, faults := NewStore(files, "n0").Load()
	if list == nil || list.Revision != 4 || list.ConfirmedAtMS != 5000 || list.Members[0].Cell != 2 || len(faults) != 1 || !strings.Contains(faults[0], "version 99") {
		t.Errorf("loaded %+v, faults %q", list, faults)
	}
	if files.files[fileName(snapshotPrefix, 2)] == nil {
		t.Error("a snapshot of a later version was renamed")
	}
}

// FuzzDecode decodes arbitrary files. It checks that a decoded snapshot can be encoded again, and that decoded records take up bytes of the
// file.
func FuzzDecode(f *testing.F) {
	snapshot, _ := encodeList(testList(3, "a", "b"))
	f.Add(snapshot)
	f.Add(encodeSnapshot(1, []byte(`{"list":{}}`)))
	record, _ := encodeRecord(0, &journalRecord{Revision: 3, Members: []protocol.Member{testMember("a", "left")}})
	f.Add(record)
	f.Fuzz(func(t *testing.T, text []byte) {
		if list, err := decodeSnapshot(text); err == nil {
			if _, err := encodeList(list); err != nil {
				t.Fatal(err)
			}
		}
		if records, intactBytes := decodeJournal(text); intactBytes > len(text) || len(records) > 0 && intactBytes == 0 {
			t.Fatalf("%d records in %d of %d bytes", len(records), intactBytes, len(text))
		}
	})
}

// BenchmarkStore measures writing and loading a snapshot, for different numbers of workers.
func BenchmarkStore(b *testing.B) {
	for _, workers := range []int{20, 1000, 20000} {
		var ids []string
		for i := range workers {
			ids = append(ids, fmt.Sprintf("s-%08x", i))
		}
		b.Run(fmt.Sprint("write/", workers), func(b *testing.B) {
			files, err := OpenOrCreate(b.TempDir(), "n0")
			if err != nil {
				b.Fatal(err)
			}
			store, list := NewStore(files, "n0"), testList(1, ids...)
			b.ReportAllocs()
			for b.Loop() {
				if err := store.Snapshot(list); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("load/", workers), func(b *testing.B) {
			files, err := OpenOrCreate(b.TempDir(), "n0")
			if err != nil {
				b.Fatal(err)
			}
			store := NewStore(files, "n0")
			if err := store.Snapshot(testList(1, ids...)); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if list, _ := store.Load(); list == nil {
					b.Fatal("no list loaded")
				}
			}
		})
	}
}
