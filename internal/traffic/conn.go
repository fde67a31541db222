package traffic

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Conn is a connection whose bytes are counted. It carries messages of several kinds, one after the other. At the client's end Call sets
// the kind of the next message. At the server's end Handler sets it once the request's header is read.
type Conn struct {
	net.Conn
	meter      *Meter
	kind       atomic.Uint32 // of written bytes and, at the client's end, of read bytes
	serverSide bool          // the kind of read bytes is set later, by Handler
	unassigned atomic.Int64  // bytes that were read and are not counted yet; 0 at the client's end
}

// Conn returns a connection whose bytes are counted as a kind until another kind is set.
func (m *Meter) Conn(conn net.Conn, kind Kind) *Conn {
	counted := &Conn{Conn: conn, meter: m}
	counted.kind.Store(uint32(kind))
	return counted
}

// Read counts what it reads.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.serverSide {
		c.unassigned.Add(int64(n))
	} else {
		c.meter.Received(Kind(c.kind.Load()), n)
	}
	return n, err
}

// Write counts what it writes.
func (c *Conn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.meter.Sent(Kind(c.kind.Load()), n)
	return n, err
}

// Close counts the bytes read since the last request as the kind of that request.
func (c *Conn) Close() error {
	c.meter.Received(Kind(c.kind.Load()), int(c.unassigned.Swap(0)))
	return c.Conn.Close()
}

// assign counts the bytes read since the last call, and the bytes that follow, as a kind.
func (c *Conn) assign(kind Kind) {
	c.kind.Store(uint32(kind))
	c.meter.Received(kind, int(c.unassigned.Swap(0)))
}

// Dial returns a dial function whose connections are counted, as Other until Call sets another kind.
func (m *Meter) Dial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(conn, Other), nil
	}
}

// Call returns a context with which an HTTP client's call counts as a kind, on any of the meter's connections.
func (m *Meter) Call(ctx context.Context, kind Kind) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*Conn); ok {
				conn.kind.Store(uint32(kind))
			}
			m.Message(kind)
		},
	})
}

// Listen returns a listener whose connections are counted, by the kinds that Handler sets.
func (m *Meter) Listen(listener net.Listener) net.Listener { return countedListener{listener, m} }

type countedListener struct {
	net.Listener
	meter *Meter
}

// Accept returns a Conn.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := l.meter.Conn(conn, Other)
	counted.serverSide = true
	return counted, nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is the function for the field ConnContext of an http.Server whose handler was made by Handler.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Handler returns a handler that counts calls and their bytes as the kind that kindOf returns for the request.
func (m *Meter) Handler(next http.Handler, kindOf func(*http.Request) Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := kindOf(r)
		m.Message(kind)
		if conn, ok := r.Context().Value(connKey{}).(*Conn); ok {
			conn.assign(kind)
			defer conn.assign(kind) // counts the body, which was read after the header; the end of the response is written later
		}
		next.ServeHTTP(w, r)
	})
}
