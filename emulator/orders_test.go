package emulator

import (
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

func TestLoadReportDelay(t *testing.T) {
	inBubble(t, EngineSettings{LoadLag: 250 * time.Millisecond}, func(b *bubble) {
		load := func() *enginewire.LoadResponse {
			r, err := b.Load(b.t.Context(), nil)
			b.is.NoErr(err)
			return r.Msg
		}
		b.advance(time.Second + time.Millisecond)
		b.prefillAndImport(1, 16)
		b.is.Equal(load().GetSlotsUsed(), uint32(0))
		b.advance(500 * time.Millisecond)
		b.is.Equal(load().GetSlotsUsed(), uint32(1))
		b.is.Equal(len(load().GetAttempts()), 1)
		b.is.True(load().GetAgeMs() >= 250)
		b.SetFaults(Faults{DropLoadReports: true})
		_, err := b.Load(b.t.Context(), nil)
		b.is.True(err != nil)
	})
}

func TestOrders(t *testing.T) {
	order := func(b *bubble, fence uint64, role string, models ...string) error {
		_, err := b.Order(b.t.Context(), connect.NewRequest(&enginewire.OrderRequest{Fence: fence, Role: role, Models: models}))
		return err
	}
	t.Run("an engine that checks fencing numbers refuses an outdated one", func(t *testing.T) {
		inBubble(t, EngineSettings{ChecksFence: true}, func(b *bubble) {
			b.is.NoErr(order(b, 5, "prefill"))
			b.is.Equal(RefusalOf(order(b, 4, "decode")), RefusalStaleFence)
			b.is.NoErr(order(b, 5, "prefill")) // the same order again
			b.is.Equal(b.role, compiler.RolePrefill)
			b.is.Equal(len(b.Stats().Orders), 3)
			b.is.True(b.Stats().Orders[1].Refused)
		})
	})
	t.Run("an engine that does not check fencing numbers accepts it", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			b.is.NoErr(order(b, 5, "prefill"))
			b.is.NoErr(order(b, 4, "decode"))
			b.is.Equal(b.role, compiler.RoleDecode)
			b.is.Equal(uint64(b.Stats().Fence), uint64(5))
		})
	})
	t.Run("a model takes time to load", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			b.is.NoErr(order(b, 1, "", "other", testModel))
			request := prefillRequest(1, "x", 1)
			request.Msg.Model = "other"
			_, err := b.Prefill(b.t.Context(), request)
			b.is.Equal(RefusalOf(err), RefusalUnknownModel)
			b.advance(b.settings.LoadTime + time.Millisecond)
			_, err = b.Prefill(b.t.Context(), request)
			b.is.NoErr(err)
			b.is.NoErr(order(b, 2, "", "other"))
			synctest.Wait()
			_, err = b.prefill(b.t.Context(), 2, 16, 0)
			b.is.Equal(RefusalOf(err), RefusalUnknownModel)
		})
	})
	t.Run("an unknown role is refused", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			b.is.Equal(connect.CodeOf(order(b, 1, "cook")), connect.CodeInvalidArgument)
		})
	})
}
