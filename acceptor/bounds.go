package acceptor

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jackdawthread/jackdawthread/budgeter"
)

const (
	// connectionBytes is what an open connection takes: its buffers and its goroutine's stack.
	connectionBytes = 20 << 10
	// gracePeriod is how long a connection may stay without a whole request before it can be
	// closed for another one.
	gracePeriod = time.Second
	// roomTimeout bounds the wait for a connection that was asked to end, and
	// roomPollPeriod is the time between two checks.
	roomTimeout    = 50 * time.Millisecond
	roomPollPeriod = time.Millisecond
	// lingerTimeout and lingerBytes bound the reading after a refusal. Without it, what the
	// caller still sends would reset the connection before it has the refusal.
	lingerTimeout = 100 * time.Millisecond
	lingerBytes   = 256 << 10
)

const (
	// unreadAnswer and headTooLargeAnswer refuse requests that weren't read.
	unreadAnswer       = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// refusal returns the answer to a caller whose request isn't read to its end; empty if
// there is no request.
func (c *Connection) refusal(r Reason) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase != phaseHeader:
		return ""
	case r == ReasonHeader:
		return headerTimeoutAnswer
	case r == ReasonHeadTooLarge:
		return headTooLargeAnswer
	default:
		return unreadAnswer
	}
}

// Bounds limit what the connections may take together. The zero value sets no limit.
type Bounds struct {
	// Memory accounts for connections and heads; nil if nothing does.
	Memory *budgeter.Budgeter
	// Connections is the largest number of open connections; 0 means no limit.
	Connections int
	// HeadBytes is the largest size of a request's header; 0 means no limit.
	HeadBytes int64
}

// Bound sets the bounds. It must be called before Accept. Connections of HTTP/2 are
// bounded in number only.
func (a *Acceptor) Bound(b Bounds) {
	if b.Memory == nil {
		b.Memory = a.bounds.Memory
	}
	a.bounds = b
}

// admit returns the connection, or nil if there is no room for it.
func (a *Acceptor) admit(raw net.Conn) *Connection {
	end := time.Now().Add(roomTimeout)
	for {
		now := time.Now()
		if a.hasRoom() {
			c := a.add(raw, now)
			if c.own.Take(connectionBytes, now) == nil {
				c.own.Await(now, c.endForRoom)
				return c
			}
			a.remove(c)
		}
		if !a.askOneToEnd(now) || now.After(end) {
			a.refuse(raw, now)
			return nil
		}
		time.Sleep(roomPollPeriod)
	}
}

// hasRoom reports whether another connection may be open.
func (a *Acceptor) hasRoom() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bounds.Connections <= 0 || len(a.open) < a.bounds.Connections
}

// askOneToEnd asks a connection without a whole request to end, unless one is about to
// end already. It returns false if there is none.
func (a *Acceptor) askOneToEnd(now time.Time) bool {
	var chosen *Connection
	var best idleness
	for _, c := range a.connections() {
		switch i := c.idleness(now); {
		case i.ending:
			return true
		case i.waits && (chosen == nil || best.before(i)):
			chosen, best = c, i
		}
	}
	return chosen != nil && chosen.ask(ReasonCrowded)
}

// idleness is why a connection may be closed for another one.
type idleness struct {
	// ending is set if the connection was asked to end for another one.
	ending bool
	// waits is set if the connection has no whole request.
	waits bool
	// fresh is set if the connection has never had a whole request.
	fresh bool
	since time.Time
}

// before reports whether j's connection is closed before that of i: one that never had a
// request first, then the one that has had none for the longest time.
func (i idleness) before(j idleness) bool {
	if i.fresh != j.fresh {
		return j.fresh
	}
	return j.since.Before(i.since)
}

func (c *Connection) idleness(now time.Time) idleness {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHTTP2.Load() || c.closed || c.phase == phaseServing {
		return idleness{}
	}
	return idleness{
		ending: c.asked == ReasonCrowded,
		waits:  c.asked == "" && now.Sub(c.since) >= gracePeriod,
		fresh:  !c.served,
		since:  c.since,
	}
}

// ask asks a connection without a whole request to end. It returns false if it has one.
func (c *Connection) ask(r Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHTTP2.Load() || c.closed || c.phase == phaseServing {
		return false
	}
	c.asked = r
	_ = c.Conn.SetReadDeadline(expired) // fails only if the connection is closed
	return true
}

// endForRoom asks the connection to end, as its memory is needed.
func (c *Connection) endForRoom() {
	c.ask(ReasonCrowded)
}

// refuse answers a connection for which there is no room, without reading from it.
func (a *Acceptor) refuse(raw net.Conn, now time.Time) {
	a.observe(&Closing{Reason: ReasonRefused, Remote: raw.RemoteAddr().String()})
	_ = raw.SetWriteDeadline(now.Add(refusalTimeout))
	_, _ = io.WriteString(raw, unreadAnswer) // the caller may be gone
	_ = raw.Close()                          // as above
}

// accountHead accounts for b, which was read. It returns why the connection has to end,
// or nil.
func (c *Connection) accountHead(b []byte, now time.Time) *Closing {
	more, whole, tooLarge := c.scanHead(b)
	switch {
	case tooLarge:
		return c.closeFor(ReasonHeadTooLarge, now)
	case more == 0:
		return nil
	case c.head.Take(more, now) != nil:
		return c.closeFor(ReasonMemory, now)
	}
	c.taken += more
	if whole {
		return nil
	}
	if !c.receiving {
		c.receiving = true
		c.head.Await(now, func() { c.ask(ReasonMemory) })
	}
	c.head.Progress(int64(len(b)), now)
	return nil
}

// scanHead returns what the head takes in addition now that b was read, and whether it is
// whole, or too large.
func (c *Connection) scanHead(b []byte) (more int64, whole, tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseHeader || c.isHTTP2.Load() {
		return 0, false, false
	}
	before := c.scanner.cost()
	c.scanner.scan(b)
	limit := c.acceptor.bounds.HeadBytes
	return c.scanner.cost() - before, c.scanner.done, limit > 0 && c.scanner.bytes > limit
}

// closeFor marks the connection as closed for a reason that has no time limit.
func (c *Connection) closeFor(r Reason, now time.Time) *Closing {
	c.mu.Lock()
	defer c.mu.Unlock()
	closing := c.close(r, now)
	closing.Limit = 0
	return closing
}

// settleHead accounts for the whole head of a request, a part of which may have been read
// together with the request before it. It returns false if there is no room.
func (c *Connection) settleHead(r *http.Request, now time.Time) bool {
	if c.isHTTP2.Load() {
		return true
	}
	lines, size := 1, len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	more := headCost(int64(lines), int64(size)) - c.taken
	if more <= 0 {
		return true
	}
	if c.head.Take(more, now) != nil {
		return false
	}
	c.taken += more
	return true
}

// keepHead records that the head has arrived.
func (c *Connection) keepHead() {
	if c.receiving {
		c.receiving = false
		c.head.Keep()
	}
}

// releaseHead records that the head's request has ended.
func (c *Connection) releaseHead() {
	if c.taken > 0 {
		c.taken = 0
		c.head.Release()
	}
}

// linger reads what a refused caller still sends, for a short time.
func (c *Connection) linger() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the caller may be gone
}
