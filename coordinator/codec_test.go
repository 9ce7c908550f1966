package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

func TestAskRoundTrip(t *testing.T) {
	is := is.New(t)
	a := allocator.SlotRequest{
		Attempt:      identifier.Attempt{Incarnation: 3, Sequence: 4},
		Urgency:      compiler.UrgencyUrgent,
		Firm:         "tamsui",
		PromptTokens: 400,
		MaxTokens:    100,
		Blocks:       []identifier.BlockHash{1, 2},
		TimeLeft:     time.Second,
		Exclude:      []identifier.Endpoint{"desk-1"},
		Resumes:      true,
	}
	sent := encodeRequest(Key{Service: "dealer-desk", DataCenter: "tw-north-1"}, a)
	raw, err := sent.MarshalMsg(nil)
	is.NoErr(err)
	var got peerwire.AllocationRequest
	_, err = got.UnmarshalMsg(raw)
	is.NoErr(err)
	is.Equal(decodeRequest(&got), a)
}
