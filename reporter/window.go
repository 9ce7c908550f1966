package reporter

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire"
)

// WindowLengths are the lengths of the windows, shortest first.
var WindowLengths = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// MaxBurnRate caps the burn rate, which would be infinite for an objective that
// allows no bad samples.
const MaxBurnRate = 1e6

// Burn rate thresholds of the multi-window alerts. Both windows of a pair must
// reach the threshold.
const (
	fastBurnThreshold = 14.4 // 1-hour and 5-minute windows
	slowBurnThreshold = 6    // 6-hour and 30-minute windows
)

// Window holds the sample counts of a target over a time window.
type Window struct {
	Service   identifier.Service
	Target    string
	Length    time.Duration
	Good      uint64
	Total     uint64
	Objective float64
}

// BurnRate returns the share of bad samples divided by the allowed share. It is
// 0 for a window without samples and at most MaxBurnRate.
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

// windowKey identifies a window within a host's report.
type windowKey struct {
	service identifier.Service
	target  string
	length  time.Duration
}

// Merge adds up the windows of several hosts and sorts them by service, target
// and length. If hosts disagree on an objective, for example while a revision
// propagates, the strictest one applies.
func Merge(reports ...[]Window) []Window {
	sums := make(map[windowKey]*Window)
	for _, report := range reports {
		for _, w := range report {
			addWindow(sums, w)
		}
	}
	merged := make([]Window, 0, len(sums))
	for _, w := range sums {
		merged = append(merged, *w)
	}
	slices.SortFunc(merged, compareWindows)
	return merged
}

func addWindow(sums map[windowKey]*Window, w Window) {
	k := windowKey{service: w.Service, target: w.Target, length: w.Length}
	sum, ok := sums[k]
	if !ok {
		sums[k] = &w
		return
	}
	sum.Good += w.Good
	sum.Total += w.Total
	sum.Objective = max(sum.Objective, w.Objective)
}

func compareWindows(a, b Window) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.Length, b.Length),
	)
}

// ToWire converts windows to messages of the operator API.
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

// FromWire converts messages of the operator API to windows.
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

// Level is the alert level of a target's burn rate.
type Level string

// Levels.
const (
	LevelOK Level = "ok"
	// LevelSlowBurn requires attention within a day.
	LevelSlowBurn Level = "slow-burn"
	// LevelFastBurn requires immediate attention.
	LevelFastBurn Level = "fast-burn"
)

// Row groups the windows of a service's target.
type Row struct {
	Service identifier.Service
	Target  string
	Windows []Window
}

// Rows groups windows by service and target.
func Rows(windows []Window) []Row {
	sorted := slices.Clone(windows)
	slices.SortFunc(sorted, compareWindows)
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

// Level returns the alert level. Both windows of a pair must reach the
// threshold: the long window shows that the burn is significant, the short one
// that it is still going on.
func (r Row) Level() Level {
	switch {
	case r.burnsAtLeast(time.Hour, fastBurnThreshold) && r.burnsAtLeast(5*time.Minute, fastBurnThreshold):
		return LevelFastBurn
	case r.burnsAtLeast(6*time.Hour, slowBurnThreshold) && r.burnsAtLeast(30*time.Minute, slowBurnThreshold):
		return LevelSlowBurn
	default:
		return LevelOK
	}
}

func (r Row) burnsAtLeast(length time.Duration, threshold float64) bool {
	for _, w := range r.Windows {
		if w.Length == length {
			return w.BurnRate() >= threshold
		}
	}
	return false
}
