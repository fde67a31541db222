package traffic

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Conn is a connection whose bytes are counted. It carries one message after the other; who knows what the next one is for
// says so.
type Conn struct {
	net.Conn
	meter  *Meter
	kind   atomic.Uint32 // of what is written, and of what is read where that is known before
	served bool          // bytes are read before anybody knows what they are for
	unread atomic.Int64  // read, and not named yet
}

// Of counts a connection's bytes as a kind until it is said otherwise.
func (m *Meter) Of(c net.Conn, k Kind) *Conn {
	counted := &Conn{Conn: c, meter: m}
	counted.kind.Store(uint32(k))
	return counted
}

func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.served {
		c.unread.Add(int64(n))
	} else {
		c.meter.Received(Kind(c.kind.Load()), n)
	}
	return n, err
}

func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Sent(Kind(c.kind.Load()), n)
	return n, err
}

// Close counts what was read and never named.
func (c *Conn) Close() error {
	c.meter.Received(Kind(c.kind.Load()), int(c.unread.Swap(0)))
	return c.Conn.Close()
}

// name has what was read since the last naming, and what follows, count as a kind.
func (c *Conn) name(k Kind) {
	c.kind.Store(uint32(k))
	c.meter.Received(k, int(c.unread.Swap(0)))
}

// Dial counts what a dialer's connections carry.
func (m *Meter) Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Of(c, Other), nil
	}
}

// Call has a client's call count as a kind, on whichever of the meter's connections it goes out.
func (m *Meter) Call(ctx context.Context, k Kind) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.kind.Store(uint32(k))
		}
		m.Message(k)
	}})
}

type listener struct {
	net.Listener
	meter *Meter
}

// Listen counts what a listener's connections carry, once a Handler names it.
func (m *Meter) Listen(l net.Listener) net.Listener { return listener{l, m} }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := l.meter.Of(c, Other)
	counted.served = true
	return counted, nil
}

type connKey struct{}

// Note is a server's ConnContext: its handler finds the connection by it.
func Note(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler names what a server's connections carry, by request, and counts the calls that are served.
func (m *Meter) Handler(next http.Handler, kind func(*http.Request) Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := kind(r)
		m.Message(k)
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			c.name(k)
			defer c.name(k) // the body came behind the head; the answer's last bytes go out behind this
		}
		next.ServeHTTP(w, r)
	})
}
