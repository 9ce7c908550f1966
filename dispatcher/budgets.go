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

// unlimited is the time left of a request without a deadline.
const unlimited = 24 * time.Hour

// budgets keeps the retry budget of each service. A service whose declared
// budget changes starts with a full one.
type budgets struct {
	all sync.Map // budgetKey -> *retrier.Budget
}

type budgetKey struct {
	service  identifier.Service
	declared compiler.RetryBudget
}

func (b *budgets) of(s *compiler.Service) *retrier.Budget {
	k := budgetKey{service: s.Name, declared: s.Retry}
	if v, ok := b.all.Load(k); ok {
		return v.(*retrier.Budget)
	}
	v, _ := b.all.LoadOrStore(k, retrier.NewBudget(s.Retry))
	return v.(*retrier.Budget)
}

// tally counts the attempts of one request.
type tally struct {
	budget   *retrier.Budget
	attempts int
	// verdict is the worst of the failed attempts so far.
	verdict classifier.Verdict
}

func (b *budgets) tally(s *compiler.Service) tally {
	budget := b.of(s)
	budget.First()
	return tally{budget: budget, verdict: classifier.VerdictNotRun}
}

// failed notes a failed attempt and waits if another one is to follow. It
// gives the request's final error if none is. repeatable tells whether the
// request may be tried again even though it may have run.
func (t *tally) failed(ctx context.Context, err error, repeatable bool) error {
	failure := classifier.Of(err)
	t.verdict = classifier.Worst(t.verdict, failure.Verdict)
	if ctx.Err() != nil {
		return contextError(ctx, t.verdict)
	}
	if !isEndpointFailure(failure) {
		return t.final(failure)
	}
	d := t.budget.Decide(retrier.Failure{
		Attempt:    t.attempts,
		Verdict:    failure.Verdict,
		Repeatable: repeatable,
		Left:       timeLeft(ctx),
		RetryAfter: failure.RetryAfter,
	}, rand.Float64())
	if !d.Retry {
		return t.final(failure)
	}
	if sleeper.Sleep(ctx, d.After) != nil {
		return contextError(ctx, t.verdict)
	}
	return nil
}

// succeeded gives a successful retry's token back.
func (t *tally) succeeded() {
	if t.attempts > 1 {
		t.budget.Succeeded()
	}
}

// final gives the failure with the verdict of all attempts.
func (t *tally) final(f *classifier.Error) error {
	e := *f
	e.Verdict = t.verdict
	return &e
}

// isEndpointFailure tells whether the failure came from an endpoint, so that
// another one may do better.
func isEndpointFailure(f *classifier.Error) bool {
	return f.Reason == classifier.ReasonEndpointFailed || f.Reason == classifier.ReasonEndpointRefused
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return unlimited
	}
	return time.Until(deadline)
}
