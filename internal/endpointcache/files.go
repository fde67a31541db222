package endpointcache

import (
	"errors"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"
)

// Files is the directory of a store. A crash may occur before, during or after each method; tests inject faults there. The error for a
// missing file is fs.ErrNotExist.
type Files interface {
	// Names returns the names of the regular files in the directory, sorted.
	Names() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Replace writes a file atomically. After a crash during Replace, the file has either the new content or its old state: the old
	// content, or missing. When Replace has returned without an error, the new content is on disk.
	Replace(name string, content []byte) error
	// Append writes at the end of a file, and creates a missing file. The content is on disk when Append returns without an error. After
	// a crash during Append, a part of the content may be on disk.
	Append(name string, content []byte) error
	// Rename changes the name of a file.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
}

// fileMode is the mode of stored files: only their owner has access.
const fileMode = 0o600

// diskFiles is the path of a directory on disk.
type diskFiles string

func (d diskFiles) path(name string) string { return filepath.Join(string(d), name) }

// Names implements Files.
func (d diskFiles) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read implements Files.
func (d diskFiles) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// Replace implements Files.
func (d diskFiles) Replace(name string, content []byte) error {
	if err := renameio.WriteFile(d.path(name), content, fileMode, renameio.WithTempDir(string(d)), renameio.IgnoreUmask()); err != nil {
		return err
	}
	return d.sync()
}

// sync writes the directory itself to disk; without it a new name may be lost in a crash.
func (d diskFiles) sync() error {
	directory, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Append implements Files.
func (d diskFiles) Append(name string, content []byte) error {
	_, statErr := os.Lstat(d.path(name))
	file, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND|os.O_CREATE, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err = errors.Join(err, file.Sync(), file.Close()); err == nil && statErr != nil {
		err = d.sync()
	}
	return err
}

// Rename implements Files.
func (d diskFiles) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove implements Files.
func (d diskFiles) Remove(name string) error { return os.Remove(d.path(name)) }
