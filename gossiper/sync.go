package gossiper

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// A sync request hashes the known items into buckets of about bucketItems each.
const (
	bucketItems = 8
	minBuckets  = 4
	maxBuckets  = 1024
)

// accelerateSync resets the sync period to its minimum, from which it doubles.
// It is used when much news may have been missed.
func (m *Machine) accelerateSync() {
	m.syncPeriod = min(m.options.ProbePeriod, m.options.SyncPeriod)
	m.nextSync = m.now.Add(m.jitter(m.syncPeriod))
}

// sync starts an anti-entropy exchange with a random peer of the local data
// center, or of another one if there is none. Bridges choose a remote bridge
// half of the time.
func (m *Machine) sync() {
	var candidates, remote []*record
	for _, r := range m.order {
		switch {
		case r == m.self || r.dead():
		case r.DataCenter == m.self.DataCenter:
			candidates = append(candidates, r)
		default:
			remote = append(remote, r)
		}
	}
	if bridges := m.topology.remoteBridges; len(bridges) > 0 && m.random.IntN(2) == 0 {
		candidates = bridges
	}
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) > 0 {
		m.requestSync(candidates[m.random.IntN(len(candidates))].Address)
	}
}

func (m *Machine) requestSync(to identifier.Address) {
	n := peerwire.Gossip{}
	if !m.superseded() {
		addUpdate(&n, m.self, allParts)
	}
	m.emit(SendSync{To: to, Request: &peerwire.SyncRequest{Buckets: m.bucketHashes(m.bucketCount()), Gossip: n}})
}

func (m *Machine) bucketCount() int {
	n := (len(m.order) + len(m.marks)) / bucketItems
	return min(max(1<<bits.Len(uint(n)), minBuckets), maxBuckets)
}

// bucketHashes hashes the state that should be equal at all hosts. It leaves out
// dead members, which hosts remove at different times, and digests, and in a
// large fleet also versions, because revisions travel with digests there.
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
	m.recordContact(e.From)
	m.merge(&e.Request.Gossip)
	count := len(e.Request.Buckets)
	reply := &peerwire.SyncReply{Buckets: uint32(count)}
	if count > 0 && count <= maxBuckets {
		reply.Differing = differingBuckets(m.bucketHashes(count), e.Request.Buckets)
		reply.Gossip = *m.newsInBuckets(reply.Differing, count)
	}
	m.addStatusOf(e.From, &reply.Gossip)
	reply.Gossip.From = m.self.Incarnation
	m.emit(ReplySync{Reply: reply})
}

func differingBuckets(own, other []uint64) []uint32 {
	var d []uint32
	for i := range own {
		if own[i] != other[i] {
			d = append(d, uint32(i))
		}
	}
	return d
}

// newsInBuckets returns all records and marks in the given buckets.
func (m *Machine) newsInBuckets(buckets []uint32, count int) *peerwire.Gossip {
	wanted := make([]bool, count)
	for _, b := range buckets {
		if int(b) < count {
			wanted[b] = true
		}
	}
	n := &peerwire.Gossip{}
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

// syncAnswered merges the peer's items of the differing buckets and sends this
// host's items of the same buckets.
func (m *Machine) syncAnswered(e SyncAnswered) {
	reply := e.Reply
	own := m.newsInBuckets(reply.Differing, int(min(reply.Buckets, maxBuckets)))
	m.recordContact(reply.Gossip.From)
	m.merge(&reply.Gossip)
	if len(own.Updates) > 0 || len(own.Marks) > 0 {
		m.emit(SendGossip{To: e.From, Gossip: own})
	}
}
