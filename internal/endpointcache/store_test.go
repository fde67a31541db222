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

// memory is a folder in memory that fails or stops as the tests say.
type memory struct {
	files map[string][]byte
	steps int   // steps that change something, so far
	crash int   // at this one the machine stops: a part of it may be done; 0 for never
	part  int   // how much of it is
	fail  error // each step that changes something ends in it
}

var errCrashed = errors.New("the machine has stopped")

// step counts a step, and tells whether it is carried out whole, and whether it happens at all.
func (m *memory) step() (err error) {
	m.steps++
	switch {
	case m.fail != nil:
		return m.fail
	case m.crash > 0 && m.steps >= m.crash:
		return errCrashed
	}
	return nil
}

func (m *memory) Names() ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (m *memory) Read(name string) ([]byte, error) {
	text, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return text, nil
}

func (m *memory) Replace(name string, content []byte) error {
	if err := m.step(); err != nil {
		if err == errCrashed && m.steps == m.crash {
			switch m.part {
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

func (m *memory) Append(name string, content []byte) error {
	if err := m.step(); err != nil {
		if err == errCrashed && m.steps == m.crash {
			m.files[name] = append(m.files[name], content[:len(content)*m.part/2]...)
		}
		return err
	}
	m.files[name] = append(m.files[name], content...)
	return nil
}

func (m *memory) Rename(from, to string) error {
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

func (m *memory) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func newMemory() *memory { return &memory{files: map[string][]byte{}} }

func member(id, phase string) protocol.Member {
	return protocol.Member{ID: id, HostPort: "127.0.0.1:3000", Locality: "llanelli", Flavor: "new-box", Cell: 1, Phase: phase, Size: 1}
}

func listOf(revision int64, ids ...string) *CachedList {
	s := &CachedList{ConfirmedAtMS: 1000 * revision, Revision: revision, Discovery: "127.0.0.1:8500", Detached: []string{"out"}}
	for _, id := range ids {
		s.Members = append(s.Members, CachedMember{Member: member(id, "active"), LastSignalMS: 7, Statistics: &scheduler.WorkerStatistics{Slots: 5}})
	}
	return s
}

// Any one byte changed, and any end cut off, of a snapshot: the one before it is used, whole.
func TestDamagedSnapshot(t *testing.T) {
	m := newMemory()
	s := NewStore(m, "n0")
	for _, saved := range []*CachedList{listOf(1, "a", "b"), listOf(2, "a", "b", "c")} {
		if err := s.Snapshot(saved); err != nil {
			t.Fatal(err)
		}
	}
	newest := fileName(snapshotName, 2)
	whole := m.files[newest]
	check := func(what string, damaged []byte) {
		t.Helper()
		files := newMemory()
		files.files[fileName(snapshotName, 1)], files.files[newest] = m.files[fileName(snapshotName, 1)], damaged
		saved, notes := NewStore(files, "n0").Load()
		if saved == nil || saved.Revision != 1 || len(saved.Members) != 2 || len(notes) != 1 {
			t.Fatalf("%s: %+v, %v", what, saved, notes)
		}
		if _, aside := files.files[damagedName+newest]; !aside {
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
func TestDamagedJournal(t *testing.T) {
	m := newMemory()
	s := NewStore(m, "n0")
	if err := s.Snapshot(listOf(1, "a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	var ends []int
	journal := fileName(journalName, 1)
	for i, id := range []string{"a", "b", "c"} {
		if err := s.Append(&change{AtMS: int64(2000 + i), Revision: int64(2 + i), Members: []protocol.Member{member(id, "leaving")}}); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(m.files[journal]))
	}
	whole := m.files[journal]
	leaving := func(text []byte) (n int, torn bool) {
		files := newMemory()
		files.files[fileName(snapshotName, 1)], files.files[journal] = m.files[fileName(snapshotName, 1)], text
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
		if n, torn := leaving(whole[:i]); n != want || torn == (i == 0 || slices.Contains(ends, i)) {
			t.Fatalf("cut at %d: %d records, torn %v", i, n, torn)
		}
		damaged := slices.Clone(whole)
		damaged[i] ^= 0x10
		if n, _ := leaving(damaged); n != want {
			t.Fatalf("byte %d changed: %d records, want %d", i, n, want)
		}
	}
	// A record in another's place is none.
	swapped := slices.Concat(whole[ends[0]:ends[1]], whole[:ends[0]])
	if n, torn := leaving(swapped); n != 0 || !torn {
		t.Errorf("records in another order: %d", n)
	}
}

// The machine stops at any step: what was told to be on disk before is there, and the next process goes on from it.
func TestCrash(t *testing.T) {
	for part := range 3 {
		for crash := 1; ; crash++ {
			m := newMemory()
			m.crash, m.part = crash, part
			s := NewStore(m, "n0")
			told := int64(0) // the last revision that was on disk by the store's word
			for revision := int64(1); revision <= 12; revision++ {
				var err error
				if revision%3 == 1 {
					err = s.Snapshot(listOf(revision, "a", "b"))
				} else {
					err = s.Append(&change{AtMS: 1000 * revision, Revision: revision, Members: []protocol.Member{member("a", "leaving")}})
				}
				if err == nil {
					told = revision
				}
			}
			crashed := m.steps >= crash
			m.crash = 0
			next := NewStore(m, "n0")
			saved, _ := next.Load()
			if told > 0 && (saved == nil || saved.Revision < told) || saved != nil && saved.Revision > told+1 {
				t.Fatalf("step %d, part %d: %d was told, %+v found", crash, part, told, saved)
			}
			if err := next.Snapshot(listOf(20, "c")); err != nil {
				t.Fatal(err)
			}
			if saved, _ := NewStore(m, "n0").Load(); saved == nil || saved.Revision != 20 {
				t.Fatalf("step %d, part %d: the next process's list is not found: %+v", crash, part, saved)
			}
			if !crashed {
				break
			}
		}
	}
}

// Two processes of one name write beside each other, and neither touches what the other writes now.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	files, err := OpenOrCreate(dir, "n0/../x")
	if err != nil {
		t.Fatal(err)
	}
	a, b := NewStore(files, "n0/../x"), NewStore(files, "n0/../x")
	for i := range int64(5) {
		for _, s := range []*Store{a, b} {
			if err := s.Snapshot(listOf(10*i+1, "a")); err != nil {
				t.Fatal(err)
			}
			if err := s.Append(&change{Revision: 10*i + 2, AtMS: 1, Members: []protocol.Member{member("a", "leaving")}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	found, err := a.Generations()
	if err != nil || len(found) != keepGenerations {
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
		if info, _ := os.Stat(filepath.Join(dir, escape("n0/../x"), name)); info.Mode().Perm() != 0o600 {
			t.Errorf("%s has mode %o", name, info.Mode().Perm())
		}
	}
}

// A folder that others may write, one that is none, a disk that takes nothing: an error each, and the list from before is
// still read.
func TestBadFolders(t *testing.T) {
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
	m := newMemory()
	s := NewStore(m, "n0")
	if err := s.Snapshot(listOf(1, "a")); err != nil {
		t.Fatal(err)
	}
	m.fail = errors.New("no space left on device")
	if err := s.Append(&change{Revision: 2}); !errors.Is(err, m.fail) {
		t.Errorf("a full disk: %v", err)
	}
	if err := s.Append(&change{Revision: 3}); err != errNoGeneration {
		t.Errorf("behind a torn record: %v", err)
	}
	if err := s.Snapshot(listOf(4, "a")); !errors.Is(err, m.fail) {
		t.Errorf("a full disk: %v", err)
	}
	if saved, _ := s.Load(); saved == nil || saved.Revision != 1 {
		t.Errorf("found %+v", saved)
	}
}

// The form before this one is read; one from the future is left where it is.
func TestVersions(t *testing.T) {
	m := newMemory()
	m.files[fileName(snapshotName, 1)] = seal(1, []byte(`{"dispatcher":"n0","made_ms":5000,"list":{"revision":4,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:3000","locality":"llanelli","flavor":"new-box","cell":2,"phase":"active","size":1,"up_since_ms":9}]}}`))
	m.files[fileName(snapshotName, 2)] = seal(99, []byte(`{}`))
	saved, notes := NewStore(m, "n0").Load()
	if saved == nil || saved.Revision != 4 || saved.ConfirmedAtMS != 5000 || saved.Members[0].Cell != 2 || len(notes) != 1 || !strings.Contains(notes[0], "version 99") {
		t.Errorf("%+v, %v", saved, notes)
	}
	if m.files[fileName(snapshotName, 2)] == nil {
		t.Error("a newer program's list was put aside")
	}
}

// FuzzDecode: whatever is on disk, nothing but what was written whole is believed, and it can be written again.
func FuzzDecode(f *testing.F) {
	whole, _ := encode(listOf(3, "a", "b"))
	f.Add(whole)
	f.Add(seal(1, []byte(`{"list":{}}`)))
	record, _ := encodeChange(0, &change{Revision: 3, Members: []protocol.Member{member("a", "left")}})
	f.Add(record)
	f.Fuzz(func(t *testing.T, text []byte) {
		if saved, err := decode(text); err == nil {
			if _, err := encode(saved); err != nil {
				t.Fatal(err)
			}
		}
		if changes, good := decodeChanges(text); good > len(text) || len(changes) > 0 && good == 0 {
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
			s, saved := NewStore(files, "n0"), listOf(1, ids...)
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
			if err := s.Snapshot(listOf(1, ids...)); err != nil {
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
