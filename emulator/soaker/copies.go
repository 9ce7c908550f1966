package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/platform/standin"
)

const (
	// copyStream is the stream of random numbers for copies of refusals. It isn't that of the
	// other faults, so that those of the regression seeds stay the same.
	copyStream = 1 << 32
	// Bounds of the pause between two faults, and of their duration.
	minCopyPause    = 300 * time.Millisecond
	maxCopyPause    = 1500 * time.Millisecond
	minCopyDuration = 300 * time.Millisecond
	maxCopyDuration = 2 * time.Second
	// maxCopyDelay is the longest time from a refusal, or from a later call, to the copies.
	maxCopyDelay = 40 * time.Millisecond
	// A runner that writes copies refuses all requests, or one in up to maxCopiedShare.
	maxCopiedShare = 3
	// maxStageNewsDelay is the longest time from an engine's change of stage until its entry
	// says so.
	maxStageNewsDelay = 60 * time.Millisecond
	// stageShare is the share of changes of stage among the faults, as one in so many.
	stageShare = 3
)

// copyFaults makes runners write copies of their refusals, in series that overlap with all other
// faults.
type copyFaults struct {
	system *system
	random *rand.Rand
	group  *grouper.Group
}

// injectCopies injects copies of refusals until the deadline, or until ctx is canceled, and waits
// for the end of the faults.
func (s *system) injectCopies(ctx context.Context, deadline time.Time) {
	f := &copyFaults{system: s, random: rand.New(rand.NewPCG(s.options.Seed, copyStream)), group: grouper.New(ctx)}
	for ctx.Err() == nil && time.Now().Before(deadline) {
		f.injectNext()
		time.Sleep(f.duration(minCopyPause, maxCopyPause))
	}
	_ = f.group.Wait() // its goroutines return no error
}

// injectNext starts the next fault.
func (f *copyFaults) injectNext() {
	copies, status, share := f.copies(), f.status(), 1+f.random.IntN(maxCopiedShare)
	set := func(o *standin.RunnerOptions) {
		o.Copies, o.RejectStatus, o.RejectEvery = copies, status, share
	}
	d := f.duration(minCopyDuration, maxCopyDuration)
	if f.random.IntN(stageShare) == 0 {
		engines := f.runners(func(o standin.RunnerOptions) bool { return o.Stage != "" })
		f.changeStages(engines[f.random.IntN(len(engines))], set, d)
		return
	}
	service := []string{"desk", "counter", "notes"}[f.random.IntN(3)]
	for _, r := range f.runners(func(o standin.RunnerOptions) bool { return o.Service == service }) {
		f.inject(runnerCopies, r, func() {
			r.UpdateOptions(set)
			time.Sleep(d)
			r.UpdateOptions(endCopies)
		})
	}
}

func endCopies(o *standin.RunnerOptions) {
	o.Copies, o.RejectStatus, o.RejectEvery = standin.Copies{}, 0, 0
}

// inject runs a fault of a runner, unless it has one of the kind.
func (f *copyFaults) inject(k faultKind, r *standin.Runner, run func()) {
	h, subject, now := f.system.history, runnerName(r.Options().ID), time.Now()
	if h.has(subject, now, now, k) {
		return
	}
	finish := h.begin(k, subject)
	f.group.Run(func(context.Context) {
		run()
		finish()
	})
}

// changeStages changes the stage of an engine several times. It refuses the calls for its
// earlier stage, and some others, with copies; its hosts learn of each change later.
func (f *copyFaults) changeStages(r *standin.Runner, set func(*standin.RunnerOptions), d time.Duration) {
	changes, delay := 2*(1+f.random.IntN(maxSeries)), f.duration(0, maxStageNewsDelay)
	f.inject(runnerChangesStage, r, func() {
		r.UpdateOptions(set)
		for range changes {
			r.UpdateOptions(func(o *standin.RunnerOptions) { o.Stage = otherStage(o.Stage) })
			time.Sleep(delay)
			r.Register("ready")
			time.Sleep(d / time.Duration(changes))
		}
		r.UpdateOptions(endCopies)
	})
}

func otherStage(stage string) string {
	if stage == "prefill" {
		return "decode"
	}
	return "prefill"
}

// copies draws when and how often refusals are copied.
func (f *copyFaults) copies() standin.Copies {
	times := []standin.CopyTime{standin.CopyEarly, standin.CopyLate, standin.CopyAtRepetition, standin.CopyAtRepetition}
	return standin.Copies{
		When:  times[f.random.IntN(len(times))],
		Count: []int{1, 2, 5}[f.random.IntN(3)],
		Delay: []time.Duration{0, f.duration(0, maxCopyDelay)}[f.random.IntN(2)],
	}
}

// status draws the status of refusals.
func (f *copyFaults) status() int {
	return []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest}[f.random.IntN(3)]
}

func (f *copyFaults) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

// runners returns the runners whose options match.
func (f *copyFaults) runners(matches func(standin.RunnerOptions) bool) []*standin.Runner {
	return slices.DeleteFunc(slices.Clone(f.system.runners), func(r *standin.Runner) bool { return !matches(r.Options()) })
}
