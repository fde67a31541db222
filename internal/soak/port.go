package soak

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"

	"brassdale/internal/transport"
)

// reservedPort is a port of the loopback interface that no other socket gets by chance while nobody listens at it. Its owner, who listens with
// SO_REUSEPORT, as dispatchers do, can.
type reservedPort struct {
	address    string
	descriptor int // of a socket that is bound and does not listen
}

// reservePort reserves a free port until release.
func reservePort() (*reservedPort, error) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	port := &reservedPort{descriptor: descriptor}
	if err := port.bind(); err != nil {
		port.release()
		return nil, err
	}
	return port, nil
}

// bind binds the socket to a free port.
func (p *reservedPort) bind() error {
	if err := unix.SetsockoptInt(p.descriptor, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return err
	}
	if err := unix.Bind(p.descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	name, err := unix.Getsockname(p.descriptor)
	if err != nil {
		return err
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return fmt.Errorf("bound to %T", name)
	}
	p.address = fmt.Sprintf("127.0.0.1:%d", bound.Port)
	return nil
}

// listen listens at the port.
func (p *reservedPort) listen() (net.Listener, error) { return transport.Listen(p.address) }

// release gives the port up.
func (p *reservedPort) release() {
	_ = unix.Close(p.descriptor) // it has carried nothing
}
