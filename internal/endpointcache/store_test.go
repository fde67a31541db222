package endpointcache

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// memoryFiles is a folder in memoryFiles that fails or stops as the tests say.
type memoryFiles struct {
	files     map[string][]byte
	steps     int   // steps that change something, so far
	crashAt   int   // at this one the machine stops: a part of it may be done; 0 for never
	crashPart int   // how much of it is
	failWith  error // each step that changes something ends in it
}

var errCrashed = errors.New("the machine has stopped")

// step counts a step, and tells whether it is carried out whole, and whether it happens at all.
func (m *memoryFiles) step() (err error) {
	m.steps++
	switch {
	case m.failWith != nil:
		return m.failWith
	case m.crashAt > 0 && m.steps >= m.crashAt:
		return errCrashed
	}
	return nil
}

func (m *memoryFiles) Names() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (m *memoryFiles) Read(name string) ([]byte, error) {
	text, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return text, nil
}

func (m *memoryFiles) Replace(name string, content []byte) error {
	if err := m.step(); err != nil {
		if err == errCrashed && m.steps == m.crashAt {
			switch m.crashPart {
			case 1: // behind the rename
				m.files[name] = content
			case 2: // a temporary file is left
				m.files["."+name+"123"] = content[:len(content)/2]
			}
		}
		return err
	}
	m.files[name] = slices.Clone(content)
	return nil
}

func (m *memoryFiles) Append(name string, content []byte) error {
	if err := m.step(); err != nil {
		if err == errCrashed && m.steps == m.crashAt {
			m.files[name] = append(m.files[name], content[:len(content)*m.crashPart/2]...)
		}
		return err
	}
	m.files[name] = append(m.files[name], content...)
	return nil
}

func (m *memoryFiles) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	text, ok := m.files[from]
	if !ok {
		return fs.ErrNotExist
	}
	m.files[to] = text
	delete(m.files, from)
	return nil
}

func (m *memoryFiles) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func newMemoryFiles() *memoryFiles { return &memoryFiles{files: map[string][]byte{}} }

func testMember(id, phase string) protocol.Member {
	return protocol.Member{ID: id, HostPort: "127.0.0.1:3000", Locality: "llanelli", Flavor: "new-box", Cell: 1, Phase: phase, Size: 1}
}

func testList(revision int64, ids ...string) *CachedList {
	s := &CachedList{ConfirmedAtMS: 1000 * revision, Revision: revision, Discovery: "127.0.0.1:8500", Detached: []string{"out"}}
	for _, id := range ids {
		s.Members = append(s.Members, CachedMember{Member: testMember(id, "active"), LastSignalMS: 7, Statistics: &scheduler.WorkerStatistics{Slots: 5}})
	}
	return s
}

// Any one byte changed, and any end cut off, of a snapshot: the one before it is used, whole.
func TestLoad_damagedSnapshot(t *testing.T) {
	m := newMemoryFiles()
	store := NewStore(m, "n0")
	for _, saved := range []*CachedList{testList(1, "a", "b"), testList(2, "a", "b", "c")} {
		if err := store.Snapshot(saved); err != nil {
			t.Fatal(err)
		}
	}
	newest := fileName(snapshotPrefix, 2)
	whole := m.files[newest]
	check := func(what string, damaged []byte) {
		t.Helper()
		files := newMemoryFiles()
		files.files[fileName(snapshotPrefix, 1)], files.files[newest] = m.files[fileName(snapshotPrefix, 1)], damaged
		saved, notes := NewStore(files, "n0").Load()
		if saved == nil || saved.Revision != 1 || len(saved.Members) != 2 || len(notes) != 1 {
			t.Fatalf("%s: %+v, %v", what, saved, notes)
		}
		if _, aside := files.files[damagedPrefix+newest]; !aside {
			if _, there := files.files[newest]; !there || !strings.Contains(notes[0], "version") {
				t.Fatalf("%s: not kept aside: %v", what, notes)
			}
		}
	}
	for i := range whole {
		check(fmt.Sprint("cut at ", i), whole[:i])
		for _, flip := range []byte{1, 0x80, 0xff} {
			damaged := slices.Clone(whole)
			damaged[i] ^= flip
			check(fmt.Sprintf("byte %d ^ %x", i, flip), damaged)
		}
	}
	check("longer", append(slices.Clone(whole), ' '))
}

// Any end of a journal cut off, and any byte changed: what is before holds, what is behind is not believed.
func TestLoad_damagedJournal(t *testing.T) {
	m := newMemoryFiles()
	store := NewStore(m, "n0")
	if err := store.Snapshot(testList(1, "a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	var ends []int
	journal := fileName(journalPrefix, 1)
	for i, id := range []string{"a", "b", "c"} {
		if err := store.Append(&journalRecord{AtMS: int64(2000 + i), Revision: int64(2 + i), Members: []protocol.Member{testMember(id, "leaving")}}); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(m.files[journal]))
	}
	whole := m.files[journal]
	loadLeaving := func(text []byte) (n int, torn bool) {
		files := newMemoryFiles()
		files.files[fileName(snapshotPrefix, 1)], files.files[journal] = m.files[fileName(snapshotPrefix, 1)], text
		saved, notes := NewStore(files, "n0").Load()
		if saved == nil || len(saved.Members) != 3 {
			t.Fatalf("%+v, %v", saved, notes)
		}
		for i, m := range saved.Members {
			if m.Phase == "leaving" {
				if n++; n != i+1 {
					t.Fatalf("leaving are %+v", saved.Members)
				}
			}
		}
		if saved.Revision != int64(1+n) {
			t.Fatalf("%d are leaving at revision %d", n, saved.Revision)
		}
		return n, len(notes) > 0
	}
	for i := range whole {
		want := 0
		for _, end := range ends {
			if end <= i {
				want++
			}
		}
		if n, torn := loadLeaving(whole[:i]); n != want || torn == (i == 0 || slices.Contains(ends, i)) {
			t.Fatalf("cut at %d: %d records, torn %v", i, n, torn)
		}
		damaged := slices.Clone(whole)
		damaged[i] ^= 0x10
		if n, _ := loadLeaving(damaged); n != want {
			t.Fatalf("byte %d changed: %d records, want %d", i, n, want)
		}
	}
	// A record in another's place is none.
	swapped := slices.Concat(whole[ends[0]:ends[1]], whole[:ends[0]])
	if n, torn := loadLeaving(swapped); n != 0 || !torn {
		t.Errorf("records in another order: %d", n)
	}
}

// The machine stops at any step: what was told to be on disk before is there, and the next process goes on from it.
func TestStore_crashAtAnyStep(t *testing.T) {
	for crashPart := range 3 {
		for crashAt := 1; ; crashAt++ {
			files := newMemoryFiles()
			files.crashAt, files.crashPart = crashAt, crashPart
			store := NewStore(files, "n0")
			stored := int64(0) // the last revision that was on disk by the store's word
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
			saved, _ := next.Load()
			if stored > 0 && (saved == nil || saved.Revision < stored) || saved != nil && saved.Revision > stored+1 {
				t.Fatalf("step %d, part %d: %d was told, %+v found", crashAt, crashPart, stored, saved)
			}
			if err := next.Snapshot(testList(20, "c")); err != nil {
				t.Fatal(err)
			}
			if saved, _ := NewStore(files, "n0").Load(); saved == nil || saved.Revision != 20 {
				t.Fatalf("step %d, part %d: the next process's list is not found: %+v", crashAt, crashPart, saved)
			}
			if !crashed {
				break
			}
		}
	}
}

// Two processes of one name write beside each other, and neither touches what the other writes now.
func TestStore_twoProcesses(t *testing.T) {
	dir := t.TempDir()
	files, err := OpenOrCreate(dir, "n0/../x")
	if err != nil {
		t.Fatal(err)
	}
	a, b := NewStore(files, "n0/../x"), NewStore(files, "n0/../x")
	for i := range int64(5) {
		for _, s := range []*Store{a, b} {
			if err := s.Snapshot(testList(10*i+1, "a")); err != nil {
				t.Fatal(err)
			}
			if err := s.Append(&journalRecord{Revision: 10*i + 2, AtMS: 1, Members: []protocol.Member{testMember("a", "leaving")}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	found, err := a.Generations()
	if err != nil || len(found) != retainedGenerations {
		t.Fatalf("%v, %v", found, err)
	}
	for _, g := range found {
		if g.Err != nil || g.Records != 1 || g.TornBytes != 0 || g.List.Members[0].Phase != "leaving" {
			t.Errorf("%+v", g)
		}
	}
	// Another dispatcher's lists are its own, whatever they are named.
	other, err := OpenOrCreate(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	if saved, _ := NewStore(other, "n1").Load(); saved != nil {
		t.Errorf("found %+v", saved)
	}
	if names, _ := Dispatchers(dir); !slices.Equal(names, []string{"n0/../x", "n1"}) {
		t.Errorf("dispatchers %q", names)
	}
	if info, _ := os.Stat(filepath.Join(dir, "n1")); info.Mode().Perm() != 0o700 {
		t.Errorf("folder of mode %o", info.Mode().Perm())
	}
	names, _ := files.Names()
	for _, name := range names {
		if info, _ := os.Stat(filepath.Join(dir, escapeName("n0/../x"), name)); info.Mode().Perm() != 0o600 {
			t.Errorf("%s has mode %o", name, info.Mode().Perm())
		}
	}
}

// A folder that others may write, one that is none, a disk that takes nothing: an error each, and the list from before is
// still read.
func TestStore_badDirectories(t *testing.T) {
	dir := t.TempDir()
	if err := os.Chmod(dir, 0o770); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenOrCreate(dir, "n0"); err == nil || !strings.Contains(err.Error(), "others may write") {
		t.Errorf("others may write: %v", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenOrCreate(file, "n0"); err == nil {
		t.Error("a file is no folder")
	}
	files := newMemoryFiles()
	store := NewStore(files, "n0")
	if err := store.Snapshot(testList(1, "a")); err != nil {
		t.Fatal(err)
	}
	files.failWith = errors.New("no space left on device")
	if err := store.Append(&journalRecord{Revision: 2}); !errors.Is(err, files.failWith) {
		t.Errorf("a full disk: %v", err)
	}
	if err := store.Append(&journalRecord{Revision: 3}); err != errNoGeneration {
		t.Errorf("behind a torn record: %v", err)
	}
	if err := store.Snapshot(testList(4, "a")); !errors.Is(err, files.failWith) {
		t.Errorf("a full disk: %v", err)
	}
	if saved, _ := store.Load(); saved == nil || saved.Revision != 1 {
		t.Errorf("found %+v", saved)
	}
}

// The form before this one is read; one from the future is left where it is.
func TestVersions(t *testing.T) {
	files := newMemoryFiles()
	files.files[fileName(snapshotPrefix, 1)] = encodeSnapshot(1, []byte(`{"dispatcher":"n0","made_ms":5000,"list":{"revision":4,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:3000","locality":"llanelli","flavor":"new-box","cell":2,"phase":"active","size":1,"up_since_ms":9}]}}`))
	files.files[fileName(snapshotPrefix, 2)] = encodeSnapshot(99, []byte(`{}`))
	saved, notes := NewStore(files, "n0").Load()
	if saved == nil || saved.Revision != 4 || saved.ConfirmedAtMS != 5000 || saved.Members[0].Cell != 2 || len(notes) != 1 || !strings.Contains(notes[0], "version 99") {
		t.Errorf("%+v, %v", saved, notes)
	}
	if files.files[fileName(snapshotPrefix, 2)] == nil {
		t.Error("a newer program's list was put aside")
	}
}

// FuzzDecode: whatever is on disk, nothing but what was written whole is believed, and it can be written again.
func FuzzDecode(f *testing.F) {
	whole, _ := encodeList(testList(3, "a", "b"))
	f.Add(whole)
	f.Add(encodeSnapshot(1, []byte(`{"list":{}}`)))
	record, _ := encodeRecord(0, &journalRecord{Revision: 3, Members: []protocol.Member{testMember("a", "left")}})
	f.Add(record)
	f.Fuzz(func(t *testing.T, text []byte) {
		if saved, err := decodeSnapshot(text); err == nil {
			if _, err := encodeList(saved); err != nil {
				t.Fatal(err)
			}
		}
		if changes, good := decodeJournal(text); good > len(text) || len(changes) > 0 && good == 0 {
			t.Fatalf("%d changes in %d of %d bytes", len(changes), good, len(text))
		}
	})
}

// BenchmarkSnapshot: what a snapshot and a load cost, by boxes.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{20, 1000, 20000} {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("s-%08x", i))
		}
		b.Run(fmt.Sprint("write/", n), func(b *testing.B) {
			files, err := OpenOrCreate(b.TempDir(), "n0")
			if err != nil {
				b.Fatal(err)
			}
			s, saved := NewStore(files, "n0"), testList(1, ids...)
			b.ReportAllocs()
			for b.Loop() {
				if err := s.Snapshot(saved); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("load/", n), func(b *testing.B) {
			files, err := OpenOrCreate(b.TempDir(), "n0")
			if err != nil {
				b.Fatal(err)
			}
			s := NewStore(files, "n0")
			if err := s.Snapshot(testList(1, ids...)); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if saved, _ := s.Load(); saved == nil {
					b.Fatal("nothing found")
				}
			}
		})
	}
}
