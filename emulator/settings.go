package emulator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// EngineSettings says what an engine is and how fast it works. Zero fields
// take the values of DefaultEngineSettings, but for those that say otherwise.
type EngineSettings struct {
	Name       identifier.Endpoint
	DataCenter identifier.DataCenter
	Role       compiler.Role
	// Model is the first model loaded; orders may change it.
	Model   identifier.Model
	Version string
	// Slots bounds the requests that are imported or decoded at once.
	Slots int
	// Batch bounds the requests of one decode step; 0: Slots.
	Batch int
	// Pieces of KV memory, and tokens whose KV cache one piece holds.
	Pieces         int
	TokensPerPiece int
	// StepBase and StepPerRequest make up the time of a decode step.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// PrefillRate in tokens a second; ChunkTokens are done in one step.
	PrefillRate float64
	ChunkTokens int
	// ResultKeep is how long a prefill's result waits for its export.
	ResultKeep time.Duration
	// ImportKeep is how long an import waits for its decode stream.
	ImportKeep time.Duration
	// StreamGrace is how long memory is kept after a decode stream broke.
	StreamGrace time.Duration
	// CacheBlocks bounds the prefix cache; negative: no cache.
	CacheBlocks int
	// CacheEventLag delays cache events; CacheEventLoss is the share of
	// them that is never sent. Zero means none.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// LoadLag is the least age of load reports; zero: they are current.
	LoadLag time.Duration
	// LoadTime is how long a model takes to load without a weight store.
	LoadTime time.Duration
	// ChecksFence tells whether orders with an old fencing number are refused.
	ChecksFence bool
	// Leaving engines refuse new work.
	Leaving bool
	// Scale divides all times and multiplies all rates; 0: 1.
	Scale float64
	// Seed drives the loss of cache events.
	Seed uint64
}

// DefaultEngineSettings gives an engine of today's size, with current load
// reports and cache events that are neither late nor lost.
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
		ResultKeep:     800 * time.Millisecond,
		ImportKeep:     2 * time.Second,
		StreamGrace:    time.Minute,
		CacheBlocks:    512,
		LoadTime:       2 * time.Second,
		Scale:          1,
	}
}

// RealisticEngineSettings adds the lags and losses that engines have in use.
func RealisticEngineSettings() EngineSettings {
	s := DefaultEngineSettings()
	s.CacheEventLag = 500 * time.Millisecond
	s.CacheEventLoss = 0.05
	s.LoadLag = 250 * time.Millisecond
	return s
}

// complete fills zero fields from the defaults and applies the scale.
func (s EngineSettings) complete() EngineSettings {
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
	setDefault(&s.ResultKeep, d.ResultKeep)
	setDefault(&s.ImportKeep, d.ImportKeep)
	setDefault(&s.StreamGrace, d.StreamGrace)
	setDefault(&s.CacheBlocks, d.CacheBlocks)
	setDefault(&s.LoadTime, d.LoadTime)
	setDefault(&s.Scale, d.Scale)
	return s.scaled()
}

func (s EngineSettings) scaled() EngineSettings {
	times := []*time.Duration{
		&s.StepBase, &s.StepPerRequest, &s.ResultKeep, &s.ImportKeep,
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

// roleNames are the roles as the engines' protocol spells them.
var roleNames = map[compiler.Role]string{
	compiler.RolePrefill: "prefill",
	compiler.RoleDecode:  "decode",
	compiler.RoleBoth:    "both",
}

// ParseRole gives the role that the engines' protocol calls name.
func ParseRole(name string) (r compiler.Role, ok bool) {
	for r, n := range roleNames {
		if n == name {
			return r, true
		}
	}
	return 0, false
}
