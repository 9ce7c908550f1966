package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/windower"
	"github.com/jackdawthread/jackdawthread/platform/standin"
)

// guarantee names what a violation breaks.
type guarantee string

const (
	answered       guarantee = "a sent request gets a complete answer or a refusal"
	answeredInTime guarantee = "a sent request is answered by its deadline"
	survives       guarantee = "a runner's silence interrupts no stream"
	runsOnce       guarantee = "a request runs no more often than its route allows"
	sentOnce       guarantee = "a runner's connection carries an ID once"
	notRun         guarantee = "a refused request has not run"
	unchanged      guarantee = "requests and responses pass unchanged"
	permitted      guarantee = "a permitted request isn't denied"
	leftAlone      guarantee = "a leaving runner gets no requests"
	pausesKept     guarantee = "a runner that asks for a pause gets one"
	limitKept      guarantee = "a runner that names a limit gets no more"
	budgetKept     guarantee = "retries stay within the budget"
	released       guarantee = "nothing is left behind"
	recovered      guarantee = "hosts recover with the newest content of the store"
	bounded        guarantee = "a host stays within its memory"
	keyed          guarantee = "requests run for the customers whose keys they have"
	readable       guarantee = "hosts can read each other's messages"
	fenced         guarantee = "no two hosts order a runner with one fence number"
)

const (
	// crossingTime is how long after a request its connection may end if the
	// request reached no runner: it crossed the host's close.
	crossingTime = 200 * time.Millisecond
	// aftermath is how long the effects of a paused host or a cut link may last.
	aftermath = 3 * time.Second
	// deadlineMargin is how long before the deadline a host may end a response.
	deadlineMargin = 100 * time.Millisecond
	// noticeTime is how long a process may take to notice that it should stop, and slowNoticeTime
	// how much longer a slowed one.
	noticeTime     = 100 * time.Millisecond
	slowNoticeTime = time.Second
	// leavingDelay is how long requests may reach a runner after the host has
	// passed on that it leaves.
	leavingDelay = 2 * time.Second
	// pauseGrace is the time after a request for a pause in which calls that are
	// under way may arrive, and pauseArrivals is how many may arrive later.
	pauseGrace    = 500 * time.Millisecond
	pauseArrivals = 2
	// From limitGrace after a runner has named its limit, all hosts together send it no more
	// in limitWindow than limitFactor times what that allows, and limitSlack requests.
	limitGrace   = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	budgetWindow = 10 * time.Second
	maxAttempts  = 2
)

// Violation is a broken guarantee.
type Violation struct {
	Guarantee guarantee
	Detail    string
	// Faults are those of the host and the runners involved.
	Faults []Fault
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s %v", v.Guarantee, v.Detail, v.Faults)
}

// runnerRecord is what a runner has seen.
type runnerRecord struct {
	id       string
	service  string
	received []standin.Received
	// repeated are the calls whose ID their connection had carried before.
	repeated []standin.Received
	runs     []standin.Run
	orders   []standin.Order
	// pause is how long a pause it asks for.
	pause time.Duration
}

// reached is a request that reached a runner.
type reached struct {
	runner  *runnerRecord
	at      time.Time
	prefill bool
	// customer is the one that the call named; withKey is set if it had a key.
	customer string
	withKey  bool
}

// checker compares the outcomes of callers with what runners have seen.
type checker struct {
	outcomes []outcome
	runners  []runnerRecord
	history  *history
	budget   budget

	violations []Violation
	byID       map[identifier.Request]*outcome
	reached    map[identifier.Request][]reached
	runs       map[identifier.Request]int
}

// budget is how many retries are allowed in each budgetWindow.
type budget struct {
	ratio float64
	slack int
}

// check returns the violations.
func (c *checker) check() []Violation {
	c.index()
	for i := range c.outcomes {
		o := &c.outcomes[i]
		c.checkRuns(o)
		c.checkEnded(o)
		c.checkContent(o)
		c.checkCustomer(o)
	}
	for i := range c.runners {
		c.checkRunner(&c.runners[i])
		c.checkRepeated(&c.runners[i])
		c.checkLeaving(&c.runners[i])
		c.checkPauses(&c.runners[i])
		c.checkLimits(&c.runners[i])
		c.checkOrders(&c.runners[i])
	}
	c.checkBudgets()
	return c.violations
}

func (c *checker) index() {
	c.byID = map[identifier.Request]*outcome{}
	c.reached = map[identifier.Request][]reached{}
	c.runs = map[identifier.Request]int{}
	for i := range c.outcomes {
		c.byID[c.outcomes[i].id] = &c.outcomes[i]
	}
	for i := range c.runners {
		r := &c.runners[i]
		for _, a := range r.received {
			if a.ID != "" && !c.earlier(a) {
				c.reached[a.ID] = append(c.reached[a.ID], reached{
					runner: r, at: a.At, prefill: a.Stage == "prefill", customer: a.Customer, withKey: a.Key != "",
				})
			}
		}
		for _, n := range r.runs {
			c.runs[n.ID]++
		}
	}
}

// earlier reports whether a call belongs to an earlier sending of a request that was sent again.
func (c *checker) earlier(a standin.Received) bool {
	o := c.byID[a.ID]
	return o != nil && o.again && a.At.Before(o.sentAt)
}

// report records a violation with the faults of the subjects since from.
func (c *checker) report(g guarantee, from, to time.Time, subjects []string, format string, args ...any) {
	v := Violation{Guarantee: g, Detail: fmt.Sprintf(format, args...)}
	for _, s := range subjects {
		v.Faults = append(v.Faults, c.history.find(s, from.Add(-aftermath), to)...)
	}
	c.violations = append(c.violations, v)
}

// reportOutcome records a violation with the faults of the request's host and
// runners.
func (c *checker) reportOutcome(g guarantee, o *outcome, format string, args ...any) {
	subjects := []string{hostName(o.host)}
	for _, a := range c.reached[o.id] {
		for _, s := range []string{runnerName(a.runner.id), linkName(a.runner.id)} {
			if !slices.Contains(subjects, s) {
				subjects = append(subjects, s)
			}
		}
	}
	detail := fmt.Sprintf("request %s to %s at %s, sent %s, ended after %v with status %d and %d bytes, reached %s: ",
		o.id, o.path, hostName(o.host), o.sentAt.UTC().Format("15:04:05.000"), o.endedAt.Sub(o.sentAt).Round(time.Millisecond), o.status, len(o.body), c.describeReached(o))
	c.report(g, o.sentAt, o.endedAt, subjects, "%s", detail+fmt.Sprintf(format, args...))
}

func (c *checker) describeReached(o *outcome) string {
	var all []string
	for _, a := range c.reached[o.id] {
		all = append(all, fmt.Sprintf("%s after %v", a.runner.id, a.at.Sub(o.sentAt).Round(time.Millisecond)))
	}
	return fmt.Sprint(all)
}

func (o *outcome) repeatable() bool {
	return o.path != "/locks/" && o.path != "/notes/"
}

func (o *outcome) streams() bool {
	return o.path == "/notes/" || o.path == "/digests/"
}

func (c *checker) checkRuns(o *outcome) {
	limit := 1
	if o.repeatable() {
		limit = maxAttempts
	}
	if n := c.runs[o.id]; n > limit {
		c.reportOutcome(runsOnce, o, "it ran %d times, %d allowed", n, limit)
	}
	if refused(o.status) && c.runs[o.id] > 0 {
		c.reportOutcome(notRun, o, "it was refused and ran")
	}
}

// refused reports whether the status states that the request has not run.
func refused(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// checkEnded checks that a request that was sent completely got an answer.
func (c *checker) checkEnded(o *outcome) {
	if o.sentAt.IsZero() || o.complete || c.hostFailed(o) {
		return
	}
	took := o.endedAt.Sub(o.sentAt)
	if o.timedOut {
		c.reportOutcome(answeredInTime, o, "the connection is open, the deadline was after %v", callTimeout)
		return
	}
	crossed := len(c.reached[o.id]) == 0 && o.status == 0 && took <= crossingTime
	if crossed || took >= callTimeout-deadlineMargin || c.brokenOff(o) || c.stopInterrupted(o) {
		return
	}
	if o.streams() && o.status == http.StatusOK && c.runnersHad(o, runnerSilent, runnerHangs, runnerSlow) {
		c.reportOutcome(survives, o, "its stream was interrupted")
		return
	}
	c.reportOutcome(answered, o, "its connection ended, reused=%t, reset=%t", o.reused, o.reset)
}

// hostFailed reports whether the request's host was killed or paused.
func (c *checker) hostFailed(o *outcome) bool {
	host := hostName(o.host)
	return c.history.has(host, o.sentAt, o.endedAt, hostKilled) ||
		c.history.has(host, o.sentAt.Add(-aftermath), o.endedAt, hostPaused)
}

// stopInterrupted reports whether the end of a planned stop may have interrupted the request: it came
// before the load balancers had time to learn of the stop.
func (c *checker) stopInterrupted(o *outcome) bool {
	host := hostName(o.host)
	return slices.ContainsFunc(c.history.find(host, o.sentAt, o.endedAt, hostStopped), func(f Fault) bool {
		noticed := f.From.Add(noticeTime)
		if c.history.has(host, f.From, o.endedAt, hostSlowed) {
			noticed = noticed.Add(slowNoticeTime)
		}
		end := f.From.Add(stopLimit(o.host) - stopTail)
		return o.sentAt.Before(noticed.Add(stopAnnounce)) && !o.endedAt.Before(end)
	})
}

// runnersHad reports whether a runner that the request reached had a fault of one
// of the kinds meanwhile.
func (c *checker) runnersHad(o *outcome, kinds ...faultKind) bool {
	return slices.ContainsFunc(c.reached[o.id], func(a reached) bool {
		return c.history.has(runnerName(a.runner.id), o.sentAt, o.endedAt, kinds...)
	})
}

// brokenOff reports whether a runner may have broken off the response.
func (c *checker) brokenOff(o *outcome) bool {
	if c.runnersHad(o, runnerDrops, runnerAnswersEarly, runnerTruncates, runnerSendsBroken, runnerBreaks, runnerBreaksUnframed, runnerEndless) {
		return true
	}
	return slices.ContainsFunc(c.reached[o.id], func(a reached) bool {
		return c.history.has(linkName(a.runner.id), o.sentAt.Add(-aftermath), o.endedAt, linkSilent, linkSilentOneWay, linkReset)
	})
}

func (c *checker) checkContent(o *outcome) {
	if o.surplus > 0 {
		c.reportOutcome(unchanged, o, "%d bytes followed its response", o.surplus)
	}
	if o.broken != nil {
		c.reportOutcome(unchanged, o, "its host sent a broken response: %v", o.broken)
	}
	switch {
	case o.status == http.StatusOK && o.complete:
		c.checkResponse(o)
	case o.status == http.StatusOK && o.streams():
		if !strings.HasPrefix(standin.StreamBody(o.id, streamEvents), o.body) {
			c.reportOutcome(unchanged, o, "its stream has other bytes: %q", o.body)
		}
	case o.status == http.StatusUnauthorized && o.stranger:
	case o.status == http.StatusRequestEntityTooLarge && o.padding > 0, o.status == http.StatusNotFound && o.path == "/extras/":
	case o.status == http.StatusTooManyRequests, o.status == http.StatusRequestTimeout, o.status == http.StatusMisdirectedRequest:
	case o.status >= http.StatusMultipleChoices && o.status < http.StatusInternalServerError:
		c.reportOutcome(permitted, o, "every configuration allows it")
	}
}

// checkCustomer checks that the calls for a request named its customer and had no key, and
// that one whose key nobody holds reached no runner.
func (c *checker) checkCustomer(o *outcome) {
	for _, a := range c.reached[o.id] {
		if o.stranger || a.customer != o.customer || a.withKey {
			c.reportOutcome(keyed, o, "it is of customer %q and reached %s for %q, with a key: %t", o.customer, a.runner.id, a.customer, a.withKey)
		}
	}
}

func (c *checker) checkResponse(o *outcome) {
	if o.streams() {
		if o.body != standin.StreamBody(o.id, streamEvents) {
			c.reportOutcome(unchanged, o, "its stream appears complete but is not: %q", o.body)
		}
		return
	}
	for _, r := range c.runners {
		if o.body == standin.ResponseBody(r.id, o.id) {
			return
		}
	}
	c.reportOutcome(unchanged, o, "no runner sends its response: %q", o.body)
}

func (c *checker) checkRunner(r *runnerRecord) {
	for _, n := range r.runs {
		o := c.byID[n.ID]
		if o == nil {
			c.report(unchanged, n.Started, n.Started, nil, "runner %s ran request %q to %s, which no caller sent, at %s", r.id, n.ID, n.Target, n.Started.UTC().Format("15:04:05.000"))
			continue
		}
		if !n.Unread && n.Body != o.requestBody() {
			c.reportOutcome(unchanged, o, "runner %s got another body: %q", r.id, n.Body)
		}
		if n.Ended.IsZero() {
			c.reportOutcome(released, o, "it still runs on runner %s", r.id)
		}
	}
}

// checkRepeated checks that no connection to a runner has carried an ID twice: a copy of the
// first answer can't be told from the second one.
func (c *checker) checkRepeated(r *runnerRecord) {
	for _, a := range r.repeated {
		c.report(sentOnce, a.At, a.At, []string{runnerName(r.id), linkName(r.id)},
			"a connection to runner %s carried %q again, to %s with stage %q, at %s", r.id, a.ID, a.Target, a.Stage, a.At.UTC().Format("15:04:05.000"))
	}
}

// checkOrders checks that orders with one fence number have one holder, whatever became of them.
func (c *checker) checkOrders(r *runnerRecord) {
	holders := map[uint64]string{}
	for _, o := range r.orders {
		if holder, ok := holders[o.Fence]; ok && holder != o.Holder {
			c.report(fenced, o.At, o.At, []string{runnerName(r.id)}, "%s and %s ordered runner %s with %d", holder, o.Holder, r.id, o.Fence)
		}
		holders[o.Fence] = o.Holder
	}
}

// hostExcused reports whether a host was restarted or paused in the interval.
func (c *checker) hostExcused(host int, from, to time.Time) bool {
	return c.history.has(hostName(host), from, to, hostKilled, hostPaused, hostSlowed, hostStopped)
}

// checkLeaving checks that a runner gets no requests from a host that passed on
// that the runner leaves.
func (c *checker) checkLeaving(r *runnerRecord) {
	for _, f := range c.history.find(runnerName(r.id), time.Time{}, time.Now(), runnerLeaves) {
		known := c.leavingKnown(r, &f)
		for _, a := range r.received {
			o := c.byID[a.ID]
			if o == nil || !f.overlaps(a.At, a.At) || c.earlier(a) {
				continue
			}
			since, ok := known[o.host]
			if ok && o.sentAt.Sub(since) > leavingDelay && !c.hostExcused(o.host, since, a.At) {
				delete(known, o.host) // one report per host is enough
				c.reportOutcome(leftAlone, o, "its host had passed on %v before that runner %s leaves", o.sentAt.Sub(since).Round(time.Millisecond), r.id)
			}
		}
	}
}

// leavingKnown returns when each host first passed on an answer of the fault.
func (c *checker) leavingKnown(r *runnerRecord, f *Fault) map[int]time.Time {
	known := map[int]time.Time{}
	for i := range c.outcomes {
		o := &c.outcomes[i]
		if o.runner != r.id || !o.complete || o.sentAt.Before(f.From) || !f.overlaps(o.endedAt, o.endedAt) {
			continue
		}
		if first, ok := known[o.host]; !ok || o.endedAt.Before(first) {
			known[o.host] = o.endedAt
		}
	}
	return known
}

// checkPauses checks that a host that a runner asked for a pause sends almost
// nothing until its end.
func (c *checker) checkPauses(r *runnerRecord) {
	for _, f := range c.history.find(runnerName(r.id), time.Time{}, time.Now(), runnerAsksPause) {
		reported := map[int]bool{} // by host
		for i, a := range r.received {
			o := c.byID[a.ID]
			if o != nil && f.overlaps(a.At, a.At) && !reported[o.host] {
				reported[o.host] = !c.checkPause(r, o, r.received[i:], a.At)
			}
		}
	}
}

// checkPause checks the pause that a request was answered with. It reports
// whether the pause was kept.
func (c *checker) checkPause(r *runnerRecord, o *outcome, later []standin.Received, at time.Time) bool {
	from, until := at.Add(pauseGrace), at.Add(r.pause)
	arrivals := 0
	for _, a := range later {
		other := c.byID[a.ID]
		if other != nil && other.host == o.host && a.At.After(from) && a.At.Before(until) {
			arrivals++
		}
	}
	if arrivals <= pauseArrivals || c.hostExcused(o.host, at, until) ||
		c.history.has(linkName(r.id), at.Add(-aftermath), until) {
		return true
	}
	c.reportOutcome(pausesKept, o, "runner %s asked its host for a pause of %v, %d requests arrived later than %v in it", r.id, r.pause, arrivals, pauseGrace)
	return false
}

// checkLimits checks that a runner that names a limit gets no more from all hosts together.
func (c *checker) checkLimits(r *runnerRecord) {
	for _, f := range c.history.find(runnerName(r.id), time.Time{}, time.Now(), runnerLimits) {
		arrivals := c.limitedArrivals(r, &f)
		for i, from := range arrivals {
			to := from.Add(limitWindow)
			got := windower.CountBetween(arrivals[i:], from, to)
			if float64(got) <= limitFactor*namedLimit*limitWindow.Seconds()+limitSlack ||
				c.history.has(linkName(r.id), from.Add(-aftermath), to) {
				continue
			}
			c.report(limitKept, from, to, []string{runnerName(r.id)}, "runner %s named a limit of %v a second and got %d requests in %v", r.id, namedLimit, got, limitWindow)
			return
		}
	}
}

// limitedArrivals returns when requests reached a runner, in order, from limitGrace after it has
// first named its limit until the end of the fault. Those of hosts that were restarted or
// paused are left out.
func (c *checker) limitedArrivals(r *runnerRecord, f *Fault) []time.Time {
	var all []time.Time
	var named time.Time
	for _, a := range r.received {
		o := c.byID[a.ID]
		if o == nil || !f.overlaps(a.At, a.At) {
			continue
		}
		if named.IsZero() {
			named = a.At
		}
		if a.At.Sub(named) >= limitGrace && !c.hostExcused(o.host, a.At.Add(-aftermath), a.At) {
			all = append(all, a.At)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// checkBudgets checks the retries of each service in each budgetWindow.
func (c *checker) checkBudgets() {
	first := map[string][]time.Time{}
	extra := map[string][]time.Time{}
	for i := range c.outcomes {
		o := &c.outcomes[i]
		if o.sentAt.IsZero() {
			continue
		}
		all := slices.DeleteFunc(slices.Clone(c.reached[o.id]), func(a reached) bool { return a.prefill })
		slices.SortFunc(all, func(a, b reached) int { return a.at.Compare(b.at) })
		service := "desk"
		if o.streams() {
			service = "notes"
		}
		if len(all) > 0 {
			service = all[0].runner.service
		}
		first[service] = append(first[service], o.sentAt)
		for _, a := range all[min(1, len(all)):] {
			extra[service] = append(extra[service], a.at)
		}
	}
	for service, retries := range extra {
		slices.SortFunc(retries, time.Time.Compare)
		slices.SortFunc(first[service], time.Time.Compare)
		c.checkBudget(service, first[service], retries)
	}
}

func (c *checker) checkBudget(service string, requests, retries []time.Time) {
	for i, from := range retries {
		to := from.Add(budgetWindow)
		spent := windower.CountBetween(retries[i:], from, to)
		counted := max(windower.CountBetween(requests, from, to),
			windower.CountBetween(requests, from.Add(-budgetWindow), from),
			windower.CountBetween(requests, from.Add(-budgetWindow/2), to.Add(-budgetWindow/2)))
		if allowed := c.budget.slack + int(c.budget.ratio*float64(counted)); spent > allowed {
			c.report(budgetKept, from, to, nil, "service %s got %d retries in %v from %s, %d allowed", service, spent, budgetWindow, from.UTC().Format("15:04:05.000"), allowed)
			return
		}
	}
}
