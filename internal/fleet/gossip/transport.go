package gossip

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"brassdale/internal/traffic"
)

const (
	maxPacketBytes   = 64 << 10
	maxQueuedPackets = 256 // received, not yet read by memberlist; further ones are dropped, like packets that a network loses
	streamProtocol   = "brassdale-members"
	streamBufferSize = 256 // bytes; enough for the response to an upgrade
)

// transport carries memberlist's packets over UDP at the dispatcher's address, and its streams through the HTTP server that
// listens at the same address over TCP, so that a dispatcher needs only one address. memberlist calls its methods from several
// goroutines. Shutdown ends the goroutine of readPackets.
type transport struct {
	conn      net.PacketConn
	ip        net.IP
	port      int
	resolve   func(address string) string
	meter     *traffic.Meter
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
	readers   sync.WaitGroup
}

var _ memberlist.Transport = (*transport)(nil)

func newTransport(address string, resolve func(string) string, meter *traffic.Meter) (*transport, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, err
	}
	created := &transport{
		conn:    meter.Packets(conn, traffic.MemberlistKind),
		ip:      udpAddress.IP,
		port:    udpAddress.Port,
		resolve: resolve,
		meter:   meter,
		packets: make(chan *memberlist.Packet, maxQueuedPackets),
		streams: make(chan net.Conn),
		done:    make(chan struct{}),
	}
	created.readers.Go(created.readPackets)
	return created, nil
}

// readPackets reads packets until the transport is shut down. It ignores other errors: they belong to a packet that was sent,
// for example to an address at which nobody listens.
func (t *transport) readPackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		length, from, err := t.conn.ReadFrom(buffer)
		if err != nil {
			select {
			case <-t.done:
				return
			default:
				continue
			}
		}
		content := append([]byte(nil), buffer[:length]...)
		packet := &memberlist.Packet{Buf: content, From: from, Timestamp: time.Now()}
		select {
		case t.packets <- packet:
		default:
		}
	}
}

// FinalAdvertiseAddr returns the dispatcher's address.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) { return t.ip, t.port, nil }

// WriteTo sends a packet, and returns the time at which it was sent.
func (t *transport) WriteTo(packet []byte, address string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", t.resolve(address))
	if err == nil {
		_, err = t.conn.WriteTo(packet, to)
	}
	return time.Now(), err
}

// PacketCh returns the channel of received packets.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the channel of streams that other members opened.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout opens a stream to another member: an upgraded connection to its HTTP server.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	deadline := time.Now().Add(timeout)
	dialer := &net.Dialer{Deadline: deadline}
	conn, err := dialer.Dial("tcp", t.resolve(address))
	if err != nil {
		return nil, err
	}
	conn = t.meter.Conn(conn, traffic.Gossip)
	t.meter.Message(traffic.Gossip)
	_ = conn.SetDeadline(deadline) // if this fails, writing to the connection fails, too
	stream, err := upgrade(conn, address)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	_ = conn.SetDeadline(time.Time{})
	return stream, nil
}

// upgrade asks the HTTP server at the other end to upgrade the connection to a stream.
func upgrade(conn net.Conn, address string) (net.Conn, error) {
	_, err := fmt.Fprintf(conn, "GET /members/stream HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", address, streamProtocol)
	if err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, streamBufferSize)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, fmt.Errorf("%s answered %s", address, response.Status)
	}
	return &bufferedConn{conn, reader}, nil
}

// bufferedConn is a connection from which the first bytes may already be in a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads from the buffer first.
func (c *bufferedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// ServeHTTP accepts a stream that another member opens, and waits until memberlist receives it from StreamCh.
func (t *transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != streamProtocol {
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", streamProtocol)
	if err != nil {
		_ = conn.Close() // the other end is gone
		return
	}
	_ = conn.SetDeadline(time.Time{})
	select {
	case t.streams <- &bufferedConn{conn, buffered.Reader}:
	case <-t.done:
		_ = conn.Close() // this member is shutting down
	}
}

// Shutdown closes the UDP socket and waits for the goroutine that reads from it.
func (t *transport) Shutdown() error {
	t.closeOnce.Do(func() {
		close(t.done)
		_ = t.conn.Close() // the socket is not used any more
	})
	t.readers.Wait()
	return nil
}

// splitAddress returns the host and the port of an address.
func splitAddress(address string) (host string, port int, err error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(portText)
	return host, port, err
}
