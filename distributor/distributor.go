// Package distributor carries large values of the configuration store between hosts. A
// change of such a value is announced by its digest, so that it doesn't delay other
// changes, and each host fetches the value by the digest.
//
// # Usage
//
//	d := distributor.New(distributor.Deps{...})
//	d.Register(messenger)
//	d.Keep(value)                               // peers can fetch it now
//	value, err := d.Fetch(ctx, wanted, current) // of a digest that a peer has announced
//
// # How values travel
//
// A value is compressed, with a value that the requester has as its dictionary if the host
// knows that one too. A change of a few routes in a large configuration then takes some hundred bytes.
// Each encoded form is computed once for all requesters, and passed on as it came.
//
// Hosts request a value in parts, one after the other. So other messages aren't delayed by more than a part,
// nothing is sent that its requester has given up, and a fetch goes on at another host where it
// stopped. A request for a part has a time limit; the whole value has none.
//
// The hosts of a data center form a tree, whose root is the host that reads the store. Each host fetches from
// its parent, which waits for the value itself if need be, so that no host sends a value to more than a few
// others at a time. If the parent doesn't answer, the host that announced the value is asked, then the
// root and random ones.
package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

const (
	// partBytes is the size of the parts in which values are requested.
	partBytes = 16 << 10
	// maxWait bounds how long a peer's request waits for a value.
	maxWait = 2 * time.Second
)

// Links carries messages to other hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
}

// Handlers registers the handlers of messages.
type Handlers interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Members provides the current view of the fleet's hosts.
type Members interface {
	View() *gossiper.View
}

// Deps are the dependencies of a Distributor.
type Deps struct {
	Self       identifier.Incarnation
	DataCenter identifier.DataCenter
	// TreeKey orders the hosts of a data center; the first one is the root.
	TreeKey uint64
	Members Members
	Links   Links
	Log     *zap.Logger
}

// Distributor keeps the last large values for peers and fetches them from peers. It is safe
// for concurrent use.
type Distributor struct {
	deps     Deps
	counters counters

	mu    sync.Mutex
	cache cache
	// kept is closed and replaced when a value is kept.
	kept chan struct{}

	// encoding is held while a value is encoded, so that each form is computed once.
	encoding sync.Mutex
}

// New returns a Distributor that keeps no values.
func New(d Deps) *Distributor {
	return &Distributor{deps: d, kept: make(chan struct{})}
}

// Register registers the handler of peers' requests.
func (d *Distributor) Register(h Handlers) {
	h.Handle(peerwire.KindValue, d.handle)
}

// Keep keeps a value for peers, in place of the one that was kept longest ago.
func (d *Distributor) Keep(value []byte) {
	d.keep(value, nil)
}

// keep keeps a value, and the form in which it arrived, so that it needn't be encoded again; nil for none.
func (d *Distributor) keep(value []byte, f *form) {
	digest := identifier.DigestOf(value)
	d.mu.Lock()
	defer d.mu.Unlock()
	added := d.cache.put(digest, value)
	if f != nil && d.cache.form(digest, f.base) == nil {
		d.cache.putForm(digest, f)
	}
	if added {
		close(d.kept)
		d.kept = make(chan struct{})
	}
}

// handle answers a peer's request for a part of a value.
func (d *Distributor) handle(ctx context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var request peerwire.ValueRequest
	if _, err := request.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed request for a value: %w", err)
	}
	value := d.await(ctx, request.Digest, time.Duration(request.WaitMs)*time.Millisecond)
	if value == nil {
		return &peerwire.ValueReply{}, nil
	}
	form, err := d.encoded(request.Digest, value, request.Base)
	if err != nil {
		return nil, err
	}
	d.counters.sentParts.Add(1)
	return form.part(request.Offset), nil
}

// await returns a value that is kept, or will be within a time; otherwise nil.
func (d *Distributor) await(ctx context.Context, digest identifier.Digest, wait time.Duration) []byte {
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxWait))
	defer cancel()
	for {
		d.mu.Lock()
		value, kept := d.cache.value(digest), d.kept
		d.mu.Unlock()
		if value != nil {
			return value
		}
		select {
		case <-kept:
		case <-ctx.Done():
			return nil
		}
	}
}

// encoded returns the encoded form of a value for requesters that have the base.
func (d *Distributor) encoded(digest identifier.Digest, value []byte, base identifier.Digest) (*form, error) {
	d.encoding.Lock()
	defer d.encoding.Unlock()
	d.mu.Lock()
	dictionary := d.cache.value(base)
	if dictionary == nil {
		base = 0
	}
	f := d.cache.form(digest, base)
	d.mu.Unlock()
	if f != nil {
		return f, nil
	}
	began := time.Now()
	f, err := encode(value, base, dictionary)
	if err != nil {
		return nil, err
	}
	d.counters.encodings.Add(1)
	d.deps.Log.Info("store-value-encoded",
		zap.Uint64("digest", uint64(digest)), zap.Uint64("base", uint64(base)),
		zap.Int("bytes", len(value)), zap.Int("encoded", len(f.data)), zap.Duration("took", time.Since(began)))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cache.putForm(digest, f)
	return f, nil
}
