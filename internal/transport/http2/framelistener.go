package http2

import (
	"crypto/tls"
	"net"

	"brassdale/internal/transport"
)

// frameListener wraps each connection of a transport.Listener in a conn, which applies the limits to its frames.
type frameListener struct {
	*transport.Listener
	frontend *Frontend
}

// Listener returns the listener for the frontend's server.
func (f *Frontend) Listener() net.Listener { return frameListener{f.listener, f} }

// Accept implements net.Listener. It does not wait for a TLS handshake.
func (l frameListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	var config *tls.Config
	if credentials := l.frontend.current.Load().credentials; credentials != nil {
		config = credentials.config
	}
	c := newConn(l.frontend, accepted.(*transport.Conn), config)
	l.frontend.addConn(c)
	return c, nil
}

// addConn adds a connection. If clients are to use another connection, it sends a GOAWAY after net/http's first frame.
func (f *Frontend) addConn(c *conn) {
	f.mu.Lock()
	f.conns[c] = struct{}{}
	goingAway := f.goingAway
	f.mu.Unlock()
	if goingAway {
		c.outbound.insertFrame(goAwayFrame(maxStreamID, errCodeNoError, ""))
	}
}

func (f *Frontend) removeConn(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}
