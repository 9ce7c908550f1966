package server

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/hasher"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/dispatcher"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
)

const (
	// maxRequestIDBytes is the maximum length of a request ID set by a caller.
	maxRequestIDBytes = 128
	// notReadyRetryAfter is about the time that a starting host takes to load
	// its declarations.
	notReadyRetryAfter = time.Second
)

func badRequest(format string, args ...any) error {
	return classifier.NotRun(classifier.ReasonBadRequest, 0, format, args...)
}

// lookUp returns the service, which must be of the kind k, and the customer.
func (s *Callers) lookUp(service, customer string, k compiler.Kind) (*compiler.Service, *compiler.Customer, error) {
	f := s.deps.Fleet()
	if f == nil {
		return nil, nil, classifier.NotRun(classifier.ReasonNotReady, classifier.Jitter(notReadyRetryAfter), "no declarations are loaded yet")
	}
	found, ok := f.Services[identifier.Service(service)]
	if !ok {
		return nil, nil, classifier.NotRun(classifier.ReasonUnknownService, 0, "service %q is not declared", service)
	}
	if found.Kind != k {
		return nil, nil, badRequest("service %q is of another kind: use Generate for model services and Call for plain services", service)
	}
	c := f.Customer(identifier.Customer(customer))
	if c == nil {
		return nil, nil, classifier.NotRun(classifier.ReasonUnknownCustomer, 0, "customer %q is not declared", customer)
	}
	return found, c, nil
}

func (s *Callers) checkGenerate(m *callerwire.GenerateRequest) (dispatcher.GenerateRequest, error) {
	var r dispatcher.GenerateRequest
	service, customer, err := s.lookUp(m.GetService(), m.GetCustomer(), compiler.KindModel)
	if err != nil {
		return r, err
	}
	id, err := requestID(m.GetRequestId())
	if err != nil {
		return r, err
	}
	if err := checkGenerateLimits(service, m); err != nil {
		return r, err
	}
	r = dispatcher.GenerateRequest{
		ID:             id,
		Resendable:     m.GetRequestId() != "",
		Service:        service,
		Customer:       customer,
		Prompt:         m.GetPrompt(),
		MaxTokens:      identifier.Tokens(m.GetMaxTokens()),
		Urgency:        urgency(m.GetUrgency(), service),
		ReceivedText:   m.GetReceivedText(),
		ReceivedTokens: identifier.Tokens(m.GetReceivedTokens()),
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = service.MaxOutputTokens
	}
	return r, nil
}

func checkGenerateLimits(service *compiler.Service, m *callerwire.GenerateRequest) error {
	if m.GetPrompt() == "" {
		return badRequest("prompt is empty")
	}
	if n := hasher.CountTokens(m.GetPrompt()); n > service.MaxPromptTokens {
		return classifier.NotRun(classifier.ReasonTooLarge, 0, "prompt has %d tokens; service %q accepts at most %d", n, service.Name, service.MaxPromptTokens)
	}
	if n := identifier.Tokens(m.GetMaxTokens()); n > service.MaxOutputTokens {
		return classifier.NotRun(classifier.ReasonTooLarge, 0, "max_tokens is %d; service %q generates at most %d", n, service.Name, service.MaxOutputTokens)
	}
	if (m.GetReceivedText() == "") != (m.GetReceivedTokens() == 0) {
		return badRequest("received_text and received_tokens must be set together: got %d bytes and %d tokens", len(m.GetReceivedText()), m.GetReceivedTokens())
	}
	if m.GetMaxTokens() != 0 && m.GetReceivedTokens() > m.GetMaxTokens() {
		return badRequest("received_tokens is %d, more than max_tokens %d", m.GetReceivedTokens(), m.GetMaxTokens())
	}
	return nil
}

func (s *Callers) checkCall(m *callerwire.CallRequest) (dispatcher.CallRequest, error) {
	var r dispatcher.CallRequest
	service, customer, err := s.lookUp(m.GetService(), m.GetCustomer(), compiler.KindPlain)
	if err != nil {
		return r, err
	}
	if service.Repeatable && m.GetTicket() != "" {
		return r, badRequest("service %q is repeatable and accepts no tickets", service.Name)
	}
	id, err := requestID(m.GetRequestId())
	if err != nil {
		return r, err
	}
	return dispatcher.CallRequest{
		ID:         id,
		Resendable: m.GetRequestId() != "",
		Service:    service,
		Customer:   customer,
		Payload:    m.GetPayload(),
		Key:        string(id),
	}, nil
}

func requestID(id string) (identifier.Request, error) {
	if id == "" {
		return identifier.NewRequest(), nil
	}
	if len(id) > maxRequestIDBytes {
		return "", badRequest("request_id has %d bytes; at most %d are allowed", len(id), maxRequestIDBytes)
	}
	return identifier.Request(id), nil
}

func urgency(u callerwire.Urgency, s *compiler.Service) compiler.Urgency {
	switch u {
	case callerwire.Urgency_URGENCY_URGENT:
		return compiler.UrgencyUrgent
	case callerwire.Urgency_URGENCY_PATIENT:
		return compiler.UrgencyPatient
	default:
		return s.Urgency
	}
}
