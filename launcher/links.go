package launcher

import (
	"crypto/tls"
	"time"

	"github.com/jackdawthread/jackdawthread/certifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
)

// certificateReloadPeriod is the interval between checks of the TLS files for
// changes.
const certificateReloadPeriod = time.Minute

// buildLinks creates the components that communicate with peers.
func (h *Host) buildLinks(o Options) error {
	tlsConfig, err := h.peerTLS()
	if err != nil {
		return err
	}
	self := messenger.Peer{Host: h.settings.Host, Incarnation: h.incarnation, DataCenter: h.settings.DataCenter}
	h.messenger = messenger.New(self, messenger.Options{
		Firm:          h.settings.Firm,
		MaxFrameBytes: int(h.settings.Limits.MaxFrameBytes),
		MaxHandlers:   h.settings.Limits.MaxRequests,
		Dial:          o.DialPeer,
		TLS:           tlsConfig,
		Logger:        h.log,
	}, h.group)
	h.gossiper = gossiper.New(gossiper.Member{
		Host:        h.settings.Host,
		Incarnation: h.incarnation,
		DataCenter:  h.settings.DataCenter,
		Address:     h.addresses.Peers,
	}, gossiper.Options{
		ProbePeriod:      h.settings.Periods.Probe,
		ProbeTimeout:     h.settings.Periods.ProbeTimeout,
		SuspicionTimeout: h.settings.Periods.Suspicion,
		Logger:           h.log,
	}, h.messenger, h.timer, h.group)
	h.gossiper.Seed(h.settings.Seeds)
	h.meter.Gauge("links", func() any { return h.messenger.Stats() })
	h.meter.Gauge("membership", func() any { return h.gossiper.Stats() })
	return nil
}

// peerTLS returns the TLS configuration for peer connections, or nil if the
// settings name no files. The files are reloaded when they change.
func (h *Host) peerTLS() (*tls.Config, error) {
	files := h.settings.TLS
	if !files.Enabled() {
		return nil, nil
	}
	store, err := certifier.Open(certifier.Files{
		Certificate: files.Certificate,
		Key:         files.Key,
		Authorities: files.Authority,
	}, h.log)
	if err != nil {
		return nil, err
	}
	store.Watch(h.timer, certificateReloadPeriod)
	return store.PeerConfig(), nil
}
