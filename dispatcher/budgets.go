package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/retrier"
)

// noDeadlineTimeLeft is the remaining time assumed for a request without a
// deadline.
const noDeadlineTimeLeft = 24 * time.Hour

// budgets holds the retry budget of each service. A service whose declared budget
// changes starts with a full one.
type budgets struct {
	byKey sync.Map // budgetKey -> *retrier.Budget
}

type budgetKey struct {
	service  identifier.Service
	declared compiler.RetryBudget
}

func (b *budgets) forService(s *compiler.Service) *retrier.Budget {
	k := budgetKey{service: s.Name, declared: s.Retry}
	if v, ok := b.byKey.Load(k); ok {
		return v.(*retrier.Budget)
	}
	v, _ := b.byKey.LoadOrStore(k, retrier.NewBudget(s.Retry))
	return v.(*retrier.Budget)
}

// retryState tracks the attempts of one request.
type retryState struct {
	budget   *retrier.Budget
	attempts int
	// verdict is the worst verdict of the failed attempts so far.
	verdict classifier.Verdict
}

func (b *budgets) newRetryState(s *compiler.Service) retryState {
	budget := b.forService(s)
	budget.RecordFirstAttempt()
	return retryState{budget: budget, verdict: classifier.VerdictNotRun}
}

// handleFailure records a failed attempt. If the request may be retried, it waits
// for the backoff and returns nil; otherwise it returns the request's final error.
// repeatable reports whether the request may be retried even if it may have run.
func (r *retryState) handleFailure(ctx context.Context, err error, repeatable bool) error {
	failure := classifier.Of(err)
	r.verdict = classifier.Worst(r.verdict, failure.Verdict)
	if ctx.Err() != nil {
		return contextError(ctx, r.verdict)
	}
	if !isEndpointFailure(failure) {
		return r.finalError(failure)
	}
	d := r.budget.Decide(retrier.Failure{
		Attempt:    r.attempts,
		Verdict:    failure.Verdict,
		Repeatable: repeatable,
		TimeLeft:   timeLeft(ctx),
		RetryAfter: failure.RetryAfter,
	}, rand.Float64())
	if !d.Retry {
		return r.finalError(failure)
	}
	if sleeper.Sleep(ctx, d.After) != nil {
		return contextError(ctx, r.verdict)
	}
	return nil
}

// recordSuccess refunds the retry token if the successful attempt was a retry.
func (r *retryState) recordSuccess() {
	if r.attempts > 1 {
		r.budget.RefundRetry()
	}
}

// finalError returns the failure with the worst verdict of all attempts.
func (r *retryState) finalError(f *classifier.Error) error {
	e := *f
	e.Verdict = r.verdict
	return &e
}

// isEndpointFailure reports whether the failure came from an endpoint, so that
// another endpoint may succeed.
func isEndpointFailure(f *classifier.Error) bool {
	return f.Reason == classifier.ReasonEndpointFailed || f.Reason == classifier.ReasonEndpointRefused
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return noDeadlineTimeLeft
	}
	return time.Until(deadline)
}
