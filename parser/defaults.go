package parser

import "time"

// Default values of [[service]] keys.
const (
	DefaultObjective       = 0.95
	DefaultTimeout         = 60 * time.Second
	DefaultQueueLimit      = 1000
	DefaultFloorShare      = 0.1
	DefaultAgeLimit        = 5 * time.Minute
	DefaultMaxPromptTokens = 32_000
	DefaultMaxOutputTokens = 2_000
	DefaultRetryRatio      = 0.1
	DefaultRetryCapacity   = 10
	DefaultMaxAttempts     = 3
)

// Default values of [[endpoint]] keys.
const (
	DefaultSlots          = 20
	DefaultPieces         = 2_000
	DefaultTokensPerPiece = 64
)

// SetDefaults implements decoder.Defaulter.
func (s *Service) SetDefaults() {
	s.Kind = KindModel
	s.Urgency = UrgencyUrgent
	s.Repeatable = true
	s.Objective = DefaultObjective
	s.Timeout = DefaultTimeout
	s.QueueLimit = DefaultQueueLimit
	s.FloorShare = DefaultFloorShare
	s.AgeLimit = DefaultAgeLimit
	s.MaxPromptTokens = DefaultMaxPromptTokens
	s.MaxOutputTokens = DefaultMaxOutputTokens
}

// SetDefaults implements decoder.Defaulter.
func (r *Retry) SetDefaults() {
	r.Ratio = DefaultRetryRatio
	r.Capacity = DefaultRetryCapacity
	r.MaxAttempts = DefaultMaxAttempts
}

// SetDefaults implements decoder.Defaulter.
func (e *Endpoint) SetDefaults() {
	e.Slots = DefaultSlots
	e.Pieces = DefaultPieces
	e.TokensPerPiece = DefaultTokensPerPiece
	e.ChecksFence = true
	e.Count = 1
	e.FirstNumber = 1
}

// setDerivedDefaults sets the defaults that depend on other keys.
func (f *File) setDerivedDefaults() {
	kinds := map[string]string{}
	for _, s := range f.Services {
		kinds[string(s.Name)] = s.Kind
	}
	for i := range f.Endpoints {
		e := &f.Endpoints[i]
		if e.Owner == "" {
			e.Owner = f.Firm
		}
		if e.Role == "" {
			e.Role = defaultRole(kinds[string(e.Service)])
		}
	}
	for i := range f.Customers {
		if f.Customers[i].Firm == "" {
			f.Customers[i].Firm = f.Firm
		}
	}
}

func defaultRole(kind string) string {
	if kind == KindPlain {
		return RolePlain
	}
	return RoleBoth
}
