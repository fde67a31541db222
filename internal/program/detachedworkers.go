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

// detachedWorkers are the workers that the operators have detached, stored in a file that outlives the process. mu guards ids;
// fileMissing does not change after load.
type detachedWorkers struct {
	path       string
	dispatcher string // name of the dispatcher that the file belongs to

	fileMissing bool // load found no file

	mu  sync.Mutex
	ids []string
}

// detachedFile is the content of the file.
type detachedFile struct {
	Name    string   `json:"name"` // of the dispatcher
	Workers []string `json:"workers"`
}

// load reads the file. A missing file is not an error. After an error no worker is detached.
func (w *detachedWorkers) load() error {
	text, err := os.ReadFile(w.path)
	if errors.Is(err, os.ErrNotExist) {
		w.fileMissing = true
		return nil
	}
	if err != nil {
		return err
	}
	var file detachedFile
	if err := json.Unmarshal(text, &file); err != nil {
		return fmt.Errorf("%s: %w", w.path, err)
	}
	if file.Name != w.dispatcher {
		return fmt.Errorf("%s: file belongs to dispatcher %q", w.path, file.Name)
	}
	isBlank := func(id string) bool { return strings.TrimSpace(id) == "" }
	w.adopt(slices.DeleteFunc(file.Workers, isBlank))
	return nil
}

// adopt sets the list without writing it to the file; the next change writes it.
func (w *detachedWorkers) adopt(ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids = ids
}

// list returns the IDs of the workers.
func (w *detachedWorkers) list() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.ids)
}

// set stores whether a worker is detached. The file is written when set returns; after an error nothing has changed.
func (w *detachedWorkers) set(id string, isDetached bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := slices.DeleteFunc(slices.Clone(w.ids), func(other string) bool { return other == id })
	if isDetached {
		ids = append(ids, id)
	}
	text, err := json.Marshal(detachedFile{Name: w.dispatcher, Workers: ids})
	if err != nil {
		return err
	}
	if err := replaceFile(w.path, text); err != nil {
		return err
	}
	w.ids = ids
	return nil
}

// replaceFile replaces the content of a file atomically: a process that reads it meanwhile, or after a crash, gets either the old
// content or the new one.
func replaceFile(path string, content []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = temporary.Write(content)
	err = errors.Join(err, temporary.Sync(), temporary.Close())
	if err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	return nil
}
