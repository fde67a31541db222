package soak

import (
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// reservedPort is a loopback port that the kernel assigns to no other socket, even while no process listens on it. Its owner can listen on it
// with SO_REUSEPORT, as dispatchers do.
type reservedPort struct {
	address    string
	number     int
	descriptor int // of a socket that is bound but does not listen
}

// reservePort reserves a free port until release.
func reservePort() (*reservedPort, error) {
	descriptor, err := bindSocket(0)
	if err != nil {
		return nil, err
	}
	name, err := unix.Getsockname(descriptor)
	bound, ok := name.(*unix.SockaddrInet4)
	if err != nil || !ok {
		return nil, errors.Join(err, unix.Close(descriptor))
	}
	return &reservedPort{address: fmt.Sprintf("127.0.0.1:%d", bound.Port), number: bound.Port, descriptor: descriptor}, nil
}

// bindSocket returns the descriptor of a socket bound to a loopback port with SO_REUSEPORT. Port 0 stands for any free port.
func bindSocket(port int) (descriptor int, err error) {
	descriptor, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	err = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	if err == nil {
		err = unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}, Port: port})
	}
	if err != nil {
		return 0, errors.Join(err, unix.Close(descriptor))
	}
	return descriptor, nil
}

// listen returns a listener on the port.
func (p *reservedPort) listen() (net.Listener, error) {
	descriptor, err := bindSocket(p.number)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptor), p.address)
	defer func() { _ = file.Close() }() // the listener has a descriptor of its own
	if err := unix.Listen(descriptor, unix.SOMAXCONN); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// release frees the port.
func (p *reservedPort) release() {
	_ = unix.Close(p.descriptor) // nothing was sent on it
}
