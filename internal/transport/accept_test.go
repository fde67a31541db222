package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestListenerAccept_continuesAfterErrors checks that Accept returns no error of the system call until the listener is closed: at
// errors such as ENOBUFS or EPERM (a descriptor that cannot be polled) net/http would end the server, and with it the process and
// its requests.
func TestListenerAccept_continuesAfterErrors(t *testing.T) {
	for _, fault := range []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EPERM, syscall.EPROTO, syscall.EMFILE, syscall.ENFILE,
		syscall.ECONNABORTED, syscall.ETIMEDOUT, syscall.EINTR, syscall.EHOSTUNREACH, syscall.ENETDOWN, errors.New("unknown")} {
		socket, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener := NewListener(socket, slog.New(slog.NewTextHandler(io.Discard, nil)))
		listener.SetLimits(10, 1<<20)
		failures := 3
		accept := listener.accept
		listener.accept = func() (*net.TCPConn, error) {
			if failures > 0 {
				failures--
				return nil, &net.OpError{Op: "accept", Net: "tcp", Err: fault}
			}
			return accept()
		}
		client, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn, err := listener.Accept()
		if err != nil {
			t.Errorf("Accept after three errors %v: got error %v, want a connection", fault, err)
		} else {
			conn.(*Conn).TCPConn.Close()
		}
		client.Close()
		time.AfterFunc(20*time.Millisecond, func() { listener.Close() })
		if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept after Close: got error %v, want %v", err, net.ErrClosed)
		}
	}
}
