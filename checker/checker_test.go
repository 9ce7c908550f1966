package checker_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

var start = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)

func at(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

// atMostOnceCall returns a call that must be executed at most once.
func atMostOnceCall(from, to int, r checker.Result) checker.Call {
	return checker.Call{Key: "lock", AtMostOnce: true, Invoked: at(from), Returned: at(to), Result: r, Answer: []byte("yes"), Expected: []byte("yes")}
}

// repeatableCall returns a call that may be executed again.
func repeatableCall(from, to int, r checker.Result) checker.Call {
	c := atMostOnceCall(from, to, r)
	c.AtMostOnce = false
	return c
}

func TestCheck(t *testing.T) {
	const (
		answered   = checker.ResultAnswered
		notRun     = checker.ResultNotRun
		mayHaveRun = checker.ResultMayHaveRun
		ran        = checker.ResultRan
		unfinished = checker.ResultUnfinished
	)
	wrong := atMostOnceCall(0, 2, answered)
	wrong.Answer = []byte("yet")
	cases := []struct {
		name  string
		calls []checker.Call
		runs  []int
		want  checker.Promise // empty if the history is valid
	}{
		{"answered", []checker.Call{atMostOnceCall(0, 2, answered)}, []int{1}, ""},
		{"answered after a lost answer", []checker.Call{atMostOnceCall(0, 2, mayHaveRun), atMostOnceCall(3, 4, answered)}, []int{1}, ""},
		{"run after the caller gave up", []checker.Call{atMostOnceCall(0, 2, mayHaveRun)}, []int{5}, ""},
		{"run for an unfinished call", []checker.Call{atMostOnceCall(0, 0, unfinished)}, []int{5}, ""},
		{"not run", []checker.Call{atMostOnceCall(0, 2, notRun), atMostOnceCall(3, 4, notRun)}, nil, ""},
		{"ran, answered elsewhere", []checker.Call{atMostOnceCall(0, 4, answered), atMostOnceCall(2, 3, ran)}, []int{1}, ""},
		{"runs twice", []checker.Call{atMostOnceCall(0, 2, answered)}, []int{1, 1}, checker.PromiseRunsAtMostOnce},
		{"runs again later", []checker.Call{atMostOnceCall(0, 2, mayHaveRun)}, []int{1, 9}, checker.PromiseRunsAtMostOnce},
		{"not run but ran", []checker.Call{atMostOnceCall(0, 2, notRun)}, []int{1}, checker.PromiseNotRun},
		{"not run, ran later", []checker.Call{atMostOnceCall(0, 2, notRun)}, []int{9}, checker.PromiseNotRun},
		{"one copy not run, the other ran", []checker.Call{atMostOnceCall(0, 2, notRun), atMostOnceCall(0, 5, answered)}, []int{4}, checker.PromiseNotRun},
		{"answered twice", []checker.Call{atMostOnceCall(0, 2, answered), atMostOnceCall(3, 4, answered)}, []int{1}, checker.PromiseAnsweredAtMostOnce},
		{"answered, never ran", []checker.Call{atMostOnceCall(0, 2, answered)}, nil, checker.PromiseRan},
		{"ran, never ran", []checker.Call{atMostOnceCall(0, 2, ran)}, nil, checker.PromiseRan},
		{"answered before it ran", []checker.Call{atMostOnceCall(0, 2, answered)}, []int{3}, checker.PromiseEventOrder},
		{"wrong answer", []checker.Call{wrong}, []int{1}, checker.PromiseOwnAnswer},
		{"run without a call", nil, []int{1}, checker.PromiseKnownRequests},
		{"repeatable runs twice", []checker.Call{repeatableCall(0, 2, answered)}, []int{1, 1}, ""},
		{"repeatable not run, resent", []checker.Call{repeatableCall(0, 2, notRun), repeatableCall(3, 5, answered)}, []int{4}, ""},
		{"repeatable not run but ran", []checker.Call{repeatableCall(0, 2, notRun)}, []int{1}, checker.PromiseNotRun},
		{"repeatable not run but ran, resent", []checker.Call{repeatableCall(0, 2, notRun), repeatableCall(3, 5, answered)}, []int{1, 4}, checker.PromiseNotRun},
		{"repeatable answered twice", []checker.Call{repeatableCall(0, 2, answered), repeatableCall(0, 3, answered)}, []int{1, 1}, checker.PromiseAnsweredAtMostOnce},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := checker.History{Calls: c.calls}
			for _, second := range c.runs {
				h.Executions = append(h.Executions, checker.Execution{Key: "lock", At: at(second)})
			}
			assertViolations(t, checker.Check(h), c.want)
		})
	}
}

func assertViolations(t *testing.T, got []checker.Violation, want checker.Promise) {
	t.Helper()
	is := is.New(t)
	if want == "" {
		is.Equal(got, nil)
		return
	}
	is.Equal(len(got), 1)
	is.Equal(got[0].Promise, want)
}

func TestInvariants(t *testing.T) {
	attempt := identifier.Attempt{Incarnation: 1, Sequence: 2}
	t.Run("memory", func(t *testing.T) {
		held := checker.EngineMemory{Endpoint: "e", Pieces: 3, Attempts: []identifier.Attempt{attempt}}
		assertViolations(t, checker.CheckMemory([]checker.EngineMemory{held}, []identifier.Attempt{attempt}), "")
		assertViolations(t, checker.CheckMemory([]checker.EngineMemory{held}, nil), checker.PromiseNoOrphanedMemory)
		assertViolations(t, checker.CheckMemory([]checker.EngineMemory{{Endpoint: "e", Pieces: 1}}, nil), checker.PromiseNoOrphanedMemory)
		assertViolations(t, checker.CheckMemory([]checker.EngineMemory{{Endpoint: "e"}}, nil), "")
	})
	t.Run("leaving", func(t *testing.T) {
		leaves := []checker.Leave{{Endpoint: "e", At: at(10), Returned: at(60)}}
		check := func(endpoint identifier.Endpoint, second int) []checker.Violation {
			return checker.CheckLeaving([]checker.Admission{{Endpoint: endpoint, At: at(second)}}, leaves, 3*time.Second)
		}
		assertViolations(t, check("e", 13), "")
		assertViolations(t, check("e", 14), checker.PromiseNoWorkForLeaving)
		assertViolations(t, check("f", 14), "")
		assertViolations(t, check("e", 60), "")
	})
	t.Run("revisions", func(t *testing.T) {
		records := []checker.RevisionRecord{{"a", 1, at(0)}, {"a", 3, at(2)}, {"b", 1, at(3)}}
		assertViolations(t, checker.CheckRevisions(records), "")
		assertViolations(t, checker.CheckRevisions(append(records, checker.RevisionRecord{Host: "a", Revision: 2, At: at(4)})), checker.PromiseRevisions)
	})
}

func TestRecorder(t *testing.T) {
	is := is.New(t)
	r := checker.NewRecorder()
	done := r.RecordCall(checker.Call{Key: "lock", AtMostOnce: true}, at(0))
	r.RecordCall(checker.Call{Key: "lock", AtMostOnce: true}, at(0))
	r.RecordExecution(checker.Execution{Key: "lock", At: at(1)})
	done(checker.ResultOf(nil), []byte("yes"), at(2))
	h := r.History()
	is.Equal(checker.Check(h), nil)
	is.Equal(h.ResultShare(checker.ResultAnswered), 1.0)
	is.Equal(h.Calls[1].Result, checker.ResultUnfinished)
	is.Equal(checker.ResultOf(errors.New("lost")), checker.ResultMayHaveRun)
	is.Equal(checker.ResultOf(classifier.NotRun(classifier.ReasonLimit, 0, "limit")), checker.ResultNotRun)
	is.Equal(checker.ResultOf(classifier.Ran(classifier.ReasonTicketUsed, "used")), checker.ResultRan)
}
