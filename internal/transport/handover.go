package transport

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brassdale/internal/listen"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// PeerProcess is the other process while one replaces the other: a Unix socket whose end is the other's end. It is an
// actor with a mailbox: nobody who tells it something waits for it.
type PeerProcess struct {
	conn    *net.UnixConn
	decoder *json.Decoder
	mailbox *routing.Mailbox[protocol.HandoverMessage]
	gone    chan struct{}

	mu               sync.Mutex
	lastQuestionID   uint64
	pendingQuestions map[uint64]chan bool
}

const (
	peerWriteTimeout = time.Second // a process that takes nothing from its sibling for so long is as good as dead
	maxListeners     = 4
)

func newPeerProcess(conn *net.UnixConn) *PeerProcess {
	return &PeerProcess{conn: conn, decoder: json.NewDecoder(conn), mailbox: routing.NewMailbox[protocol.HandoverMessage](), gone: make(chan struct{}), pendingQuestions: map[uint64]chan bool{}}
}

// ConnectToPredecessor finds the process that is to be replaced and takes over its listeners and what it knows. No such process, a
// dead one or one that does not answer until then is an error.
func ConnectToPredecessor(path string, until time.Time) (*PeerProcess, *protocol.Handover, []*net.TCPListener, error) {
	conn, err := (&net.Dialer{Deadline: until}).Dial("unix", path)
	if err != nil {
		return nil, nil, nil, err
	}
	k := newPeerProcess(conn.(*net.UnixConn))
	_ = k.conn.SetDeadline(until)
	listeners, err := k.receiveListeners()
	var first protocol.HandoverMessage
	if err == nil {
		err = k.decoder.Decode(&first)
	}
	if err == nil && (first.Handover == nil || len(first.Handover.Fronts) != len(listeners)) {
		err = errors.New("the predecessor's first word is no handover")
	}
	if err != nil {
		conn.Close()
		for _, l := range listeners {
			l.Close()
		}
		return nil, nil, nil, err
	}
	_ = k.conn.SetDeadline(time.Time{})
	return k, first.Handover, listeners, nil
}

// receiveListeners takes the listeners, which come with one byte.
func (k *PeerProcess) receiveListeners() (listeners []*net.TCPListener, err error) {
	mark, control := make([]byte, 1), make([]byte, unix.CmsgSpace(4*maxListeners))
	_, n, _, _, err := k.conn.ReadMsgUnix(mark, control)
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
			f := os.NewFile(uintptr(fd), "listener")
			l, err := net.FileListener(f)
			f.Close()
			if tcp, ok := l.(*net.TCPListener); ok {
				listeners = append(listeners, tcp)
			} else if err == nil {
				l.Close()
			}
		}
	}
	return listeners, nil
}

// HandOver gives a successor the listeners, without a copy here, and what it begins with.
func (k *PeerProcess) HandOver(s *protocol.Handover, gates []*Listener) error {
	var fds []int
	var send func() error
	send = func() (err error) { // each descriptor is held while the next is asked for
		if len(fds) < len(gates) {
			raw, err := gates[len(fds)].SyscallConn()
			if err != nil {
				return err
			}
			var inner error
			err = raw.Control(func(fd uintptr) { fds = append(fds, int(fd)); inner = send() })
			return errors.Join(err, inner)
		}
		_, _, err = k.conn.WriteMsgUnix([]byte{'\n'}, syscall.UnixRights(fds...), nil)
		return err
	}
	_ = k.conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout))
	if err := send(); err != nil {
		return err
	}
	k.Notify(protocol.HandoverMessage{Handover: s})
	return nil
}

// Run reads and writes until the other process is gone. take gets all but answers.
func (k *PeerProcess) Run(take func(protocol.HandoverMessage)) {
	go k.writeMessages()
	for {
		var n protocol.HandoverMessage
		if err := k.decoder.Decode(&n); err != nil {
			break
		}
		if n.AnswerTo == 0 {
			take(n)
			continue
		}
		k.mu.Lock()
		answered := k.pendingQuestions[n.AnswerTo]
		delete(k.pendingQuestions, n.AnswerTo)
		k.mu.Unlock()
		if answered != nil {
			answered <- n.Yes // has room
		}
	}
	k.conn.Close()
	close(k.gone)
}

func (k *PeerProcess) writeMessages() {
	out := json.NewEncoder(k.conn)
	for {
		select {
		case <-k.gone:
			return
		case <-k.mailbox.Signal():
		}
		for _, n := range k.mailbox.Take() {
			_ = k.conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout))
			if err := out.Encode(n); err != nil {
				k.conn.Close() // ends Run
				return
			}
		}
	}
}

// Notify sends a note. It does not block.
func (k *PeerProcess) Notify(n protocol.HandoverMessage) { k.mailbox.Post(n) }

// Ask sends a question and gives the answer; heard tells whether one came until then.
func (k *PeerProcess) Ask(n protocol.HandoverMessage, until time.Time) (yes, heard bool) {
	answered := make(chan bool, 1)
	k.mu.Lock()
	k.lastQuestionID++
	n.QuestionID = k.lastQuestionID
	k.pendingQuestions[n.QuestionID] = answered
	k.mu.Unlock()
	k.Notify(n)
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case yes := <-answered:
		return yes, true
	case <-k.gone:
	case <-late.C:
		k.mu.Lock()
		delete(k.pendingQuestions, n.QuestionID)
		k.mu.Unlock()
	}
	return false, false
}

// Gone is closed when the other process has ended.
func (k *PeerProcess) Gone() <-chan struct{} { return k.gone }

// Close ends the connection.
func (k *PeerProcess) Close() { k.conn.Close() }

// Publish listens for a successor at a path in place of whoever did so before. The name changes hands in one step:
// at no time does a successor find nobody.
func Publish(path string) (*net.UnixListener, error) {
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	l, err := ListenPrivate(fresh)
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then it may be another's
	if err := os.Rename(fresh, path); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// ListenPrivate listens at a path for processes of the same user.
func ListenPrivate(path string) (*net.UnixListener, error) {
	_ = os.Remove(path) // of a dead process that had the same number
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// AcceptSuccessor waits for the next successor: a process of the same user.
func AcceptSuccessor(l *net.UnixListener, failed func(error)) (*PeerProcess, error) {
	for {
		conn, err := listen.Next(l.AcceptUnix, failed)
		if err != nil {
			return nil, err
		}
		var who *unix.Ucred
		if raw, err := conn.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { who, _ = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) })
		}
		if who != nil && int(who.Uid) == os.Getuid() {
			return newPeerProcess(conn), nil
		}
		conn.Close()
	}
}
