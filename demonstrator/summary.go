package demonstrator

import (
	"fmt"
	"io"

	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/loader"
)

// Summary holds the results of a demonstration.
type Summary struct {
	Load *loader.Report `json:"load"`
	// PrefillTokens were computed; WastedTokens is the part that was discarded.
	PrefillTokens uint64 `json:"prefill-tokens"`
	WastedTokens  uint64 `json:"wasted-prefill-tokens"`
	// Mismatched counts the answers that were incomplete, contained duplicate
	// text or belonged to another request.
	Mismatched int `json:"mismatched-answers"`
	// AnsweredTwice counts the calls that received more than one complete answer.
	AnsweredTwice int `json:"calls-answered-twice"`
	// Locks counts all executed locks; RepeatedLocks counts those executed again
	// with a used ticket.
	Locks         int `json:"locks-executed"`
	RepeatedLocks int `json:"locks-executed-twice"`
	// PiecesHeld counts the pieces of KV memory that engines hold after all calls
	// ended.
	PiecesHeld int `json:"engine-pieces-held"`
	// StopFailure is the error of the planned stop; empty if it succeeded.
	StopFailure string `json:"planned-stop-failure,omitempty"`
}

func (d *demonstration) summarize(r *loader.Report, answeredTwice int) *Summary {
	s := &Summary{Load: r, AnsweredTwice: answeredTwice, Mismatched: r.Mismatched(), PiecesHeld: piecesHeld(d.system.Site)}
	for _, e := range d.system.Site.Engines() {
		stats := e.Stats()
		s.PrefillTokens += stats.PrefillTokens
		s.WastedTokens += stats.DiscardedTokens
	}
	s.Locks, s.RepeatedLocks = countExecutions(d.system.Site)
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

// countExecutions returns the number of executions of plain calls, and of those
// whose key had been executed before.
func countExecutions(site *emulator.Site) (total, repeated int) {
	seen := make(map[string]bool)
	for _, p := range site.Plains() {
		for _, e := range p.RecordedExecutions() {
			total++
			if seen[e.Key] {
				repeated++
			}
			seen[e.Key] = true
		}
	}
	return total, repeated
}

// WastedShare returns the share of prefill tokens that were discarded.
func (s *Summary) WastedShare() float64 {
	if s.PrefillTokens == 0 {
		return 0
	}
	return float64(s.WastedTokens) / float64(s.PrefillTokens)
}

// BrokenPromises describes each broken promise.
func (s *Summary) BrokenPromises() []string {
	var broken []string
	if s.Mismatched > 0 {
		broken = append(broken, fmt.Sprintf("%d answers were incomplete, contained duplicate text or belonged to another request", s.Mismatched))
	}
	if s.AnsweredTwice > 0 {
		broken = append(broken, fmt.Sprintf("%d calls were answered twice", s.AnsweredTwice))
	}
	if s.RepeatedLocks > 0 {
		broken = append(broken, fmt.Sprintf("%d price locks were executed twice", s.RepeatedLocks))
	}
	if s.PiecesHeld > 0 {
		broken = append(broken, fmt.Sprintf("%d pieces of engine memory are still held", s.PiecesHeld))
	}
	if s.StopFailure != "" {
		broken = append(broken, "the planned stop failed: "+s.StopFailure)
	}
	return broken
}

// WriteTable writes the summary as a human-readable table.
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
`, 100*s.WastedShare(), s.PrefillTokens, s.Mismatched, s.AnsweredTwice, s.Locks, s.RepeatedLocks, s.PiecesHeld)
	if err != nil {
		return err
	}
	for _, b := range s.BrokenPromises() {
		if _, err := fmt.Fprintln(w, "BROKEN:", b); err != nil {
			return err
		}
	}
	return nil
}
