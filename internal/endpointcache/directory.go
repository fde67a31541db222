package endpointcache

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	// directoryMode is the mode of a dispatcher's directory.
	directoryMode = 0o700

	// writableByOthers are the permission bits that a directory must not have.
	writableByOthers = 0o022
)

// CheckDirectory returns an error for a path that cannot be the directory of cached lists: other users may write there, or it is not a
// directory. It accepts a path that does not exist.
func CheckDirectory(path string) error {
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return err
	case !info.IsDir():
		return fmt.Errorf("%s is not a directory", path)
	case info.Mode().Perm()&writableByOthers != 0:
		return fmt.Errorf("%s: others may write there (mode %04o): chmod 700", path, info.Mode().Perm())
	}
	return nil
}

// OpenOrCreate returns a dispatcher's directory below a path. It creates missing directories.
func OpenOrCreate(path, dispatcher string) (Files, error) {
	if err := CheckDirectory(path); err != nil {
		return nil, err
	}
	directory := filepath.Join(path, escapeName(dispatcher))
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, err
	}
	if err := CheckDirectory(directory); err != nil {
		return nil, err
	}
	return diskFiles(directory), nil
}

// OpenExisting returns a dispatcher's directory below a path, or an error if it is missing.
func OpenExisting(path, dispatcher string) (Files, error) {
	directory := filepath.Join(path, escapeName(dispatcher))
	if _, err := os.Stat(directory); err != nil {
		return nil, err
	}
	return diskFiles(directory), nil
}

// Dispatchers returns the names of the dispatchers that have a directory below a path.
func Dispatchers(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.IsDir() {
			names = append(names, unescapeName(entry.Name()))
		}
	}
	return names, nil
}

// escapeName returns a file name for any text, and different names for different texts. All bytes except ASCII letters, digits, '-' and
// '_' become '%' and two hexadecimal digits.
func escapeName(text string) string {
	var name []byte
	for i := range len(text) {
		if isPlain(text[i]) {
			name = append(name, text[i])
		} else {
			name = fmt.Appendf(name, "%%%02x", text[i])
		}
	}
	if len(name) == 0 {
		return "%"
	}
	return string(name)
}

// isPlain reports whether a byte stays as it is in an escaped name.
func isPlain(char byte) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' || char == '-' || char == '_'
}

// unescapeName returns the text of an escaped name.
func unescapeName(name string) string {
	var text []byte
	for i := 0; i < len(name); i++ {
		var char byte
		if name[i] == '%' && i+2 < len(name) {
			if _, err := fmt.Sscanf(name[i+1:i+3], "%02x", &char); err == nil {
				text = append(text, char)
				i += 2
				continue
			}
		}
		if name[i] != '%' {
			text = append(text, name[i])
		}
	}
	return string(text)
}
