package gossiper

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// Buckets of a comparison: about bucketItems items to each.
const (
	bucketItems = 8
	minBuckets  = 4
	maxBuckets  = 1024
)

// hurrySync makes comparisons frequent for a while, when much may have been
// missed.
func (m *Machine) hurrySync() {
	m.syncPeriod = min(m.options.Period, m.options.Sync)
	m.nextSync = m.now.Add(m.spread(m.syncPeriod))
}

// sync compares what is known with a random peer's knowledge. Bridges take
// turns between their own data center and the others.
func (m *Machine) sync() {
	var near, far []*record
	for _, r := range m.order {
		switch {
		case r == m.self || r.dead():
		case r.DataCenter == m.self.DataCenter:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	if cross := m.topology.cross; len(cross) > 0 && m.random.IntN(2) == 0 {
		near = cross
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) > 0 {
		m.requestSync(near[m.random.IntN(len(near))].Address)
	}
}

func (m *Machine) requestSync(to identifier.Address) {
	n := peerwire.News{}
	if !m.superseded() {
		addUpdate(&n, m.self, allParts)
	}
	m.act(SendSync{To: to, Request: &peerwire.SyncRequest{Buckets: m.bucketHashes(m.bucketCount()), News: n}})
}

func (m *Machine) bucketCount() int {
	n := (len(m.order) + len(m.marks)) / bucketItems
	return min(max(1<<bits.Len(uint(n)), minBuckets), maxBuckets)
}

// bucketHashes hashes what has to be equal at all hosts. Dead members, which
// hosts forget at different times, and digests don't count, nor in a large
// fleet revisions.
func (m *Machine) bucketHashes(count int) []uint64 {
	hashes := make([]uint64, count)
	for _, r := range m.order {
		if !r.dead() {
			hashes[bucketOf(string(r.Host), count)] += recordHash(r, m.smallFleet())
		}
	}
	for e, k := range m.marks {
		hashes[bucketOf(string(e), count)] += markHash(e, k)
	}
	return hashes
}

func bucketOf(name string, count int) uint32 {
	return uint32(xxhash.Sum64String(name) % uint64(count))
}

func recordHash(r *record, withVersion bool) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, r.Host...)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.Incarnation))
	b = binary.LittleEndian.AppendUint64(b, r.Started)
	b = binary.LittleEndian.AppendUint32(b, r.Refutation)
	if withVersion {
		b = binary.LittleEndian.AppendUint64(b, r.Version)
	}
	b = append(b, r.State, r.Readiness)
	return xxhash.Sum64(b)
}

func markHash(e identifier.Endpoint, k Mark) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, e...)
	b = binary.LittleEndian.AppendUint64(b, uint64(k.Revision))
	if k.Leaving {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

func (m *Machine) syncArrived(e SyncArrived) {
	m.hear(e.From)
	m.merge(&e.Request.News)
	count := len(e.Request.Buckets)
	reply := &peerwire.SyncReply{Buckets: uint32(count)}
	if count > 0 && count <= maxBuckets {
		reply.Differing = differing(m.bucketHashes(count), e.Request.Buckets)
		reply.News = *m.inBuckets(reply.Differing, count)
	}
	m.tellAbout(e.From, &reply.News)
	reply.News.From = m.self.Incarnation
	m.act(ReplySync{Reply: reply})
}

func differing(own, other []uint64) []uint32 {
	var d []uint32
	for i := range own {
		if own[i] != other[i] {
			d = append(d, uint32(i))
		}
	}
	return d
}

// inBuckets gives all that is known in the buckets.
func (m *Machine) inBuckets(buckets []uint32, count int) *peerwire.News {
	wanted := make([]bool, count)
	for _, b := range buckets {
		if int(b) < count {
			wanted[b] = true
		}
	}
	n := &peerwire.News{}
	for _, r := range m.order {
		if wanted[bucketOf(string(r.Host), count)] {
			n.Updates = append(n.Updates, r.update(allParts))
		}
	}
	for e := range m.marks {
		if wanted[bucketOf(string(e), count)] {
			n.Marks = append(n.Marks, m.wireMark(e))
		}
	}
	return n
}

// syncAnswered takes in what the peer knows and sends what it lacks.
func (m *Machine) syncAnswered(e SyncAnswered) {
	reply := e.Reply
	own := m.inBuckets(reply.Differing, int(min(reply.Buckets, maxBuckets)))
	m.hear(reply.News.From)
	m.merge(&reply.News)
	if len(own.Updates) > 0 || len(own.Marks) > 0 {
		m.act(SendNews{To: e.From, News: own})
	}
}
