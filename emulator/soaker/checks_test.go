package soaker

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/inspector"
	"github.com/jackdawthread/jackdawthread/platform/standin"
)

// began is the time from which the tests' times count.
var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time {
	return began.Add(d)
}

// served returns the outcome of a lock that host 0 got a response to.
func served(id identifier.Request, sent time.Duration) outcome {
	return outcome{
		id: id, path: "/locks/", sentAt: after(sent), endedAt: after(sent + 10*time.Millisecond),
		status: http.StatusOK, runner: "desk-0", body: standin.ResponseBody("desk-0", id), complete: true,
	}
}

// cut returns the outcome of a request whose connection ended.
func cut(path string, took time.Duration, status int, body string) outcome {
	return outcome{id: "a", path: path, sentAt: began, endedAt: after(took), status: status, body: body}
}

func received(id identifier.Request, at time.Duration) standin.Received {
	return standin.Received{ID: id, At: after(at)}
}

func faultBetween(k faultKind, subject string, from, to time.Duration) *Fault {
	return &Fault{Kind: k, Subject: subject, From: after(from), To: after(to)}
}

// newChecker returns a checker with one runner, desk-0.
func newChecker(outcomes []outcome, arrivals []standin.Received, faults ...*Fault) *checker {
	return &checker{
		outcomes: outcomes,
		runners:  []runnerRecord{{id: "desk-0", service: "desk", received: arrivals, pause: askedPause}},
		history:  &history{faults: faults},
		budget:   budget{ratio: 0.1, slack: 2},
	}
}

func assertBroken(t *testing.T, c *checker, want ...guarantee) {
	t.Helper()
	i := is.New(t)
	var found []guarantee
	for _, v := range c.check() {
		found = append(found, v.Guarantee)
	}
	i.Equal(found, want)
}

func TestEndedRequests(t *testing.T) {
	arrival := []standin.Received{received("a", time.Millisecond)}
	second := time.Second
	t.Run("a complete answer is fine", func(t *testing.T) {
		assertBroken(t, newChecker([]outcome{served("a", 0)}, arrival))
	})
	t.Run("a connection that ends after the request reached a runner", func(t *testing.T) {
		assertBroken(t, newChecker([]outcome{cut("/locks/", time.Millisecond, 0, "")}, arrival), answered)
	})
	t.Run("a connection that ends long after the request", func(t *testing.T) {
		assertBroken(t, newChecker([]outcome{cut("/locks/", second, 0, "")}, nil), answered)
	})
	t.Run("a request that crosses the close is fine", func(t *testing.T) {
		assertBroken(t, newChecker([]outcome{cut("/locks/", time.Millisecond, 0, "")}, nil))
	})
	t.Run("a request that was not sent completely is fine", func(t *testing.T) {
		o := cut("/locks/", second, 0, "")
		o.sentAt = time.Time{}
		assertBroken(t, newChecker([]outcome{o}, nil))
	})
	t.Run("a connection open after the deadline", func(t *testing.T) {
		o := cut("/locks/", callTimeout+answerMargin, 0, "")
		o.timedOut = true
		assertBroken(t, newChecker([]outcome{o}, arrival), answeredInTime)
	})
	for _, k := range []faultKind{hostKilled, hostPaused} {
		t.Run("a host "+string(k)+" meanwhile excuses it", func(t *testing.T) {
			f := faultBetween(k, "host 0", second/2, second)
			assertBroken(t, newChecker([]outcome{cut("/locks/", second, 0, "")}, arrival, f))
		})
	}
	for _, k := range []faultKind{hostStopped, hostReloaded, hostSlowed} {
		t.Run("a host "+string(k)+" doesn't excuse it", func(t *testing.T) {
			f := faultBetween(k, "host 0", second/2, second)
			assertBroken(t, newChecker([]outcome{cut("/locks/", second, 0, "")}, arrival, f), answered)
		})
	}
	for _, c := range []struct {
		name       string
		host       int
		sent, took time.Duration // the former since the signal
		broken     []guarantee
	}{
		{"a stream cut at the end of a stop that had just begun is fine", 1, 100 * time.Millisecond, 1250 * time.Millisecond, nil},
		{"one that came later", 1, 500 * time.Millisecond, 850 * time.Millisecond, []guarantee{survives}},
		{"one that was cut before the end", 1, 100 * time.Millisecond, time.Second, []guarantee{survives}},
		{"one of a host that had more time", 0, 100 * time.Millisecond, 1250 * time.Millisecond, []guarantee{survives}},
	} {
		t.Run(c.name, func(t *testing.T) {
			const signal = 10 * time.Second
			o := cut("/digests/", c.took, http.StatusOK, "")
			o.host, o.sentAt = c.host, o.sentAt.Add(signal+c.sent)
			o.endedAt = o.sentAt.Add(c.took)
			stopped := faultBetween(hostStopped, hostName(c.host), signal, 2*signal)
			silent := faultBetween(runnerSilent, "runner desk-0", signal, 2*signal)
			assertBroken(t, newChecker([]outcome{o}, []standin.Received{received("a", signal+c.sent)}, stopped, silent), c.broken...)
		})
	}
	t.Run("a runner that broke off excuses it", func(t *testing.T) {
		f := faultBetween(runnerBreaks, "runner desk-0", 0, second)
		assertBroken(t, newChecker([]outcome{cut("/locks/", second, 0, "")}, arrival, f))
	})
	t.Run("a stream interrupted in a runner's silence", func(t *testing.T) {
		f := faultBetween(runnerSilent, "runner desk-0", 0, second)
		assertBroken(t, newChecker([]outcome{cut("/digests/", second, http.StatusOK, "")}, arrival, f), survives)
	})
}

func TestLeavingRunners(t *testing.T) {
	leaving := func() *Fault { return faultBetween(runnerLeaves, "runner desk-0", 0, time.Minute) }
	first := served("a", time.Second)
	late, arrivals := served("b", 4*time.Second), []standin.Received{received("a", time.Second), received("b", 4*time.Second)}
	t.Run("a request long after a leaving answer", func(t *testing.T) {
		assertBroken(t, newChecker([]outcome{first, late}, arrivals, leaving()), leftAlone)
	})
	t.Run("soon after is fine", func(t *testing.T) {
		soon := served("b", 2*time.Second)
		assertBroken(t, newChecker([]outcome{first, soon}, arrivals, leaving()))
	})
	t.Run("from another host is fine", func(t *testing.T) {
		other := late
		other.host = 1
		assertBroken(t, newChecker([]outcome{first, other}, arrivals, leaving()))
	})
	t.Run("a restart since excuses it", func(t *testing.T) {
		restart := faultBetween(hostKilled, "host 0", 2*time.Second, 3*time.Second)
		assertBroken(t, newChecker([]outcome{first, late}, arrivals, leaving(), restart))
	})
}

func TestPauses(t *testing.T) {
	asks := func() *Fault { return faultBetween(runnerAsksPause, "runner desk-0", 0, 100*time.Millisecond) }
	requests := func(times ...time.Duration) ([]outcome, []standin.Received) {
		var outcomes []outcome
		var arrivals []standin.Received
		for n, at := range times {
			id := identifier.Request('a' + rune(n))
			outcomes = append(outcomes, served(id, at))
			arrivals = append(arrivals, received(id, at))
		}
		return outcomes, arrivals
	}
	t.Run("three arrivals in it", func(t *testing.T) {
		outcomes, arrivals := requests(time.Millisecond, 600*time.Millisecond, 700*time.Millisecond, 800*time.Millisecond)
		assertBroken(t, newChecker(outcomes, arrivals, asks()), pausesKept)
	})
	t.Run("two arrivals in it, and some before and after, are fine", func(t *testing.T) {
		outcomes, arrivals := requests(time.Millisecond, 400*time.Millisecond, 600*time.Millisecond, 700*time.Millisecond, 1600*time.Millisecond)
		assertBroken(t, newChecker(outcomes, arrivals, asks()))
	})
}

func TestLimits(t *testing.T) {
	// arriving returns requests that arrive every period from the beginning of the fault on.
	arriving := func(period time.Duration) ([]outcome, []standin.Received) {
		var outcomes []outcome
		var arrivals []standin.Received
		for at := time.Duration(0); at < 8*time.Second; at += period {
			o := served(identifier.Request(at.String()), at)
			outcomes = append(outcomes, o)
			arrivals = append(arrivals, received(o.id, at))
		}
		return outcomes, arrivals
	}
	names := faultBetween(runnerLimits, runnerName("desk-0"), 0, 9*time.Second)
	t.Run("more than the limit allows", func(t *testing.T) {
		outcomes, arrivals := arriving(200 * time.Millisecond)
		assertBroken(t, newChecker(outcomes, arrivals, names), limitKept)
	})
	t.Run("as much as the limit allows", func(t *testing.T) {
		outcomes, arrivals := arriving(250 * time.Millisecond)
		assertBroken(t, newChecker(outcomes, arrivals, names))
	})
	t.Run("more, from a host that was paused", func(t *testing.T) {
		outcomes, arrivals := arriving(200 * time.Millisecond)
		paused := faultBetween(hostPaused, hostName(0), 0, 9*time.Second)
		assertBroken(t, newChecker(outcomes, arrivals, names, paused))
	})
}

func TestBudget(t *testing.T) {
	// retried returns count requests, in the same second, that arrive twice each.
	retried := func(count int) ([]outcome, []standin.Received) {
		var outcomes []outcome
		var arrivals []standin.Received
		for n := range count {
			at := time.Duration(n) * time.Millisecond
			o := served(identifier.Request('a'+rune(n)), at)
			outcomes = append(outcomes, o)
			arrivals = append(arrivals, received(o.id, at), received(o.id, at+time.Second))
		}
		return outcomes, arrivals
	}
	t.Run("more retries than allowed", func(t *testing.T) {
		outcomes, arrivals := retried(3)
		assertBroken(t, newChecker(outcomes, arrivals), budgetKept)
	})
	t.Run("the slack is allowed", func(t *testing.T) {
		outcomes, arrivals := retried(2)
		assertBroken(t, newChecker(outcomes, arrivals))
	})
	t.Run("reading a prompt isn't a retry", func(t *testing.T) {
		outcomes, arrivals := retried(3)
		for n := range arrivals {
			if n%2 == 0 {
				arrivals[n].Stage = "prefill"
			}
		}
		assertBroken(t, newChecker(outcomes, arrivals))
	})
}

func TestRunsAndContent(t *testing.T) {
	run := func(id identifier.Request) standin.Run {
		return standin.Run{ID: id, Body: "body of " + string(id), Started: began, Ended: after(time.Second)}
	}
	check := func(t *testing.T, o outcome, runs []standin.Run, want ...guarantee) {
		t.Helper()
		c := newChecker([]outcome{o}, nil)
		c.runners[0].runs = runs
		assertBroken(t, c, want...)
	}
	t.Run("a lock that runs twice", func(t *testing.T) {
		check(t, served("a", 0), []standin.Run{run("a"), run("a")}, runsOnce)
	})
	t.Run("a refused request that runs", func(t *testing.T) {
		o := served("a", 0)
		o.status = http.StatusServiceUnavailable
		check(t, o, []standin.Run{run("a")}, notRun)
	})
	t.Run("a run without a request, and one that goes on", func(t *testing.T) {
		unfinished := run("a")
		unfinished.Ended = time.Time{}
		check(t, served("a", 0), []standin.Run{run("z"), unfinished}, unchanged, released)
	})
	t.Run("an order that runs as a request", func(t *testing.T) {
		check(t, served("a", 0), []standin.Run{{Target: "/api/order", Started: began, Ended: began}}, unchanged)
	})
	t.Run("a response to another request, with bytes after it", func(t *testing.T) {
		o := served("a", 0)
		o.body, o.surplus = standin.ResponseBody("desk-0", "b"), 1
		check(t, o, nil, unchanged, unchanged)
	})
	t.Run("a response that breaks the rules of HTTP", func(t *testing.T) {
		o := served("a", 0)
		o.broken = &inspector.Error{Part: inspector.PartStatusLine}
		check(t, o, nil, unchanged)
	})
	t.Run("a run whose body was not read is fine", func(t *testing.T) {
		unread := run("a")
		unread.Body, unread.Unread = "", true
		check(t, served("a", 0), []standin.Run{unread})
	})
	t.Run("a request that is denied", func(t *testing.T) {
		o := served("a", 0)
		o.status = http.StatusNotFound
		check(t, o, nil, permitted)
	})
	t.Run("a denial that some configuration allows is fine", func(t *testing.T) {
		o := served("a", 0)
		o.path, o.status = "/extras/", http.StatusNotFound
		check(t, o, nil)
	})
}

func TestRepeatedIDs(t *testing.T) {
	c := newChecker([]outcome{served("a", 0)}, nil)
	c.runners[0].repeated = []standin.Received{received("a", time.Millisecond)}
	assertBroken(t, c, sentOnce)
}

// TestRequestsSentAgain checks requests whose first sending was refused.
func TestRequestsSentAgain(t *testing.T) {
	const first, second = time.Millisecond, time.Second
	again := func(status int) outcome {
		o := served("a", second)
		o.status, o.again = status, true
		return o
	}
	run := standin.Run{ID: "a", Body: "body of a", Started: after(second), Ended: after(second)}
	check := func(t *testing.T, o outcome, runs []standin.Run, want ...guarantee) {
		t.Helper()
		c := newChecker([]outcome{o}, []standin.Received{received("a", first), received("a", second)})
		c.runners[0].runs = runs
		c.budget = budget{}
		assertBroken(t, c, want...)
	}
	t.Run("may run once in all, and their first arrival is no retry", func(t *testing.T) {
		check(t, again(http.StatusOK), []standin.Run{run})
	})
	t.Run("that run twice", func(t *testing.T) {
		check(t, again(http.StatusOK), []standin.Run{run, run}, runsOnce)
	})
	t.Run("that are refused again and ran", func(t *testing.T) {
		check(t, again(http.StatusServiceUnavailable), []standin.Run{run}, notRun)
	})
	t.Run("that end without an answer", func(t *testing.T) {
		o := cut("/locks/", second, 0, "")
		o.again, o.sentAt = true, after(second/2)
		check(t, o, nil, answered)
	})
}

// TestHistory checks when a fault counts as on.
func TestHistory(t *testing.T) {
	i := is.New(t)
	h := &history{}
	end := h.begin(hostPaused, "host 0")
	i.True(h.has("host 0", time.Now(), time.Now(), hostPaused))
	i.True(!h.has("host 1", time.Now(), time.Now(), hostPaused))
	end()
	time.Sleep(time.Millisecond)
	i.True(!h.has("host 0", time.Now(), time.Now(), hostPaused))
	i.True(slices.ContainsFunc(h.all(), func(f Fault) bool { return !f.To.IsZero() }))
}

func TestCustomers(t *testing.T) {
	arrival := func(customer, key string) []standin.Received {
		a := received("a", time.Millisecond)
		a.Customer, a.Key = customer, key
		return []standin.Received{a}
	}
	of := func(customer string, stranger bool) []outcome {
		o := served("a", 0)
		o.customer, o.stranger = customer, stranger
		return []outcome{o}
	}
	t.Run("must be named by the calls for their requests, without keys", func(t *testing.T) {
		assertBroken(t, newChecker(of("yard", false), arrival("yard", "")))
		assertBroken(t, newChecker(of("yard", false), arrival("mill", "")), keyed)
		assertBroken(t, newChecker(of("yard", false), arrival("", "")), keyed)
		assertBroken(t, newChecker(of("yard", false), arrival("yard", "key")), keyed)
	})
	t.Run("that nobody declared must reach no runner", func(t *testing.T) {
		assertBroken(t, newChecker(of("nobody", true), arrival("nobody", "")), keyed)
		assertBroken(t, newChecker(of("nobody", true), nil))
	})
}

func TestOrders(t *testing.T) {
	check := func(t *testing.T, orders []standin.Order, want ...guarantee) {
		t.Helper()
		c := newChecker(nil, nil)
		c.runners[0].orders = orders
		assertBroken(t, c, want...)
	}
	t.Run("of two hosts with one fence number", func(t *testing.T) {
		check(t, []standin.Order{{Holder: "host-0", Fence: 7, At: began}, {Holder: "host-1", Fence: 7, At: began, Status: http.StatusConflict}}, fenced)
	})
	t.Run("of one host with one number, and of another one with its own, are fine", func(t *testing.T) {
		check(t, []standin.Order{{Holder: "host-0", Fence: 7}, {Holder: "host-0", Fence: 7}, {Holder: "host-1", Fence: 8}})
	})
}
