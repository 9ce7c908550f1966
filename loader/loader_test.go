package loader

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/hasher"
)

// fakeSystem is a Caller that answers with fixed latencies.
type fakeSystem struct {
	timeToFirstToken, timeBetweenTokens time.Duration
	fail                                func(c Call) *Failure
	wrong                               bool
}

func (f *fakeSystem) Do(ctx context.Context, c Call, observe func(uint32)) (Answer, *Failure) {
	if f.fail != nil {
		if failure := f.fail(c); failure != nil {
			return Answer{}, failure
		}
	}
	if c.Kind.Plain {
		return Answer{Payload: fakeAnswers{}.Payload("", c.Payload)}, nil
	}
	if !sleepUntil(ctx, time.Now().Add(f.timeToFirstToken)) {
		return Answer{}, &Failure{Verdict: verdictMayHaveRun, Reason: "deadline"}
	}
	for i := range c.MaxTokens {
		if i > 0 {
			time.Sleep(f.timeBetweenTokens)
		}
		observe(1)
	}
	text := fakeAnswers{}.Text("", c.Prompt, c.MaxTokens)
	if f.wrong {
		text = text[1:]
	}
	return Answer{Text: text}, nil
}

type fakeAnswers struct{}

func (fakeAnswers) Text(_, prompt string, _ uint32) string { return "re: " + prompt }

func (fakeAnswers) Payload(_ string, payload []byte) []byte { return payload }

// runFake runs a load against f in virtual time.
func runFake(t *testing.T, s Settings, f *fakeSystem) (report *Report) {
	t.Helper()
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		var err error
		report, err = Run(t.Context(), s, f, fakeAnswers{})
		is.NoErr(err)
	})
	return report
}

func quotesAt(rate float64) Settings {
	return Settings{Mix: TamsuiMix()[:1], Rate: rate, Duration: 110 * time.Second, Warmup: 10 * time.Second, Seed: 3}
}

func TestRun(t *testing.T) {
	t.Run("all calls to a fast system are good", func(t *testing.T) {
		is := is.New(t)
		k := runFake(t, quotesAt(20), &fakeSystem{timeToFirstToken: time.Second, timeBetweenTokens: 40 * time.Millisecond}).Kinds[0]
		is.Equal(k.Verdicts[verdictAnswered], k.Sent)
		is.Equal(k.Good, k.Sent)
		is.True(k.OfferedPerSecond > 18 && k.OfferedPerSecond < 22)
		is.True(k.FirstToken.P50 > 999 && k.FirstToken.P50 < 1001)
		is.True(k.BetweenTokens.P99 > 39.9 && k.BetweenTokens.P99 < 40.1)
	})
	t.Run("an answer that misses either target is not good", func(t *testing.T) {
		is := is.New(t)
		is.Equal(runFake(t, quotesAt(5), &fakeSystem{timeToFirstToken: 1700 * time.Millisecond, timeBetweenTokens: time.Millisecond}).Kinds[0].Good, 0)
		is.Equal(runFake(t, quotesAt(5), &fakeSystem{timeToFirstToken: time.Second, timeBetweenTokens: 48 * time.Millisecond}).Kinds[0].Good, 0)
	})
	t.Run("wrong answers count as mismatched and not as good", func(t *testing.T) {
		is := is.New(t)
		r := runFake(t, quotesAt(5), &fakeSystem{wrong: true})
		is.Equal(r.Mismatched(), r.Kinds[0].Sent)
		is.Equal(r.Kinds[0].Good, 0)
	})
	t.Run("calls above MaxOutstanding are skipped", func(t *testing.T) {
		is := is.New(t)
		s := quotesAt(20)
		s.MaxOutstanding = 2
		k := runFake(t, s, &fakeSystem{timeToFirstToken: 10 * time.Second}).Kinds[0]
		is.True(k.Skipped > k.Sent)
		is.True(k.GoodShare < 0.5)
	})
	t.Run("only calls that were not run are repeated", func(t *testing.T) {
		is := is.New(t)
		s := quotesAt(5)
		s.Repeats = 2
		refuse := func(verdict string) *fakeSystem {
			return &fakeSystem{fail: func(Call) *Failure {
				return &Failure{Verdict: verdict, Reason: "queue-full", RetryAfter: time.Second}
			}}
		}
		k := runFake(t, s, refuse(verdictNotRun)).Kinds[0]
		is.Equal(k.Repeats, 2*k.Sent)
		is.Equal(k.Reasons["queue-full"], k.Sent)
		is.Equal(runFake(t, s, refuse(verdictMayHaveRun)).Kinds[0].Repeats, 0)
	})
	t.Run("callers cancel calls at the configured share", func(t *testing.T) {
		is := is.New(t)
		s := quotesAt(20)
		s.CancelShare, s.CancelWithin = 0.3, time.Second
		k := runFake(t, s, &fakeSystem{timeToFirstToken: 2 * time.Second}).Kinds[0]
		share := float64(k.Verdicts[verdictHungUp]) / float64(k.Sent)
		is.True(share > 0.25 && share < 0.35)
		is.Equal(k.Verdicts[verdictHungUp]+k.Verdicts[verdictAnswered], k.Sent)
		is.Equal(len(k.Reasons), 0)
	})
	t.Run("concurrency keeps that many calls in flight", func(t *testing.T) {
		is := is.New(t)
		s := Settings{Mix: TamsuiMix()[:1], Concurrency: 4, Duration: 100 * time.Second}
		k := runFake(t, s, &fakeSystem{timeToFirstToken: time.Second}).Kinds[0]
		is.Equal(k.Sent, 400)
	})
	t.Run("invalid settings are rejected", func(t *testing.T) {
		is := is.New(t)
		for _, s := range []Settings{
			{},
			{Mix: TamsuiMix(), Duration: time.Second},
			{Mix: TamsuiMix(), Duration: time.Second, Rate: 1, Concurrency: 1},
			{Mix: TamsuiMix(), Duration: time.Second, Warmup: time.Second, Rate: 1},
			{Mix: []Kind{{Name: "empty"}}, Duration: time.Second, Rate: 1},
		} {
			_, err := Run(t.Context(), s, &fakeSystem{}, fakeAnswers{})
			is.True(err != nil)
		}
	})
}

func TestPlanner(t *testing.T) {
	for name, mix := range Mixes() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			one, err := newPlanner(mix, 9)
			is.NoErr(err)
			two, err := newPlanner(mix, 9)
			is.NoErr(err)
			counts := make(map[string]int)
			for i := range uint64(1000) {
				c := one.call(i)
				is.Equal(c.Prompt, two.call(i).Prompt)
				counts[c.Kind.Name]++
				if c.Kind.Plain {
					continue
				}
				n := int(hasher.CountTokens(c.Prompt))
				is.True(n >= c.Kind.PromptTokens.Min && n <= c.Kind.PromptTokens.Max+1)
			}
			for _, k := range mix {
				share := float64(counts[k.Name]) / 1000
				is.True(share > k.Weight/100-0.07 && share < k.Weight/100+0.07)
			}
		})
	}
}

func TestWriteTable(t *testing.T) {
	is := is.New(t)
	r := runFake(t, quotesAt(5), &fakeSystem{timeToFirstToken: time.Second})
	var b bytes.Buffer
	is.NoErr(r.WriteTable(&b))
	is.True(bytes.Contains(b.Bytes(), []byte("quote")))
	is.True(bytes.Contains(b.Bytes(), []byte("100.0%")))
	r.Compared = false
	is.NoErr(r.WriteTable(&b))
	is.True(bytes.Contains(b.Bytes(), []byte("not compared")))
}
