package loader

import "time"

// Latency targets of urgent answers: the time to first token and the mean time
// between tokens.
const (
	UrgentFirstToken    = 1600 * time.Millisecond
	UrgentBetweenTokens = 47 * time.Millisecond
)

// Range is an inclusive range of uniformly distributed values.
type Range struct {
	Min, Max int
}

// Kind describes one kind of call in a mix.
type Kind struct {
	Name     string
	Service  string
	Customer string
	// Weight is the kind's share of all calls, relative to the others.
	Weight float64
	// Plain kinds call a plain service.
	Plain bool
	// Repeatable kinds don't require a ticket.
	Repeatable bool
	// Urgent kinds request urgency; others leave it to the service.
	Urgent bool
	// PromptTokens is the prompt length, including the shared prefix.
	PromptTokens Range
	// SharedTokens is the length of the prefix that many prompts share.
	SharedTokens int
	// SharedPrefixes is the number of different shared prefixes.
	SharedPrefixes int
	OutputTokens   Range
	// FirstToken and BetweenTokens are the latency targets; 0 disables them.
	// BetweenTokens applies to the mean over an answer.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Deadline is the caller's timeout.
	Deadline time.Duration
}

// TamsuiMix models the morning load of the firm Tamsui: short urgent quotes, the
// remaining notes of the overnight batch, and price locks.
func TamsuiMix() []Kind {
	return []Kind{
		{
			Name: "quote", Service: "dealer-desk", Customer: "taoyuan-dealers", Weight: 70, Repeatable: true, Urgent: true,
			PromptTokens: Range{150, 500}, SharedTokens: 128, SharedPrefixes: 6, OutputTokens: Range{20, 80},
			FirstToken: UrgentFirstToken, BetweenTokens: UrgentBetweenTokens, Deadline: 20 * time.Second,
		},
		{
			Name: "note", Service: "note-writer", Customer: "bulletin-night", Weight: 20, Repeatable: true,
			PromptTokens: Range{1000, 5000}, SharedTokens: 512, SharedPrefixes: 3, OutputTokens: Range{150, 400},
			Deadline: 10 * time.Minute,
		},
		{
			Name: "price-lock", Service: "price-lock", Customer: "kaohsiung-dealers", Weight: 10, Plain: true, Urgent: true,
			PromptTokens: Range{10, 30}, Deadline: 5 * time.Second,
		},
	}
}

// SnyrtinamsMix models the load of the firm Snyrtinams in an intake week: long
// portfolios, short questions from registrars, and seat confirmations.
func SnyrtinamsMix() []Kind {
	return []Kind{
		{
			Name: "portfolio", Service: "yfirlestur", Customer: "intake-batch", Weight: 40, Repeatable: true,
			PromptTokens: Range{4000, 16000}, SharedTokens: 1024, SharedPrefixes: 4, OutputTokens: Range{200, 500},
			Deadline: 15 * time.Minute,
		},
		{
			Name: "question", Service: "innritun", Customer: "registrars", Weight: 50, Repeatable: true, Urgent: true,
			PromptTokens: Range{200, 800}, SharedTokens: 192, SharedPrefixes: 4, OutputTokens: Range{30, 100},
			FirstToken: UrgentFirstToken, BetweenTokens: UrgentBetweenTokens, Deadline: 20 * time.Second,
		},
		{
			Name: "seat", Service: "seat-confirmation", Customer: "registrars", Weight: 10, Plain: true, Urgent: true,
			PromptTokens: Range{10, 30}, Deadline: 5 * time.Second,
		},
	}
}

// Mixes returns the predefined mixes by name.
func Mixes() map[string][]Kind {
	return map[string][]Kind{
		"tamsui":     TamsuiMix(),
		"snyrtinams": SnyrtinamsMix(),
	}
}
