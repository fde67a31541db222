package endpointcache

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"
)

// Files is what the store needs of a folder. Each method is one step that a crash may come before, in or behind; the
// tests put faults there.
type Files interface {
	// Names lists the folder.
	Names() ([]string, error)
	// Read gives a whole file.
	Read(name string) ([]byte, error)
	// Replace puts a file in place with this content: after a crash there is the old one, or none, or the new one,
	// whole, and once it has returned the new one.
	Replace(name string, content []byte) error
	// Append writes behind a file's end, makes it where there is none, and returns when it is on disk. After a crash
	// a part of it may be there.
	Append(name string, content []byte) error
	// Rename gives a file another name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
}

// disk is a folder on disk. Its files are of this user alone.
type disk string

func (d disk) path(name string) string { return filepath.Join(string(d), name) }

func (d disk) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d disk) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

func (d disk) Replace(name string, content []byte) error {
	if err := renameio.WriteFile(d.path(name), content, 0o600, renameio.WithTempDir(string(d)), renameio.IgnoreUmask()); err != nil {
		return err
	}
	return d.sync()
}

// sync has the folder itself on disk: else a new name may be lost.
func (d disk) sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d disk) Append(name string, content []byte) error {
	_, none := os.Lstat(d.path(name))
	f, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil && none != nil {
		err = d.sync()
	}
	return err
}

func (d disk) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }
func (d disk) Remove(name string) error     { return os.Remove(d.path(name)) }

// CheckDirectory tells what is wrong with a folder for saved lists; one that is not there yet is in order.
func CheckDirectory(path string) error {
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return err
	case !info.IsDir():
		return fmt.Errorf("%s is no folder", path)
	case info.Mode().Perm()&0o022 != 0:
		return fmt.Errorf("%s: others may write there (mode %04o): chmod 700", path, info.Mode().Perm())
	}
	return nil
}

// OpenOrCreate gives a dispatcher's part of a folder, which is made where there is none.
func OpenOrCreate(path, dispatcher string) (Files, error) {
	if err := CheckDirectory(path); err != nil {
		return nil, err
	}
	own := filepath.Join(path, escapeName(dispatcher))
	if err := os.MkdirAll(own, 0o700); err != nil {
		return nil, err
	}
	if err := CheckDirectory(own); err != nil {
		return nil, err
	}
	return disk(own), nil
}

// OpenExisting gives a dispatcher's part of a folder as it is.
func OpenExisting(path, dispatcher string) (Files, error) {
	own := filepath.Join(path, escapeName(dispatcher))
	if _, err := os.Stat(own); err != nil {
		return nil, err
	}
	return disk(own), nil
}

// Dispatchers lists those that have a part of a folder.
func Dispatchers(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.IsDir() {
			names = append(names, unescapeName(e.Name()))
		}
	}
	return names, nil
}

// escapeName makes a file's name of any text, and of no two texts the same.
func escapeName(text string) string {
	var b []byte
	for i := range len(text) {
		c := text[i]
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' {
			b = append(b, c)
		} else {
			b = fmt.Appendf(b, "%%%02x", c)
		}
	}
	if len(b) == 0 {
		return "%"
	}
	return string(b)
}

func unescapeName(name string) string {
	var b []byte
	for i := 0; i < len(name); i++ {
		var c byte
		if name[i] == '%' && i+2 < len(name) {
			if _, err := fmt.Sscanf(name[i+1:i+3], "%02x", &c); err == nil {
				b = append(b, c)
				i += 2
				continue
			}
		}
		if name[i] != '%' {
			b = append(b, name[i])
		}
	}
	return string(b)
}
