package endpointcache

import (
	"errors"
	"fmt"
)

// ErrDamaged means that a stored file does not have the content that was written.
var ErrDamaged = errors.New("damaged")

// errNoGeneration means that no record can be appended before the next snapshot.
var errNoGeneration = errors.New("no journal to append to before the next snapshot")

// UnknownVersionError means that a snapshot has a format version that this program cannot read, such as the version of a later release.
type UnknownVersionError struct{ Version int }

// Error implements error.
func (e UnknownVersionError) Error() string {
	return fmt.Sprintf("format version %d is not known to this program", e.Version)
}

// OtherDispatcherError means that a snapshot belongs to a dispatcher of another name.
type OtherDispatcherError struct{ Dispatcher string }

// Error implements error.
func (e OtherDispatcherError) Error() string {
	return fmt.Sprintf("the snapshot belongs to dispatcher %q", e.Dispatcher)
}
