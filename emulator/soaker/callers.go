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
	callersCount = 8
	callPause    = 40 * time.Millisecond
	callPatience = 3 * time.Second
	soakPrompt   = 1000
	soakOutput   = 100
)

// outcome is what a caller got.
type outcome struct {
	id     identifier.Request
	path   string
	status int // 0: no answer
	body   string
	// whole is set if the answer ended as it should.
	whole bool
}

// ledger keeps what callers got.
type ledger struct {
	mu       sync.Mutex
	outcomes []outcome
}

func newLedger() *ledger {
	return &ledger{}
}

var paths = []string{"/quotes/", "/locks/", "/locks/", "/notes/", "/digests/"}

// call sends requests until ctx ends, on connections that are kept.
func (s *site) call(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(number)))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		o := outcome{id: identifier.Request(fmt.Sprintf("c%d-%d", number, n)), path: paths[random.IntN(len(paths))]}
		at := s.hosts[random.IntN(len(s.hosts))]
		send(transport, at, &o)
		s.ledger.mu.Lock()
		s.ledger.outcomes = append(s.ledger.outcomes, o)
		s.ledger.mu.Unlock()
		time.Sleep(time.Duration(random.Int64N(int64(2 * callPause))))
	}
}

// send sends one request once: the transport repeats nothing that has a body
// and no GetBody.
func send(transport *http.Transport, at *process, o *outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	body := io.NopCloser(strings.NewReader("body of " + string(o.id)))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(at.callers)+o.path+"1", body)
	if err != nil {
		return
	}
	r.ContentLength = int64(len("body of " + string(o.id)))
	r.Host = standin.ConfigHost
	r.Header.Set("X-Request-Id", string(o.id))
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(callPatience.Milliseconds()))
	r.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", soakPrompt, soakOutput))
	response, err := transport.RoundTrip(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	read, err := io.ReadAll(response.Body)
	o.body = string(read)
	o.whole = err == nil
}

// judge checks the promises.
func (s *site) judge() {
	runs := map[identifier.Request]int{}
	for _, r := range s.runners {
		for _, n := range r.Runs() {
			runs[n.ID]++
			if n.Body != "body of "+string(n.ID) {
				s.broken("request %s ran at %s with another body: %q", n.ID, r.Options().ID, n.Body)
			}
			if n.Ended.IsZero() {
				s.broken("request %s still runs at %s", n.ID, r.Options().ID)
			}
		}
	}
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	for i := range s.ledger.outcomes {
		s.judgeOne(&s.ledger.outcomes[i], runs)
	}
	s.judgeHosts()
}

func (s *site) judgeOne(o *outcome, runs map[identifier.Request]int) {
	s.report.Sent++
	once := o.path == "/locks/" || o.path == "/notes/"
	if once && runs[o.id] > 1 {
		s.broken("request %s to %s ran %d times", o.id, o.path, runs[o.id])
	}
	if most := 2; !once && runs[o.id] > most {
		s.broken("request %s to %s ran at %d runners, its route allows %d", o.id, o.path, runs[o.id], most)
	}
	switch {
	case o.status == http.StatusOK && o.whole:
		s.report.Served++
		s.judgeAnswer(o)
	case o.status == http.StatusServiceUnavailable:
		s.report.Refused++
		if runs[o.id] > 0 {
			s.broken("request %s to %s was refused and ran", o.id, o.path)
		}
	default:
		s.report.Failed++
		if o.status == http.StatusOK && !strings.HasPrefix(standin.StreamBody(o.id, soakEvents), o.body) {
			s.broken("request %s got bytes that are no part of its answer: %q", o.id, o.body)
		}
	}
}

func (s *site) judgeAnswer(o *outcome) {
	if o.path == "/notes/" || o.path == "/digests/" {
		if o.body != standin.StreamBody(o.id, soakEvents) {
			s.broken("request %s got a stream that looks whole and isn't: %q", o.id, o.body)
		}
		return
	}
	for _, r := range s.runners {
		if o.body == standin.ResponseBody(r.Options().ID, o.id) {
			return
		}
	}
	s.broken("request %s got an answer that isn't its own: %q", o.id, o.body)
}

// judgeHosts checks that every host serves again, by the newest configuration.
func (s *site) judgeHosts() {
	if err := s.awaitReady(calm); err != nil {
		s.broken("%v", err)
		return
	}
	transport := &http.Transport{DisableKeepAlives: true}
	for n, p := range s.hosts {
		o := outcome{id: identifier.Request(fmt.Sprintf("last-%d", n)), path: standin.ConfigPrefix(s.version)}
		send(transport, p, &o)
		if o.status != http.StatusOK {
			s.broken("host %d answers %d on the newest route %s", n, o.status, o.path)
		}
	}
	for _, r := range s.runners {
		if used := r.UsedTokens(); used != 0 {
			s.broken("runner %s still holds %d tokens", r.Options().ID, used)
		}
	}
}
