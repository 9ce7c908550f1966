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

// FetchWeights sends a model's weights at the store's rate, which all readers
// share. The blocks hold no real weights.
func (p *Platform) FetchWeights(ctx context.Context, r *connect.Request[platformwire.FetchWeightsRequest], s *connect.ServerStream[platformwire.FetchWeightsResponse]) error {
	if err := p.begin(&p.fetches); err != nil {
		return err
	}
	if r.Msg.GetModel() == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("model is empty"))
	}
	block := make([]byte, weightBlockBytes)
	for left := p.settings.WeightBytes; left > 0; left -= weightBlockBytes {
		n := min(left, weightBlockBytes)
		if err := p.weights.WaitN(ctx, n); err != nil {
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

// NewWeightSource gives the weights of the store at an address.
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
	defer func() { _ = s.Close() }() // the stream has its error already
	for s.Receive() {
		_ = s.Msg() // the weights have no use here
	}
	return s.Err()
}
