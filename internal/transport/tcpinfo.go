package transport

import (
	"time"

	"golang.org/x/sys/unix"
)

// The kernel's information about a client's connection. Each method costs a system call. If the call fails, the connection is closed
// already, which its reader notices, so the error is ignored and the information counts as not available.

// hasUnreadBytes reports whether bytes were received on the connection that its reader has not given to net/http.
func (c *Conn) hasUnreadBytes() bool {
	return c.pendingBytes.Load() > 0 || c.unreadCount() > 0
}

// unreadCount returns how many received bytes the connection's reader has not read from the socket.
func (c *Conn) unreadCount() (unread int) {
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return unread
}

// peekUnread copies received bytes that the connection's reader has not read from the socket, as many as fit, and returns how many.
func (c *Conn) peekUnread(buffer []byte) (n int) {
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { n, _, _ = unix.Recvfrom(int(fd), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT) })
	}
	return max(n, 0)
}

// maxTrustedAge is the longest time since an event that is trusted; a longer one counts as not known.
const maxTrustedAge = 5 * time.Second

// sinceLastReceive returns how long ago the kernel received the last bytes on the connection, 0 if it is not known.
func (c *Conn) sinceLastReceive() time.Duration { return trustedAge(c.tcpInfo().Last_data_recv) }

// age returns how long ago the client connected, 0 if it is not known. It may be called only before anything is written on the connection:
// until then the kernel counts the time since the last send from when the connection was established.
func (c *Conn) age() time.Duration { return trustedAge(c.tcpInfo().Last_data_sent) }

// trustedAge returns an age that the kernel states in milliseconds, 0 if it is above maxTrustedAge.
func trustedAge(milliseconds uint32) time.Duration {
	age := time.Duration(milliseconds) * time.Millisecond
	if age > maxTrustedAge {
		return 0
	}
	return age
}

// clientHasLeft reports whether the client has shut its side or the connection has broken, even if bytes are unread.
func (c *Conn) clientHasLeft() bool {
	if c.clientGone.Load() {
		return true
	}
	switch c.tcpInfo().State {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSE:
		return true
	}
	return false
}

// tcpInfo returns the kernel's state of the connection, the zero value if it is not available.
func (c *Conn) tcpInfo() (info unix.TCPInfo) {
	raw, err := c.SyscallConn()
	if err != nil {
		return info
	}
	_ = raw.Control(func(fd uintptr) {
		if current, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = *current
		}
	})
	return info
}
