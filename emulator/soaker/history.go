package soaker

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// faultKind is what a fault does to its subject.
type faultKind string

const (
	hostKilled   faultKind = "killed"
	hostPaused   faultKind = "paused"
	hostSlowed   faultKind = "slowed"
	hostStopped  faultKind = "stopped gracefully"
	hostReloaded faultKind = "reloaded"

	linkDelayed       faultKind = "delayed"
	linkNarrow        faultKind = "narrow"
	linkSilent        faultKind = "silent in both directions"
	linkSilentOneWay  faultKind = "silent towards the server"
	linkReset         faultKind = "reset"
	storeRestored     faultKind = "restored from a copy"
	configurationSent faultKind = "changed"

	runnerRejects        faultKind = "rejects"
	runnerCopies         faultKind = "writes copies of refusals"
	runnerChangesStage   faultKind = "changes its stage"
	runnerDrops          faultKind = "drops responses"
	runnerHangs          faultKind = "hangs"
	runnerTruncates      faultKind = "truncates"
	runnerSendsBroken    faultKind = "sends broken answers"
	runnerAnswersEarly   faultKind = "answers before it has read a body"
	runnerSendsExtra     faultKind = "sends extra responses"
	runnerExpires        faultKind = "expires handles"
	runnerBreaks         faultKind = "breaks off streams"
	runnerBreaksUnframed faultKind = "breaks off streams without length and chunks"
	runnerEndless        faultKind = "sends headers without end"
	runnerSilent         faultKind = "is silent"
	runnerSlow           faultKind = "is slow"
	runnerLeaves         faultKind = "announces that it leaves"
	runnerAsksPause      faultKind = "asks for pauses"
	runnerLimits         faultKind = "names a limit"
	runnerDeregistered   faultKind = "deregistered"
)

// Fault is one injected fault. Faults of the same subject may overlap.
type Fault struct {
	Kind faultKind
	// Subject is a host, a runner, a link, the store or the configuration.
	Subject string
	From    time.Time
	// To is zero while the fault lasts.
	To time.Time
}

func (f Fault) String() string {
	if f.To.IsZero() {
		return fmt.Sprintf("%s %s until the end", f.Subject, f.Kind)
	}
	return fmt.Sprintf("%s %s for %v", f.Subject, f.Kind, f.To.Sub(f.From).Round(time.Millisecond))
}

// overlaps reports whether the fault was on at some time of the interval.
func (f *Fault) overlaps(from, to time.Time) bool {
	return !f.From.After(to) && (f.To.IsZero() || !f.To.Before(from))
}

// history records all faults.
type history struct {
	mu     sync.Mutex
	faults []*Fault
}

// begin records a fault and returns the function that records its end.
func (h *history) begin(k faultKind, subject string) (end func()) {
	f := &Fault{Kind: k, Subject: subject, From: time.Now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, f)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		f.To = time.Now()
	}
}

func (h *history) all() []Fault {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]Fault, len(h.faults))
	for i, f := range h.faults {
		all[i] = *f
	}
	return all
}

// find returns the faults of the subject during the interval; no kinds means all.
func (h *history) find(subject string, from, to time.Time, kinds ...faultKind) []Fault {
	var found []Fault
	for _, f := range h.all() {
		if f.Subject == subject && f.overlaps(from, to) && (len(kinds) == 0 || slices.Contains(kinds, f.Kind)) {
			found = append(found, f)
		}
	}
	return found
}

func (h *history) has(subject string, from, to time.Time, kinds ...faultKind) bool {
	return len(h.find(subject, from, to, kinds...)) > 0
}

func hostName(n int) string {
	return fmt.Sprintf("host %d", n)
}

func runnerName(id string) string {
	return "runner " + id
}

func linkName(runner string) string {
	return "link to runner " + runner
}
