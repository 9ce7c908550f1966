package reporter

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire"
)

// Lengths of the windows, shortest first.
var Lengths = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// MaxBurnRate is given where the objective allows no bad sample.
const MaxBurnRate = 1e6

// Burn rates from which both windows of a pair raise the level.
const (
	fastBurn = 14.4 // over one hour and five minutes
	slowBurn = 6    // over six hours and thirty minutes
)

// Window is the use of one target's error budget over one window.
type Window struct {
	Service   identifier.Service
	Target    string
	Length    time.Duration
	Good      uint64
	Total     uint64
	Objective float64
}

// BurnRate gives the share of bad samples divided by the share allowed; 0 for
// a window without samples, at most MaxBurnRate.
func (w Window) BurnRate() float64 {
	if w.Total == 0 || w.Good >= w.Total {
		return 0
	}
	bad := float64(w.Total-w.Good) / float64(w.Total)
	allowed := 1 - w.Objective
	if allowed <= bad/MaxBurnRate {
		return MaxBurnRate
	}
	return bad / allowed
}

// key names a window among those of one host.
type key struct {
	service identifier.Service
	target  string
	length  time.Duration
}

// Merge adds up the windows of several hosts, sorted by service, target and
// length. Where hosts disagree on an objective, for example while a revision
// spreads, the strictest is taken.
func Merge(reports ...[]Window) []Window {
	sums := make(map[key]*Window)
	for _, report := range reports {
		for _, w := range report {
			addTo(sums, w)
		}
	}
	merged := make([]Window, 0, len(sums))
	for _, w := range sums {
		merged = append(merged, *w)
	}
	slices.SortFunc(merged, compare)
	return merged
}

func addTo(sums map[key]*Window, w Window) {
	k := key{service: w.Service, target: w.Target, length: w.Length}
	sum, ok := sums[k]
	if !ok {
		sums[k] = &w
		return
	}
	sum.Good += w.Good
	sum.Total += w.Total
	sum.Objective = max(sum.Objective, w.Objective)
}

func compare(a, b Window) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.Length, b.Length),
	)
}

// ToWire gives the windows as the operators' interface carries them.
func ToWire(windows []Window) []*operatorwire.BurnWindow {
	wire := make([]*operatorwire.BurnWindow, 0, len(windows))
	for _, w := range windows {
		wire = append(wire, &operatorwire.BurnWindow{
			Service:   string(w.Service),
			Target:    w.Target,
			WindowMs:  uint64(w.Length.Milliseconds()),
			Good:      w.Good,
			Total:     w.Total,
			BurnRate:  w.BurnRate(),
			Objective: w.Objective,
		})
	}
	return wire
}

// FromWire reads windows from the operators' interface.
func FromWire(wire []*operatorwire.BurnWindow) []Window {
	windows := make([]Window, 0, len(wire))
	for _, w := range wire {
		windows = append(windows, Window{
			Service:   identifier.Service(w.GetService()),
			Target:    w.GetTarget(),
			Length:    time.Duration(w.GetWindowMs()) * time.Millisecond,
			Good:      w.GetGood(),
			Total:     w.GetTotal(),
			Objective: w.GetObjective(),
		})
	}
	return windows
}

// Level says how urgent a target's burn is.
type Level string

// Levels.
const (
	LevelOK Level = "ok"
	// LevelSlowBurn asks for a look within the day.
	LevelSlowBurn Level = "slow-burn"
	// LevelFastBurn asks for a look at once.
	LevelFastBurn Level = "fast-burn"
)

// Row is one target of one service with all its windows.
type Row struct {
	Service identifier.Service
	Target  string
	Windows []Window
}

// Rows groups windows by service and target.
func Rows(windows []Window) []Row {
	sorted := slices.Clone(windows)
	slices.SortFunc(sorted, compare)
	var rows []Row
	for _, w := range sorted {
		last := len(rows) - 1
		if last < 0 || rows[last].Service != w.Service || rows[last].Target != w.Target {
			rows = append(rows, Row{Service: w.Service, Target: w.Target})
			last++
		}
		rows[last].Windows = append(rows[last].Windows, w)
	}
	return rows
}

// Level compares two windows of a pair with its threshold: the long one shows
// that the burn matters, the short one that it goes on.
func (r Row) Level() Level {
	switch {
	case r.burns(time.Hour, fastBurn) && r.burns(5*time.Minute, fastBurn):
		return LevelFastBurn
	case r.burns(6*time.Hour, slowBurn) && r.burns(30*time.Minute, slowBurn):
		return LevelSlowBurn
	default:
		return LevelOK
	}
}

func (r Row) burns(length time.Duration, threshold float64) bool {
	for _, w := range r.Windows {
		if w.Length == length {
			return w.BurnRate() >= threshold
		}
	}
	return false
}
