package messenger

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

func (m *Messenger) hello() *peerwire.Hello {
	return &peerwire.Hello{
		Version:     peerwire.ProtocolVersion,
		Firm:        m.options.Firm,
		Host:        m.self.Host,
		Incarnation: m.self.Incarnation,
		DataCenter:  m.self.DataCenter,
	}
}

// clientHandshake exchanges hellos on a dialled connection.
func (m *Messenger) clientHandshake(conn net.Conn) (*connection, error) {
	_ = conn.SetDeadline(time.Now().Add(m.options.HelloTimeout))
	frames := newFrameReader(conn, &m.options)
	if err := m.writeFrame(conn, peerwire.FrameHello, m.hello()); err != nil {
		return nil, err
	}
	peer, err := m.readHello(conn, frames)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return newConnection(m, conn, frames, peer, true), nil
}

// maxHelloBytes limits the size of a peer's first frame.
const maxHelloBytes = 16 << 10

// serverHandshake exchanges hellos on an accepted connection. A rejected peer
// receives a failure frame with the reason.
func (m *Messenger) serverHandshake(conn net.Conn) (*connection, error) {
	_ = conn.SetDeadline(time.Now().Add(m.options.HelloTimeout))
	frames := newFrameReader(conn, &m.options)
	peer, err := m.readHello(conn, frames)
	if err != nil {
		_ = conn.SetWriteDeadline(time.Now().Add(m.options.HelloTimeout))
		_ = m.writeFrame(conn, peerwire.FrameFailure, encodeFailure(helloRejected(err)))
		return nil, err
	}
	if err := m.writeFrame(conn, peerwire.FrameHello, m.hello()); err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return newConnection(m, conn, frames, peer, false), nil
}

func helloRejected(err error) error {
	return classifier.NotRun(classifier.ReasonBadRequest, 0, "hello rejected: %w", err)
}

func (m *Messenger) writeFrame(conn net.Conn, t peerwire.FrameType, payload msgp.Marshaler) error {
	frame, err := AppendFrame(nil, &peerwire.Envelope{Type: t}, payload, m.options.MaxFrameBytes)
	if err != nil {
		return err
	}
	n, err := conn.Write(frame)
	m.counters.sentBytes.Add(uint64(n))
	return err
}

func (m *Messenger) readHello(conn net.Conn, frames *FrameReader) (Peer, error) {
	var e peerwire.Envelope
	limit := frames.maxBytes
	frames.maxBytes = min(limit, maxHelloBytes)
	payload, err := frames.Read(&e)
	frames.maxBytes = limit
	if err != nil {
		return Peer{}, err
	}
	if e.Type == peerwire.FrameFailure {
		failure, err := decodeFailure(payload)
		if err != nil {
			return Peer{}, err
		}
		return Peer{}, failure
	}
	if e.Type != peerwire.FrameHello {
		return Peer{}, fmt.Errorf("first frame is of type %d, not a hello", e.Type)
	}
	var h peerwire.Hello
	if _, err := h.UnmarshalMsg(payload); err != nil {
		return Peer{}, &MalformedError{Cause: err}
	}
	if err := m.checkHello(&h, conn); err != nil {
		return Peer{}, err
	}
	return Peer{Host: h.Host, Incarnation: h.Incarnation, DataCenter: h.DataCenter}, nil
}

func (m *Messenger) checkHello(h *peerwire.Hello, conn net.Conn) error {
	if h.Version < peerwire.MinProtocolVersion {
		return fmt.Errorf("protocol version %d is older than %d, the oldest that host %q supports",
			h.Version, peerwire.MinProtocolVersion, m.self.Host)
	}
	if h.Firm != m.options.Firm {
		return fmt.Errorf("host %q belongs to firm %q, not to %q", h.Host, h.Firm, m.options.Firm)
	}
	if h.Host == "" || h.Incarnation == 0 {
		return errors.New("hello lacks host or incarnation")
	}
	return checkCertificate(h, conn)
}

// checkCertificate verifies that the certificate of a TLS peer is valid for the
// host name in its hello.
func checkCertificate(h *peerwire.Hello, conn net.Conn) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	state := tlsConn.ConnectionState()
	if len(state.PeerCertificates) == 0 {
		return nil
	}
	if err := state.PeerCertificates[0].VerifyHostname(string(h.Host)); err != nil {
		return fmt.Errorf("host %q uses the certificate of another host: %w", h.Host, err)
	}
	return nil
}
