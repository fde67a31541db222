package gossip

import (
	"bufio"
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
	mostPacket  = 64 << 10
	waitPackets = 256 // that came and were not taken yet; what comes beyond is lost
	upgrade     = "brassdale-members"
)

// transport carries memberlist's packets over UDP at the dispatcher's address, and its streams over the HTTP server that
// listens at the same address over TCP. So a fleet needs one address for each dispatcher.
type transport struct {
	conn    net.PacketConn
	ip      net.IP
	port    int
	reach   func(string) string
	meter   *traffic.Meter
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
	wait    sync.WaitGroup
}

var _ memberlist.Transport = (*transport)(nil)

func newTransport(address string, reach func(string) string, meter *traffic.Meter) (*transport, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, err
	}
	t := &transport{conn: meter.Packets(packets, traffic.OfMembers), meter: meter, ip: at.IP, port: at.Port, reach: reach, packets: make(chan *memberlist.Packet, waitPackets),
		streams: make(chan net.Conn), done: make(chan struct{})}
	t.wait.Go(t.read)
	return t, nil
}

func (t *transport) read() {
	buf := make([]byte, mostPacket)
	for {
		n, from, err := t.conn.ReadFrom(buf)
		if err != nil {
			select {
			case <-t.done:
				return
			default:
				continue // such as word that nobody listens where a packet went
			}
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: time.Now()}
		select {
		case t.packets <- p:
		default:
		}
	}
}

func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) { return t.ip, t.port, nil }

func (t *transport) WriteTo(b []byte, address string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", t.reach(address))
	if err == nil {
		_, err = t.conn.WriteTo(b, to)
	}
	return time.Now(), err
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

// DialTimeout is memberlist's name for it: the interface has a span where this program has deadlines.
func (t *transport) DialTimeout(address string, within time.Duration) (net.Conn, error) {
	by := time.Now().Add(within)
	to, err := (&net.Dialer{Deadline: by}).Dial("tcp", t.reach(address))
	if err != nil {
		return nil, err
	}
	c := t.meter.Of(to, traffic.Gossip)
	t.meter.Message(traffic.Gossip)
	_ = c.SetDeadline(by)
	_, err = fmt.Fprintf(c, "GET /members/stream HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", address, upgrade)
	in := bufio.NewReaderSize(c, 256)
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(in, nil); err == nil && resp.StatusCode != http.StatusSwitchingProtocols {
			err = fmt.Errorf("%s answered %s", address, resp.Status)
		}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return &readFirst{c, in}, nil
}

// readFirst is a connection of which something was read already.
type readFirst struct {
	net.Conn
	in *bufio.Reader
}

func (r *readFirst) Read(b []byte) (int, error) { return r.in.Read(b) }

// ServeHTTP takes a stream.
func (t *transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != upgrade {
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	}
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", upgrade); err != nil {
		c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	select {
	case t.streams <- &readFirst{c, rw.Reader}:
	case <-t.done:
		c.Close()
	}
}

func (t *transport) Shutdown() error {
	t.once.Do(func() {
		close(t.done)
		t.conn.Close()
	})
	t.wait.Wait()
	return nil
}

func splitAddress(address string) (string, int, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err := strconv.Atoi(text)
	return host, port, err
}
