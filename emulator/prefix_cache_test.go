package emulator

import (
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/hasher"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

func TestPrefixCache(t *testing.T) {
	twoBlocks := promptOf(2 * hasher.BlockTokens)
	t.Run("a shared prefix is found, in its model only", func(t *testing.T) {
		is := is.New(t)
		c := newPrefixCache(4, func(identifier.BlockHash, bool) {})
		c.insert("m", twoBlocks+"tail")
		is.Equal(c.lookup("m", twoBlocks+"another tail"), uint32(128))
		is.Equal(c.lookup("m", twoBlocks[:300]), uint32(64))
		is.Equal(c.lookup("n", twoBlocks), uint32(0))
	})
	t.Run("least recently used blocks are evicted, the last of a prompt first", func(t *testing.T) {
		is := is.New(t)
		var evicted []identifier.BlockHash
		c := newPrefixCache(3, func(b identifier.BlockHash, gone bool) {
			if gone {
				evicted = append(evicted, b)
			}
		})
		c.insert("m", twoBlocks)
		c.insert("m", "x"+twoBlocks) // two more blocks
		is.Equal(evicted, hasher.Blocks(twoBlocks)[1:])
		is.Equal(c.lookup("m", twoBlocks), uint32(64))
	})
	t.Run("a prompt that is used again is not evicted", func(t *testing.T) {
		is := is.New(t)
		c := newPrefixCache(2, func(identifier.BlockHash, bool) {})
		one, other, third := twoBlocks[:hasher.BlockBytes], "y"+twoBlocks[:hasher.BlockBytes-1], "z"+twoBlocks[:hasher.BlockBytes-1]
		for _, prompt := range []string{one, other, one, third} {
			c.insert("m", prompt)
		}
		is.Equal(c.lookup("m", one), uint32(64))
		is.Equal(c.lookup("m", other), uint32(0))
	})
	t.Run("a disabled cache holds nothing", func(t *testing.T) {
		is := is.New(t)
		c := newPrefixCache(-1, nil)
		c.insert("m", twoBlocks)
		is.Equal(c.lookup("m", twoBlocks), uint32(0))
	})
	t.Run("cached tokens are not computed again", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			for sequence, want := range []uint32{0, 127} { // the last token is always computed
				r, err := b.Prefill(b.t.Context(), prefillRequest(uint64(sequence+1), twoBlocks, 10))
				b.is.NoErr(err)
				b.is.Equal(r.Msg.GetCachedTokens(), want)
			}
			b.is.Equal(b.Stats().PrefillTokens, uint64(128+1))
		})
	})
}

func TestCacheEvents(t *testing.T) {
	read := func(b *bubble, after uint64, wait time.Duration) []*enginewire.CacheEvent {
		r, err := b.CacheEvents(b.t.Context(), connect.NewRequest(&enginewire.CacheEventsRequest{After: after, WaitMs: uint32(wait.Milliseconds())}))
		b.is.NoErr(err)
		return r.Msg.GetEvents()
	}
	t.Run("are delayed", func(t *testing.T) {
		inBubble(t, EngineSettings{CacheEventLag: time.Second}, func(b *bubble) {
			_, err := b.prefill(b.t.Context(), 1, 2*hasher.BlockTokens, 0)
			b.is.NoErr(err)
			b.is.Equal(len(read(b, 0, 0)), 0)
			start := time.Now()
			b.is.Equal(len(read(b, 0, time.Minute)), 2)
			b.is.Equal(time.Since(start), time.Second)
			b.is.Equal(len(read(b, 1, 0)), 1)
			start = time.Now()
			b.is.Equal(len(read(b, 2, time.Minute)), 0)
			b.is.Equal(time.Since(start), time.Minute)
		})
	})
	t.Run("wake a waiting reader", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			start := time.Now()
			time.AfterFunc(time.Second, func() { b.events.add(7, true) })
			events := read(b, 0, time.Minute)
			b.is.Equal(time.Since(start), time.Second)
			b.is.Equal(events[0].GetBlock(), uint64(7))
			b.is.True(events[0].GetEvicted())
		})
	})
	t.Run("are partly lost", func(t *testing.T) {
		inBubble(t, EngineSettings{CacheEventLoss: 0.2, Seed: 1}, func(b *bubble) {
			for i := range identifier.BlockHash(1000) {
				b.events.add(i, false)
			}
			synctest.Wait()
			n := len(read(b, 0, 0))
			b.is.True(n > 700 && n < 900)
		})
	})
	t.Run("are bounded", func(t *testing.T) {
		is := is.New(t)
		l := newEventLog(EngineSettings{}, nil)
		for i := range identifier.BlockHash(3 * maxCacheEvents) {
			l.add(i, false)
		}
		found, _, _ := l.eventsAfter(0)
		is.True(len(found) <= maxCacheEvents)
		is.Equal(found[len(found)-1].GetSequence(), uint64(3*maxCacheEvents))
	})
}
