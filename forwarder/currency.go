package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// Currency is how current a host's declarations are.
type Currency uint8

const (
	// CurrencyConfirmed declarations were confirmed by the store recently.
	CurrencyConfirmed Currency = iota
	// CurrencyArriving declarations are about to be replaced by later ones, of which the host has heard.
	CurrencyArriving
	// CurrencyUnconfirmed declarations haven't been confirmed by the store for long.
	CurrencyUnconfirmed
)

const (
	// maxDeclarationsWait bounds how long a request waits for declarations of which the host has
	// heard, and declarationsWaitShare is the part of the caller's timeout that it may take.
	maxDeclarationsWait   = 500 * time.Millisecond
	declarationsWaitShare = 0.25
	// declarationsPollPeriod is the time between two looks at the declarations.
	declarationsPollPeriod = 10 * time.Millisecond
	// outdatedRetryAfter is the Retry-After hint of a host whose declarations may be outdated.
	// Another host may have later ones.
	outdatedRetryAfter = 300 * time.Millisecond
)

// resolveCurrent resolves the request by the declarations or, if these don't allow it and later ones are
// arriving, by the later ones. It returns the declarations that it used. A host that may be outdated can't
// know that a route or a key doesn't exist, so that it refuses the request as not run.
func (e *exchange) resolveCurrent(d *registrar.Declarations, p RequestParameters) (*registrar.Declarations, error) {
	err := e.resolve(d, p.Key)
	if !isUnknown(err) {
		return d, err
	}
	if e.currency() == CurrencyArriving {
		later := e.awaitLater(d, p.Timeout)
		if later != d {
			return e.resolveLater(later, p.Key)
		}
	}
	return d, e.doubt(err)
}

func (e *exchange) resolveLater(d *registrar.Declarations, key authenticator.Key) (*registrar.Declarations, error) {
	return d, e.doubt(e.resolve(d, key))
}

// doubt returns the error of a request that the declarations don't allow, if they may be outdated.
func (e *exchange) doubt(err error) error {
	if !isUnknown(err) || e.currency() == CurrencyConfirmed {
		return err
	}
	return classifier.NotRun(classifier.ReasonNotReady, classifier.Jitter(outdatedRetryAfter),
		"declarations of this host may be outdated: %v", err) // not wrapped: its status is no answer
}

// isUnknown reports whether the declarations lack the request's route or key.
func isUnknown(err error) bool {
	s, ok := errors.AsType[*statusError](err)
	return ok && (s.status == http.StatusNotFound || s.status == http.StatusUnauthorized)
}

func (e *exchange) currency() Currency {
	if e.forwarder.deps.Currency == nil {
		return CurrencyConfirmed
	}
	return e.forwarder.deps.Currency()
}

// awaitLater waits for declarations after d, for a part of the caller's timeout. It returns d if there
// are none.
func (e *exchange) awaitLater(d *registrar.Declarations, timeout time.Duration) *registrar.Declarations {
	wait := maxDeclarationsWait
	if timeout > 0 {
		wait = min(wait, time.Duration(declarationsWaitShare*float64(timeout)))
	}
	ctx, cancel := context.WithTimeout(e.request.Context(), wait)
	defer cancel()
	for {
		later := e.forwarder.deps.Registry.Snapshot().Declarations
		if later != d || sleeper.Sleep(ctx, declarationsPollPeriod) != nil {
			return later
		}
	}
}
