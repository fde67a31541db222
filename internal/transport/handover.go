package transport

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brassdale/internal/listen"
	"brassdale/internal/protocol"
)

// How two processes of one dispatcher hand over. The predecessor listens at a Unix socket (ListenForSuccessor, AcceptSuccessor). The successor
// connects to it (ConnectToPredecessor). The predecessor sends one byte with the descriptors of its listeners, then a Handover
// (PeerProcess.HandOver), and goes on serving. From then on both run PeerProcess.Run.

const (
	maxListeners       = 4 // in one handover
	descriptorBytes    = 4 // size of a descriptor in a control message
	privateSocketPerms = 0o600
)

// errNoHandover says that the predecessor's first message lacks the handover, or that not all listeners were received with it.
var errNoHandover = errors.New("the first message of the predecessor is not a handover with its listeners")

// ErrPredecessorSilent says that the predecessor is there, and has not handed over in time.
var ErrPredecessorSilent = errors.New("the predecessor does not answer")

// ConnectToPredecessor connects to the process that listens at path, and takes over its listeners, in the order of Handover.Frontends,
// and its state. It blocks until the deadline at most. It fails if there is no such process. If there is one that does not hand over in
// time, the error is ErrPredecessorSilent, and the process is returned: PeerProcess.AwaitEnd must be called.
func ConnectToPredecessor(path string, deadline time.Time, log *slog.Logger) (*PeerProcess, *protocol.Handover, []*net.TCPListener, error) {
	conn, err := (&net.Dialer{Deadline: deadline}).Dial("unix", path)
	if err != nil {
		return nil, nil, nil, err
	}
	predecessor := newPeerProcess(conn.(*net.UnixConn), log)
	_ = predecessor.conn.SetDeadline(deadline) // fails only on a closed connection, on which the reads fail too
	listeners, err := predecessor.receiveListeners()
	var first protocol.HandoverMessage
	if err == nil {
		err = predecessor.decoder.Decode(&first)
	}
	if err == nil && (first.Handover == nil || len(first.Handover.Frontends) != len(listeners)) {
		err = errNoHandover
	}
	if err != nil {
		for _, listener := range listeners {
			closeQuietly(listener)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			predecessor.silent = true
			return predecessor, nil, nil, ErrPredecessorSilent
		}
		predecessor.Close()
		return nil, nil, nil, err
	}
	_ = predecessor.conn.SetDeadline(time.Time{})
	return predecessor, first.Handover, listeners, nil
}

// receiveListeners receives the listeners, which are sent with one byte. The listeners that it returns are open, even if there is
// an error.
func (p *PeerProcess) receiveListeners() (listeners []*net.TCPListener, err error) {
	marker, control := make([]byte, 1), make([]byte, unix.CmsgSpace(descriptorBytes*maxListeners))
	_, n, _, _, err := p.conn.ReadMsgUnix(marker, control)
	if err != nil {
		return nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(control[:n])
	if err != nil {
		return nil, err
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			return listeners, err
		}
		for _, fd := range fds {
			if listener := tcpListenerOf(fd); listener != nil {
				listeners = append(listeners, listener)
			}
		}
	}
	return listeners, nil
}

// tcpListenerOf returns the TCP listener of a descriptor, and closes the descriptor. It returns nil if the descriptor is not a
// TCP listener.
func tcpListenerOf(fd int) *net.TCPListener {
	file := os.NewFile(uintptr(fd), "listener")
	defer closeQuietly(file)
	listener, err := net.FileListener(file) // duplicates the descriptor
	if err != nil {
		return nil
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		closeQuietly(listener)
		return nil
	}
	return tcp
}

// HandOver sends the listeners and the state to a successor. The listeners stay open here. It must be called before Run, and
// blocks for handoverWriteTimeout at most.
func (p *PeerProcess) HandOver(state *protocol.Handover, listeners []*Listener) error {
	_ = p.conn.SetWriteDeadline(time.Now().Add(handoverWriteTimeout)) // fails only on a closed connection, on which the write fails too
	err := withDescriptors(listeners, nil, func(fds []int) error {
		_, _, err := p.conn.WriteMsgUnix([]byte{'\n'}, syscall.UnixRights(fds...), nil)
		return err
	})
	if err != nil {
		return err
	}
	p.Notify(protocol.HandoverMessage{Handover: state})
	return nil
}

// withDescriptors calls use with fds and the descriptors of the listeners. No descriptor is closed before use returns: the
// RawConn of each listener keeps its descriptor open during the call for the next listener.
func withDescriptors(listeners []*Listener, fds []int, use func(fds []int) error) error {
	if len(listeners) == 0 {
		return use(fds)
	}
	raw, err := listeners[0].SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	err = raw.Control(func(fd uintptr) { inner = withDescriptors(listeners[1:], append(fds, int(fd)), use) })
	return errors.Join(err, inner)
}

// ListenForSuccessor listens for a successor at path, in place of the process that listened there before. The path is replaced in
// one step, so that a successor always finds a listener.
func ListenForSuccessor(path string) (*net.UnixListener, error) {
	ownPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	listener, err := ListenPrivate(ownPath)
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then the path may belong to the successor
	if err := os.Rename(ownPath, path); err != nil {
		closeQuietly(listener)
		return nil, err
	}
	return listener, nil
}

// ListenPrivate listens at path for processes of the same user. It replaces an existing socket.
func ListenPrivate(path string) (*net.UnixListener, error) {
	_ = os.Remove(path) // left by an ended process with the same process id; if it stays, listening fails
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, privateSocketPerms); err != nil {
		closeQuietly(listener)
		return nil, err
	}
	return listener, nil
}

// AcceptSuccessor waits for the next successor, which must be a process of the same user, and fails only when the listener is
// closed. It calls failed with other errors of accept.
func AcceptSuccessor(listener *net.UnixListener, failed func(error), log *slog.Logger) (*PeerProcess, error) {
	for {
		conn, err := listen.Next(listener.AcceptUnix, failed)
		if err != nil {
			return nil, err
		}
		if isSameUser(conn) {
			return newPeerProcess(conn, log), nil
		}
		closeQuietly(conn)
	}
}

// isSameUser reports whether the process at the other end has this process's user id.
func isSameUser(conn *net.UnixConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var credentials *unix.Ucred
	_ = raw.Control(func(fd uintptr) { // a peer without credentials is rejected, regardless of the error
		credentials, _ = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	return credentials != nil && int(credentials.Uid) == os.Getuid()
}

// closeQuietly closes something that is not used any more, and ignores the error.
func closeQuietly(closer io.Closer) { _ = closer.Close() }
