package program

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// detached is the file of the workers that are out by hand. It outlasts the process, for the one that replaces it.
type detached struct {
	path string
	name string // of the dispatcher whose it is

	mu  sync.Mutex
	ids []string

	none bool // there was no file
}

type detachedFile struct {
	Name    string   `json:"name"`
	Workers []string `json:"workers"`
}

// load reads the file; none is no error. What cannot be used is left out with an error that says why.
func (f *detached) load() error {
	text, err := os.ReadFile(f.path)
	if errors.Is(err, os.ErrNotExist) {
		f.none = true
		return nil
	}
	if err != nil {
		return err
	}
	var file detachedFile
	if err := json.Unmarshal(text, &file); err != nil {
		return fmt.Errorf("%s: %w", f.path, err)
	}
	if file.Name != f.name {
		return fmt.Errorf("%s: it is of dispatcher %q", f.path, file.Name)
	}
	f.ids = slices.DeleteFunc(file.Workers, func(id string) bool { return strings.TrimSpace(id) == "" })
	return nil
}

// take begins with the predecessor's list, which is on file already.
func (f *detached) take(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids = ids
}

// list gives the workers that are out.
func (f *detached) list() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ids)
}

// put notes a worker as out, or as back. It is on file when this returns; after an error nothing has changed.
func (f *detached) put(id string, out bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := slices.DeleteFunc(slices.Clone(f.ids), func(old string) bool { return old == id })
	if out {
		ids = append(ids, id)
	}
	text, err := json.Marshal(detachedFile{Name: f.name, Workers: ids})
	if err != nil {
		return err
	}
	// Written beside it and renamed: a process that starts meanwhile, or after a kill, reads the old or the new.
	fresh, err := os.CreateTemp(filepath.Dir(f.path), filepath.Base(f.path)+".*")
	if err != nil {
		return err
	}
	_, err = fresh.Write(text)
	if err = errors.Join(err, fresh.Sync(), fresh.Close()); err == nil {
		err = os.Rename(fresh.Name(), f.path)
	}
	if err != nil {
		os.Remove(fresh.Name())
		return err
	}
	f.ids = ids
	return nil
}
