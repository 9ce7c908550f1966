package retrier_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/retrier"
)

func newBudget() *retrier.Budget {
	return retrier.NewBudget(compiler.RetryBudget{Ratio: 0.1, Capacity: 3, MaxAttempts: 3})
}

func retryableFailure() retrier.Failure {
	return retrier.Failure{Attempt: 1, Verdict: classifier.VerdictNotRun, Repeatable: true, TimeLeft: time.Minute}
}

func TestDecide(t *testing.T) {
	cases := map[string]struct {
		change func(*retrier.Failure)
		retry  bool
	}{
		"not run":                            {func(*retrier.Failure) {}, true},
		"may have run, repeatable":           {func(f *retrier.Failure) { f.Verdict = classifier.VerdictMayHaveRun }, true},
		"may have run, not repeatable":       {func(f *retrier.Failure) { f.Verdict, f.Repeatable = classifier.VerdictMayHaveRun, false }, false},
		"unknown verdict, not repeatable":    {func(f *retrier.Failure) { f.Verdict, f.Repeatable = classifier.VerdictUnknown, false }, false},
		"not run, not repeatable":            {func(f *retrier.Failure) { f.Repeatable = false }, true},
		"ran":                                {func(f *retrier.Failure) { f.Verdict = classifier.VerdictRan }, false},
		"last attempt":                       {func(f *retrier.Failure) { f.Attempt = 3 }, false},
		"deadline passed":                    {func(f *retrier.Failure) { f.TimeLeft = 0 }, false},
		"no time for another attempt":        {func(f *retrier.Failure) { f.TimeLeft, f.Expected = time.Second, 2*time.Second }, false},
		"retry-after is beyond the deadline": {func(f *retrier.Failure) { f.RetryAfter = time.Hour }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := retryableFailure()
			c.change(&f)
			is.Equal(newBudget().Decide(f, 0.5).Retry, c.retry)
		})
	}
	t.Run("waits at least the retry-after", func(t *testing.T) {
		is := is.New(t)
		f := retryableFailure()
		f.RetryAfter = time.Second
		is.Equal(newBudget().Decide(f, 0.5).After, time.Second)
	})
}

func TestBudget(t *testing.T) {
	// retries requests n retries and returns the number allowed.
	retries := func(b *retrier.Budget, n int) int {
		count := 0
		for range n {
			if b.Decide(retryableFailure(), 0.5).Retry {
				count++
			}
		}
		return count
	}
	t.Run("allows the capacity at once, then the ratio per first attempt", func(t *testing.T) {
		is := is.New(t)
		b := newBudget()
		is.Equal(retries(b, 10), 3)
		allowed := 0
		for range 1000 {
			b.RecordFirstAttempt()
			allowed += retries(b, 1)
		}
		is.Equal(allowed, 100)
	})
	t.Run("refunds the token of a successful retry", func(t *testing.T) {
		is := is.New(t)
		b := newBudget()
		is.Equal(retries(b, 10), 3)
		b.RefundRetry()
		is.Equal(retries(b, 10), 1)
	})
	t.Run("takes no token for a refused retry", func(t *testing.T) {
		is := is.New(t)
		b := newBudget()
		f := retryableFailure()
		f.Attempt = 3
		b.Decide(f, 0.5)
		is.Equal(b.Tokens(), 3.0)
	})
	t.Run("is not exceeded by concurrent callers", func(t *testing.T) {
		is := is.New(t)
		b := newBudget()
		var total atomic.Int64
		g := grouper.New(context.Background())
		for range 12 {
			g.Run(func(context.Context) { total.Add(int64(retries(b, 100))) })
		}
		is.NoErr(g.Wait())
		is.Equal(total.Load(), int64(3))
	})
}
