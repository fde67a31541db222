package endpointcache

import (
	"errors"
	"fmt"
)

// ErrDamaged means that a stored file does not have the content that was written.
var ErrDamaged = errors.New("damaged")

// errNoGeneration means that a record has no snapshot to follow.
var errNoGeneration = errors.New("no generation to add to")

// UnknownVersionError means that a snapshot has a format version that this program cannot read, such as a later program's.
type UnknownVersionError struct{ Version int }

// Error implements error.
func (e UnknownVersionError) Error() string {
	return fmt.Sprintf("version %d is not known to this program", e.Version)
}

// OtherDispatcherError means that a snapshot belongs to a dispatcher of another name.
type OtherDispatcherError struct{ Dispatcher string }

// Error implements error.
func (e OtherDispatcherError) Error() string {
	return fmt.Sprintf("it is of dispatcher %q", e.Dispatcher)
}
