package loader

import (
	"context"
	"strings"

	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// ClientCaller calls entry hosts with the Go client, which handles tickets and
// resumes broken streams on another host.
type ClientCaller struct {
	clients map[string]*client.Client // by customer
}

// NewClientCaller returns a caller for a mix. It creates one client per customer
// from the options, whose Customer field is overwritten.
func NewClientCaller(mix []Kind, o client.Options) (*ClientCaller, error) {
	c := &ClientCaller{clients: make(map[string]*client.Client)}
	for i := range mix {
		name := mix[i].Customer
		if c.clients[name] != nil {
			continue
		}
		o.Customer = identifier.Customer(name)
		customerClient, err := client.New(o)
		if err != nil {
			return nil, err
		}
		c.clients[name] = customerClient
	}
	return c, nil
}

// Do implements Caller.
func (c *ClientCaller) Do(ctx context.Context, call Call, observe func(tokens uint32)) (Answer, *Failure) {
	k := call.Kind
	cl := c.clients[k.Customer]
	if k.Plain {
		payload, err := cl.Call(ctx, client.CallRequest{
			Service:       identifier.Service(k.Service),
			Payload:       call.Payload,
			NonRepeatable: !k.Repeatable,
		})
		return Answer{Payload: payload}, clientFailure(err)
	}
	var text strings.Builder
	_, err := cl.Generate(ctx, client.Request{
		Service:   identifier.Service(k.Service),
		Prompt:    call.Prompt,
		MaxTokens: identifier.Tokens(call.MaxTokens),
		Urgency:   urgencyOf(k),
	}, func(chunk client.Chunk) error {
		observe(uint32(chunk.Tokens))
		text.WriteString(chunk.Text)
		return nil
	})
	return Answer{Text: text.String()}, clientFailure(err)
}

func clientFailure(err error) *Failure {
	f := classifier.Of(err)
	if f == nil {
		return nil
	}
	return &Failure{Verdict: f.Verdict.String(), Reason: string(f.Reason), RetryAfter: f.RetryAfter, Message: f.Error()}
}
