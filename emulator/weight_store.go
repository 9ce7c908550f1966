package emulator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
	"github.com/jackdawthread/jackdawthread/wire/platformwire/platformwireconnect"
)

// weightBlockBytes is the size of one message of weights.
const weightBlockBytes = 64 << 10

// FetchWeights streams a model's weights at the rate of the store, which all
// readers share. The blocks contain zeros instead of real weights.
func (p *Platform) FetchWeights(ctx context.Context, r *connect.Request[platformwire.FetchWeightsRequest], s *connect.ServerStream[platformwire.FetchWeightsResponse]) error {
	if err := p.admitCall(&p.weightFetches); err != nil {
		return err
	}
	if r.Msg.GetModel() == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("model is empty"))
	}
	block := make([]byte, weightBlockBytes)
	for remaining := p.settings.WeightBytes; remaining > 0; remaining -= weightBlockBytes {
		n := min(remaining, weightBlockBytes)
		if err := p.weightLimiter.WaitN(ctx, n); err != nil {
			return err
		}
		if err := s.Send(&platformwire.FetchWeightsResponse{Block: block[:n]}); err != nil {
			return err
		}
	}
	return nil
}

// weightClient reads a weight store over its protocol.
type weightClient struct {
	store platformwireconnect.WeightStoreServiceClient
}

// NewWeightSource returns a client of the weight store at an address.
func NewWeightSource(client connect.HTTPClient, address identifier.Address) WeightSource {
	return &weightClient{platformwireconnect.NewWeightStoreServiceClient(client, "http://"+string(address))}
}

func (c *weightClient) Fetch(ctx context.Context, model identifier.Model, version string) error {
	s, err := c.store.FetchWeights(ctx, connect.NewRequest(&platformwire.FetchWeightsRequest{
		Model:   string(model),
		Version: version,
	}))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // errors are reported by s.Err
	for s.Receive() {
		_ = s.Msg() // the content is not needed
	}
	return s.Err()
}
