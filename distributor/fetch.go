package distributor

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/replicator"
)

const (
	// partTimeout bounds the time of a part, without the time that the peer waits for the value.
	partTimeout = 500 * time.Millisecond
	// parentWait is how long the parent may wait until it has the value itself, and otherWait how long
	// others may.
	parentWait = 400 * time.Millisecond
	otherWait  = 50 * time.Millisecond
	// randomSources is how many random hosts are asked last.
	randomSources = 2
	// maxFormChanges bounds how often a fetch starts anew at one host.
	maxFormChanges = 3
	// treeWidth is the number of hosts that fetch from one, besides those whose parent fails.
	treeWidth = 4
)

// ErrNotFound reports that no host that was asked has the value.
var ErrNotFound = errors.New("no peer has the value")

// source is a host to fetch from.
type source struct {
	address identifier.Address
	wait    time.Duration
}

// Fetch returns a value from the first host that has it, and keeps it. Base is a value that this host has,
// an earlier one of the same item; nil for none.
func (d *Distributor) Fetch(ctx context.Context, wanted replicator.Reference, base []byte) ([]byte, error) {
	began := time.Now()
	d.counters.fetches.Add(1)
	f := &fetch{distributor: d, wanted: wanted.Digest, base: base}
	if base != nil {
		f.baseDigest = identifier.DigestOf(base)
	}
	var failures []error
	for _, s := range d.sources(wanted.From) {
		value, err := f.from(ctx, s)
		if err == nil {
			d.counters.fetched.Add(1)
			d.keep(value, &f.assembly.form)
			d.deps.Log.Info("store-value-fetched",
				zap.Uint64("digest", uint64(wanted.Digest)), zap.String("from", string(s.address)),
				zap.Int("bytes", len(value)), zap.Int("encoded", f.received), zap.Duration("took", time.Since(began)))
			return value, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		failures = append(failures, err)
	}
	d.counters.failed.Add(1)
	return nil, errors.Join(append(failures, ErrNotFound)...)
}

// fetch is the state of a fetch across hosts.
type fetch struct {
	distributor *Distributor
	wanted      identifier.Digest
	base        []byte
	baseDigest  identifier.Digest
	assembly    assembly
	// received is how many bytes have arrived.
	received int
}

// from requests the parts that are missing from one host.
func (f *fetch) from(ctx context.Context, s source) ([]byte, error) {
	for changes := 0; changes <= maxFormChanges; {
		reply, err := f.requestPart(ctx, s)
		if err != nil {
			return nil, err
		}
		if !reply.Found {
			return nil, ErrNotFound
		}
		f.received += len(reply.Part)
		f.distributor.counters.receivedBytes.Add(uint64(len(reply.Part)))
		err = f.assembly.add(reply)
		switch {
		case errors.Is(err, errFormChanged):
			changes++ // from the start
			continue
		case err != nil:
			return nil, err
		case !f.assembly.complete():
			continue
		}
		value, err := f.assembly.value(f.wanted, f.baseDigest, f.base)
		if err != nil {
			f.assembly = assembly{}
		}
		return value, err
	}
	return nil, errFormChanged
}

func (f *fetch) requestPart(ctx context.Context, s source) (*peerwire.ValueReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.wait+partTimeout)
	defer cancel()
	request := &peerwire.ValueRequest{
		Digest: f.wanted,
		Base:   f.baseDigest,
		Offset: f.assembly.offset(),
		WaitMs: uint32(s.wait.Milliseconds()),
	}
	reply := &peerwire.ValueReply{}
	return reply, f.distributor.deps.Links.Call(ctx, s.address, peerwire.KindValue, request, reply)
}

// sources returns the hosts to fetch from, in order.
func (d *Distributor) sources(announcer identifier.Address) []source {
	view := d.deps.Members.View()
	self, _ := view.ByIncarnation(d.deps.Self)
	var all []source
	add := func(a identifier.Address, wait time.Duration) {
		known := slices.ContainsFunc(all, func(s source) bool { return s.address == a })
		if a != "" && a != self.Address && !known {
			all = append(all, source{address: a, wait: wait})
		}
	}
	tree := view.Owners(d.deps.DataCenter, d.deps.TreeKey, len(view.Live(d.deps.DataCenter)))
	rank := slices.IndexFunc(tree, func(m gossiper.Member) bool { return m.Incarnation == d.deps.Self })
	if rank > 0 {
		add(tree[parentOf(rank)].Address, parentWait)
	}
	add(announcer, otherWait)
	if len(tree) > 0 {
		add(tree[0].Address, otherWait)
	}
	for range randomSources {
		if m, ok := view.RandomPeer(d.deps.Self); ok {
			add(m.Address, 0)
		}
	}
	return all
}

// parentOf returns the rank of a host's parent in the tree.
func parentOf(rank int) int {
	return (rank - 1) / treeWidth
}
