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

// greet opens a dialled connection.
func (m *Messenger) greet(raw net.Conn) (*connection, error) {
	_ = raw.SetDeadline(time.Now().Add(m.options.HelloTimeout))
	frames := newFrameReader(raw, &m.options)
	if err := m.writeFrame(raw, peerwire.FrameHello, m.hello()); err != nil {
		return nil, err
	}
	peer, err := m.readHello(raw, frames)
	if err != nil {
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	return newConnection(m, raw, frames, peer, true), nil
}

// welcome opens an accepted connection; a peer that is refused hears why.
func (m *Messenger) welcome(raw net.Conn) (*connection, error) {
	_ = raw.SetDeadline(time.Now().Add(m.options.HelloTimeout))
	frames := newFrameReader(raw, &m.options)
	peer, err := m.readHello(raw, frames)
	if err != nil {
		_ = raw.SetWriteDeadline(time.Now().Add(m.options.HelloTimeout))
		_ = m.writeFrame(raw, peerwire.FrameFailure, encodeFailure(refusal(err)))
		return nil, err
	}
	if err := m.writeFrame(raw, peerwire.FrameHello, m.hello()); err != nil {
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	return newConnection(m, raw, frames, peer, false), nil
}

func refusal(err error) error {
	return classifier.NotRun(classifier.ReasonBadRequest, 0, "hello refused: %w", err)
}

func (m *Messenger) writeFrame(raw net.Conn, t peerwire.FrameType, payload msgp.Marshaler) error {
	frame, err := AppendFrame(nil, &peerwire.Envelope{Type: t}, payload, m.options.MaxFrameBytes)
	if err != nil {
		return err
	}
	n, err := raw.Write(frame)
	m.counters.sentBytes.Add(uint64(n))
	return err
}

func (m *Messenger) readHello(raw net.Conn, frames *FrameReader) (Peer, error) {
	var e peerwire.Envelope
	payload, err := frames.Read(&e)
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
	if err := m.checkHello(&h, raw); err != nil {
		return Peer{}, err
	}
	return Peer{Host: h.Host, Incarnation: h.Incarnation, DataCenter: h.DataCenter}, nil
}

func (m *Messenger) checkHello(h *peerwire.Hello, raw net.Conn) error {
	if h.Version < peerwire.MinProtocolVersion {
		return fmt.Errorf("protocol version %d is older than %d, the oldest that host %q works with",
			h.Version, peerwire.MinProtocolVersion, m.self.Host)
	}
	if h.Firm != m.options.Firm {
		return fmt.Errorf("host %q belongs to firm %q, not to %q", h.Host, h.Firm, m.options.Firm)
	}
	if h.Host == "" || h.Incarnation == 0 {
		return errors.New("hello lacks host or incarnation")
	}
	return checkCertificate(h, raw)
}

// checkCertificate makes sure that a peer with a certificate uses its own
// name.
func checkCertificate(h *peerwire.Hello, raw net.Conn) error {
	secured, ok := raw.(*tls.Conn)
	if !ok {
		return nil
	}
	state := secured.ConnectionState()
	if len(state.PeerCertificates) == 0 {
		return nil
	}
	if err := state.PeerCertificates[0].VerifyHostname(string(h.Host)); err != nil {
		return fmt.Errorf("host %q uses the certificate of another: %w", h.Host, err)
	}
	return nil
}
