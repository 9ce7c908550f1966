package emulator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// EngineSettings configures the properties and speed of an engine. Zero fields
// take the values of DefaultEngineSettings unless documented otherwise.
type EngineSettings struct {
	Name       identifier.Endpoint
	DataCenter identifier.DataCenter
	Role       compiler.Role
	// Model is the initially loaded model; orders can change it.
	Model   identifier.Model
	Version string
	// Slots bounds the number of requests that are imported or decoding at
	// once.
	Slots int
	// Batch bounds the number of requests in one decode step; 0 means Slots.
	Batch int
	// Pieces is the number of pieces of KV memory. TokensPerPiece is the number
	// of tokens whose KV cache fits into one piece.
	Pieces         int
	TokensPerPiece int
	// StepBase and StepPerRequest determine the duration of a decode step.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// PrefillRate is in tokens per second. ChunkTokens is the maximum number of
	// prefill tokens per step.
	PrefillRate float64
	ChunkTokens int
	// ResultTTL is how long a prefill result waits for its export.
	ResultTTL time.Duration
	// ImportTTL is how long an import waits for its decode stream.
	ImportTTL time.Duration
	// StreamGrace is how long memory is retained after a decode stream broke.
	StreamGrace time.Duration
	// CacheBlocks bounds the prefix cache; a negative value disables it.
	CacheBlocks int
	// CacheEventLag delays cache events. CacheEventLoss is the share of events
	// that is never delivered. Zero disables either.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// LoadLag is the minimum age of load reports; zero means they are current.
	LoadLag time.Duration
	// LoadTime is the time to load a model if there is no weight store.
	LoadTime time.Duration
	// ChecksFence makes the engine refuse orders with an outdated fencing
	// number.
	ChecksFence bool
	// Leaving engines refuse new work.
	Leaving bool
	// Scale divides all durations and multiplies all rates; 0 means 1.
	Scale float64
	// Seed initializes the random generator that selects lost cache events.
	Seed uint64
}

// DefaultEngineSettings returns the settings of an engine of current size, with
// up-to-date load reports and without delay or loss of cache events.
func DefaultEngineSettings() EngineSettings {
	return EngineSettings{
		Role:           compiler.RoleBoth,
		Slots:          20,
		Pieces:         2000,
		TokensPerPiece: 16,
		StepBase:       20 * time.Millisecond,
		StepPerRequest: 600 * time.Microsecond,
		PrefillRate:    8000,
		ChunkTokens:    128,
		ResultTTL:      800 * time.Millisecond,
		ImportTTL:      2 * time.Second,
		StreamGrace:    time.Minute,
		CacheBlocks:    512,
		LoadTime:       2 * time.Second,
		Scale:          1,
	}
}

// RealisticEngineSettings adds the delays and event loss of production engines.
func RealisticEngineSettings() EngineSettings {
	s := DefaultEngineSettings()
	s.CacheEventLag = 500 * time.Millisecond
	s.CacheEventLoss = 0.05
	s.LoadLag = 250 * time.Millisecond
	return s
}

// withDefaults replaces zero fields by their defaults and applies the scale.
func (s EngineSettings) withDefaults() EngineSettings {
	d := DefaultEngineSettings()
	setDefault(&s.Role, d.Role)
	setDefault(&s.Slots, d.Slots)
	setDefault(&s.Batch, s.Slots)
	setDefault(&s.Pieces, d.Pieces)
	setDefault(&s.TokensPerPiece, d.TokensPerPiece)
	setDefault(&s.StepBase, d.StepBase)
	setDefault(&s.StepPerRequest, d.StepPerRequest)
	setDefault(&s.PrefillRate, d.PrefillRate)
	setDefault(&s.ChunkTokens, d.ChunkTokens)
	setDefault(&s.ResultTTL, d.ResultTTL)
	setDefault(&s.ImportTTL, d.ImportTTL)
	setDefault(&s.StreamGrace, d.StreamGrace)
	setDefault(&s.CacheBlocks, d.CacheBlocks)
	setDefault(&s.LoadTime, d.LoadTime)
	setDefault(&s.Scale, d.Scale)
	return s.applyScale()
}

func (s EngineSettings) applyScale() EngineSettings {
	times := []*time.Duration{
		&s.StepBase, &s.StepPerRequest, &s.ResultTTL, &s.ImportTTL,
		&s.StreamGrace, &s.CacheEventLag, &s.LoadLag, &s.LoadTime,
	}
	for _, t := range times {
		*t = time.Duration(float64(*t) / s.Scale)
	}
	s.PrefillRate *= s.Scale
	s.Scale = 1
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// roleNames maps roles to their names in the engine protocol.
var roleNames = map[compiler.Role]string{
	compiler.RolePrefill: "prefill",
	compiler.RoleDecode:  "decode",
	compiler.RoleBoth:    "both",
}

// ParseRole returns the role with the given name in the engine protocol.
func ParseRole(name string) (r compiler.Role, ok bool) {
	for r, n := range roleNames {
		if n == name {
			return r, true
		}
	}
	return 0, false
}
