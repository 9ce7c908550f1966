package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// fixedBudget is a retry budget with a fixed number of tokens.
type fixedBudget struct{ left, taken, returned int }

func (p *fixedBudget) RecordFirstAttempt(identifier.Service) {}

func (p *fixedBudget) Take(identifier.Service) bool {
	if p.left == 0 {
		return false
	}
	p.left--
	p.taken++
	return true
}

func (p *fixedBudget) Return(identifier.Service) {
	p.left++
	p.taken--
	p.returned++
}

// drawFailure generates the failure of an attempt.
func drawFailure(t *rapid.T) error {
	reason := rapid.SampledFrom([]classifier.Reason{
		classifier.ReasonEndpointRefused, classifier.ReasonEndpointFailed, classifier.ReasonHostUnreachable,
	}).Draw(t, "reason")
	switch rapid.IntRange(0, 3).Draw(t, "verdict") {
	case 0:
		return classifier.NotRun(reason, 0, "not run")
	case 1:
		return classifier.MayHaveRun(reason, 0, "may have run")
	case 2:
		return classifier.Ran(reason, "ran")
	default:
		return nil // the endpoint returned an error response
	}
}

// TestResendProperty simulates attempts of a request until no further one is
// allowed.
func TestResendProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := is.New(t)
		kind := rapid.SampledFrom([]registrar.Kind{registrar.KindUnrepeatable, registrar.KindIdempotent, registrar.KindStream}).Draw(t, "kind")
		budget := &fixedBudget{left: rapid.IntRange(0, 5).Draw(t, "budget")}
		e := &exchange{
			forwarder: &Forwarder{deps: Deps{Budget: budget}},
			route:     &registrar.Route{Kind: kind, Attempts: rapid.IntRange(0, 4).Draw(t, "attempts"), Resumable: rapid.Bool().Draw(t, "resumable")},
			service:   &registrar.Service{Name: "s"},
		}
		runs, arrivals := 0, 0
		for range 20 {
			e.sent++
			failure := drawFailure(t)
			c := classifier.Of(failure)
			ran := c == nil || c.Verdict != classifier.VerdictNotRun
			if ran {
				runs++
			}
			if ran || c.Reason == classifier.ReasonEndpointRefused {
				arrivals++
			}
			if !e.mayResend(context.Background(), failure) {
				break
			}
			i.True(!ran || e.route.Repeatable())              // unrepeatable requests run at most once
			i.True(!ran || e.sent < max(1, e.route.Attempts)) // within the attempts
			i.Equal(budget.taken, arrivals)                   // charged for each arrival
			i.True(e.mayHaveRun == (runs > 0))                // determines the final verdict
		}
		i.True(e.route.Repeatable() || runs <= 1)
	})
}

// TestResumedStreamsProperty cuts a stream at arbitrary positions and resumes it at
// any event up to the next one. The forwarded stream must be complete and contain
// each event once.
func TestResumedStreamsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := is.New(t)
		count := rapid.IntRange(1, 30).Draw(t, "events")
		event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", n%7)) }
		last, passed := "", ""
		for run := 0; ; run++ {
			have, _ := strconv.Atoi(last)
			from := rapid.IntRange(1, have+1).Draw(t, "from")
			var text strings.Builder
			for n := from; n <= count; n++ {
				text.WriteString(event(n))
			}
			broken := run < 5 && rapid.Bool().Draw(t, "broken")
			sent := text.String()
			if broken {
				sent = sent[:rapid.IntRange(0, len(sent)).Draw(t, "cut")]
			}
			r := newEventReader(strings.NewReader(sent), growFreely)
			for {
				b, err := r.next()
				if err != nil {
					break
				}
				if alreadyDelivered(r.id, last) {
					continue
				}
				passed += string(b)
				last = r.id
			}
			if !broken {
				break
			}
		}
		var whole strings.Builder
		for n := 1; n <= count; n++ {
			whole.WriteString(event(n))
		}
		i.Equal(passed, whole.String())
	})
}

// TestVerdictProperty checks that no response promises that a request has not run
// after an attempt that may have run it.
func TestVerdictProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := is.New(t)
		failure := drawFailure(t)
		if failure == nil {
			return
		}
		w := httptest.NewRecorder()
		e := &exchange{forwarder: &Forwarder{}, writer: w, observation: &Observation{}, mayHaveRun: rapid.Bool().Draw(t, "may have run")}
		e.fail(failure)
		ran := e.mayHaveRun || classifier.VerdictOf(failure) != classifier.VerdictNotRun
		i.Equal(w.Code == 503, !ran)
		i.Equal(e.observation.Status, w.Code)
		i.True(errors.As(e.observation.Err, new(*classifier.Error)))
	})
}
