package demonstrator

import (
	"fmt"
	"io"

	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/loader"
)

// Summary is what a demonstration showed.
type Summary struct {
	Load *loader.Report `json:"load"`
	// PrefillTokens were computed, WastedTokens of them were discarded.
	PrefillTokens uint64 `json:"prefill-tokens"`
	WastedTokens  uint64 `json:"wasted-prefill-tokens"`
	// Mismatched answers were not whole, held something twice, or were
	// another request's.
	Mismatched int `json:"mismatched-answers"`
	// AnsweredTwice calls were passed more than one whole answer.
	AnsweredTwice int `json:"calls-answered-twice"`
	// Locks executed in all, and those executed again with a used ticket.
	Locks      int `json:"locks-executed"`
	LocksTwice int `json:"locks-executed-twice"`
	// PiecesHeld are still held at engines although no caller waits.
	PiecesHeld int `json:"engine-pieces-held"`
	// StopFailure says why the planned stop did not end; empty: it did.
	StopFailure string `json:"planned-stop-failure,omitempty"`
}

func (d *demonstration) summarize(r *loader.Report, answeredTwice int) *Summary {
	s := &Summary{Load: r, AnsweredTwice: answeredTwice, Mismatched: r.Mismatched(), PiecesHeld: piecesHeld(d.system.Site)}
	for _, e := range d.system.Site.Engines() {
		stats := e.Stats()
		s.PrefillTokens += stats.PrefillTokens
		s.WastedTokens += stats.DiscardedTokens
	}
	s.Locks, s.LocksTwice = executions(d.system.Site)
	if d.stopErr != nil {
		s.StopFailure = d.stopErr.Error()
	}
	return s
}

func piecesHeld(site *emulator.Site) int {
	held := 0
	for _, e := range site.Engines() {
		held += e.Stats().PiecesHeld
	}
	return held
}

// executions counts the runs of plain calls, and those with a ticket that had
// run before.
func executions(site *emulator.Site) (all, twice int) {
	seen := make(map[string]bool)
	for _, p := range site.Plains() {
		for _, e := range p.RecordedExecutions() {
			all++
			if seen[e.Key] {
				twice++
			}
			seen[e.Key] = true
		}
	}
	return all, twice
}

// WastedShare is the share of prefill tokens that were discarded.
func (s *Summary) WastedShare() float64 {
	if s.PrefillTokens == 0 {
		return 0
	}
	return float64(s.WastedTokens) / float64(s.PrefillTokens)
}

// Broken lists the promises that were broken.
func (s *Summary) Broken() []string {
	var broken []string
	if s.Mismatched > 0 {
		broken = append(broken, fmt.Sprintf("%d answers were not whole, held something twice or were another request's", s.Mismatched))
	}
	if s.AnsweredTwice > 0 {
		broken = append(broken, fmt.Sprintf("%d calls were answered twice", s.AnsweredTwice))
	}
	if s.LocksTwice > 0 {
		broken = append(broken, fmt.Sprintf("%d price locks were executed twice", s.LocksTwice))
	}
	if s.PiecesHeld > 0 {
		broken = append(broken, fmt.Sprintf("%d pieces of engine memory are still held", s.PiecesHeld))
	}
	if s.StopFailure != "" {
		broken = append(broken, "the planned stop did not end: "+s.StopFailure)
	}
	return broken
}

// WriteTable writes the summary for people.
func (s *Summary) WriteTable(w io.Writer) error {
	if err := s.Load.WriteTable(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, `
wasted prefill          %.2f%% of %d tokens
mismatched answers      %d
calls answered twice    %d
locks executed          %d, of them twice %d
engine pieces held      %d
`, 100*s.WastedShare(), s.PrefillTokens, s.Mismatched, s.AnsweredTwice, s.Locks, s.LocksTwice, s.PiecesHeld)
	if err != nil {
		return err
	}
	for _, b := range s.Broken() {
		if _, err := fmt.Fprintln(w, "BROKEN:", b); err != nil {
			return err
		}
	}
	return nil
}
