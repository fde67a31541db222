package endpointcache

import (
	"errors"
	"io/fs"
	"slices"
)

// memoryFiles is a Files in memory. A test can make its changes fail, or end in a simulated crash of the machine.
type memoryFiles struct {
	files     map[string][]byte
	steps     int   // how many changes were attempted
	crashAt   int   // the change at which the machine crashes, counted from 1; 0 for never
	crashPart int   // how far that change got, 0 for not at all; see Replace and Append
	failWith  error // the error with which each change fails; nil if changes succeed
}

var errCrashed = errors.New("the machine has crashed")

// step counts a change, and returns the error with which it must fail.
func (m *memoryFiles) step() error {
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
		if errors.Is(err, errCrashed) && m.steps == m.crashAt {
			switch m.crashPart {
			case 1: // after the rename
				m.files[name] = content
			case 2: // before the rename: a temporary file remains
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
		if errors.Is(err, errCrashed) && m.steps == m.crashAt {
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

// newMemoryFiles returns an empty directory.
func newMemoryFiles() *memoryFiles { return &memoryFiles{files: map[string][]byte{}} }
