package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/platform/standin"
)

const (
	callerCount   = 8
	meanCallPause = 40 * time.Millisecond
	callTimeout   = 3 * time.Second
	promptTokens  = 1000
	outputTokens  = 100
)

// outcome is the response that a caller received.
type outcome struct {
	id     identifier.Request
	path   string
	status int // 0 if there was no response
	body   string
	// complete is set if the response body was read without an error.
	complete bool
}

// outcomeLog collects the outcomes of all callers.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes []outcome
}

func newOutcomeLog() *outcomeLog {
	return &outcomeLog{}
}

var requestPaths = []string{"/quotes/", "/locks/", "/locks/", "/notes/", "/digests/"}

// runCaller sends requests over persistent connections until ctx is canceled.
func (s *system) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(number)))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		o := outcome{id: identifier.Request(fmt.Sprintf("c%d-%d", number, n)), path: requestPaths[random.IntN(len(requestPaths))]}
		host := s.hosts[random.IntN(len(s.hosts))]
		send(transport, host, &o)
		s.outcomeLog.mu.Lock()
		s.outcomeLog.outcomes = append(s.outcomeLog.outcomes, o)
		s.outcomeLog.mu.Unlock()
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanCallPause))))
	}
}

// send sends one request exactly once. The body has no GetBody, so the
// transport does not retry the request.
func send(transport *http.Transport, host *process, o *outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := io.NopCloser(strings.NewReader("body of " + string(o.id)))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(host.callers)+o.path+"1", body)
	if err != nil {
		return
	}
	r.ContentLength = int64(len("body of " + string(o.id)))
	r.Host = standin.ConfigHost
	r.Header.Set("X-Request-Id", string(o.id))
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	r.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	response, err := transport.RoundTrip(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	read, err := io.ReadAll(response.Body)
	o.body = string(read)
	o.complete = err == nil
}

// checkGuarantees checks the guarantees of the system against all outcomes.
func (s *system) checkGuarantees() {
	runs := map[identifier.Request]int{}
	for _, r := range s.runners {
		for _, n := range r.Runs() {
			runs[n.ID]++
			if n.Body != "body of "+string(n.ID) {
				s.reportViolation("request %s ran on runner %s with a wrong body: %q", n.ID, r.Options().ID, n.Body)
			}
			if n.Ended.IsZero() {
				s.reportViolation("request %s is still running on runner %s", n.ID, r.Options().ID)
			}
		}
	}
	s.outcomeLog.mu.Lock()
	defer s.outcomeLog.mu.Unlock()
	for i := range s.outcomeLog.outcomes {
		s.checkOutcome(&s.outcomeLog.outcomes[i], runs)
	}
	s.checkHosts()
}

func (s *system) checkOutcome(o *outcome, runs map[identifier.Request]int) {
	s.report.Sent++
	notRepeatable := o.path == "/locks/" || o.path == "/notes/"
	if notRepeatable && runs[o.id] > 1 {
		s.reportViolation("non-repeatable request %s to %s ran %d times", o.id, o.path, runs[o.id])
	}
	if limit := 2; !notRepeatable && runs[o.id] > limit {
		s.reportViolation("request %s to %s ran %d times, its route allows %d", o.id, o.path, runs[o.id], limit)
	}
	switch {
	case o.status == http.StatusOK && o.complete:
		s.report.Served++
		s.checkResponse(o)
	case o.status == http.StatusServiceUnavailable:
		s.report.Refused++
		if runs[o.id] > 0 {
			s.reportViolation("request %s to %s was refused but ran", o.id, o.path)
		}
	default:
		s.report.Failed++
		if o.status == http.StatusOK && !strings.HasPrefix(standin.StreamBody(o.id, streamEvents), o.body) {
			s.reportViolation("request %s received bytes that are not part of its response: %q", o.id, o.body)
		}
	}
}

func (s *system) checkResponse(o *outcome) {
	if o.path == "/notes/" || o.path == "/digests/" {
		if o.body != standin.StreamBody(o.id, streamEvents) {
			s.reportViolation("request %s received a stream that appears complete but is not: %q", o.id, o.body)
		}
		return
	}
	for _, r := range s.runners {
		if o.body == standin.ResponseBody(r.Options().ID, o.id) {
			return
		}
	}
	s.reportViolation("request %s received a response that no runner sends for it: %q", o.id, o.body)
}

// checkHosts checks that every host has recovered and serves the newest
// configuration.
func (s *system) checkHosts() {
	if err := s.awaitReady(recoveryTime); err != nil {
		s.reportViolation("%v", err)
		return
	}
	transport := &http.Transport{DisableKeepAlives: true}
	for n, p := range s.hosts {
		o := outcome{id: identifier.Request(fmt.Sprintf("last-%d", n)), path: standin.ConfigPrefix(s.version)}
		send(transport, p, &o)
		if o.status != http.StatusOK {
			s.reportViolation("host %d returned status %d on the newest route %s", n, o.status, o.path)
		}
	}
	for _, r := range s.runners {
		if used := r.UsedTokens(); used != 0 {
			s.reportViolation("runner %s still holds %d tokens", r.Options().ID, used)
		}
	}
}
