package exchanger

import (
	"context"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/inspector"
	"github.com/jackdawthread/jackdawthread/common/socket"
)

// CloseIdle closes connections whose idle timeout has expired, and all
// connections to addresses for which keep returns false. A nil keep retains
// all addresses.
func (x *Exchanger) CloseIdle(now time.Time, keep func(identifier.Address) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for a, list := range x.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) && (keep == nil || keep(a)) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(x.idle, a)
			continue
		}
		x.idle[a] = kept
	}
}

// CloseAll closes all idle connections, for example after the process was
// suspended.
func (x *Exchanger) CloseAll() {
	x.CloseIdle(time.Now(), func(identifier.Address) bool { return false })
}

// connect returns a usable idle connection that hasn't carried the request's ID, or opens a
// new one. It also returns the number of idle connections that had carried the ID.
func (x *Exchanger) connect(ctx context.Context, a identifier.Address, r *Request) (c *connection, avoided int, err error) {
	now, id := time.Now(), hashID(r.ID)
	for !r.Fresh {
		c, avoided = x.popIdle(a, id)
		if c == nil {
			break
		}
		recentlyUsed := r.MaxIdle == 0 || now.Sub(c.idleSince) <= r.MaxIdle
		if recentlyUsed && now.Before(c.usableUntil) && socket.NothingToRead(c.conn) {
			c.bytesWritten = 0
			return c, avoided, nil
		}
		c.close()
	}
	x.updateStats(func(s *Stats) { s.AvoidedConnections += uint64(avoided) })
	c, err = x.open(ctx, a)
	return c, avoided, err
}

// open dials a new connection.
func (x *Exchanger) open(ctx context.Context, a identifier.Address) (*connection, error) {
	x.updateStats(func(s *Stats) { s.Dials++ })
	raw, err := x.dial(ctx, string(a))
	if err != nil {
		x.updateStats(func(s *Stats) { s.FailedDials++ })
		return nil, classifier.NotRun(classifier.ReasonHostUnreachable, 0, "failed to connect to %s: %w", a, err)
	}
	limit := &limitedReader{source: raw, left: unlimited}
	return &connection{number: x.nextNumber(), address: a, conn: raw, limit: limit, reader: inspector.NewReader(limit, readBufferBytes)}, nil
}

// nextNumber returns the number of a new connection.
func (x *Exchanger) nextNumber() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.opened++
	return x.opened
}

// Probe checks that address a is reachable by opening a connection, which is
// added to the pool.
func (x *Exchanger) Probe(ctx context.Context, a identifier.Address) error {
	c, err := x.open(ctx, a)
	if err != nil {
		return err
	}
	x.putIdle(c, x.options.IdleTimeout)
	return nil
}

// Idle returns the number of idle connections to address a that are open, which shows that the
// process there hasn't ended.
func (x *Exchanger) Idle(a identifier.Address) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	open := 0
	for _, c := range x.idle[a] {
		if socket.NothingToRead(c.conn) {
			open++
		}
	}
	return open
}

// popIdle removes and returns the most recently used idle connection to a that hasn't carried
// the ID, or nil. It also returns the number of more recently used ones.
func (x *Exchanger) popIdle(a identifier.Address, id idHash) (c *connection, avoided int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.idle[a]
	for n, c := range slices.Backward(list) {
		if c.ids.has(id) {
			avoided++
			continue
		}
		x.idle[a] = slices.Delete(list, n, n+1)
		x.stats.ReusedConnections++
		return c, avoided
	}
	return nil, avoided
}

// putIdle returns a connection to the pool, or closes it if the pool already
// holds MaxIdle connections to its address.
func (x *Exchanger) putIdle(c *connection, timeout time.Duration) {
	now := time.Now()
	c.idleSince = now
	c.usableUntil = now.Add(timeout)
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.idle[c.address]) >= x.options.MaxIdle {
		c.close()
		return
	}
	x.idle[c.address] = append(x.idle[c.address], c)
}
