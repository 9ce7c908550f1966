package prover

import (
	"fmt"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// randomInt returns a random number in [0, n).
func (r *Run) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// randomDuration returns a random duration in [low, high).
func (r *Run) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.randomInt(int(high-low)))
}

// randomFloat returns a random number in [0, 1).
func (r *Run) randomFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// RandomLockPlan returns a random plan: the start within span, whether the call is
// duplicated, and the hosts that it is sent to.
func (r *Run) RandomLockPlan(span time.Duration) LockPlan {
	hosts := len(*r.hosts.Load())
	p := LockPlan{
		Start:       r.randomDuration(0, span),
		Issuer:      r.randomInt(hosts),
		Copies:      []int{r.randomInt(hosts)},
		Timeout:     r.randomDuration(200*time.Millisecond, 3*time.Second),
		ResendDelay: r.randomDuration(0, time.Second),
	}
	if r.randomInt(2) == 0 {
		p.Copies = append(p.Copies, r.randomInt(hosts))
	}
	for host := range hosts {
		p.Resends = append(p.Resends, host)
	}
	return p
}

// RandomGeneratePlan returns a random plan for the n-th caller: the service, the
// start within span, the sizes of the prompt and the answer, and whether the
// caller cancels early.
func (r *Run) RandomGeneratePlan(span time.Duration, n int) GeneratePlan {
	p := GeneratePlan{
		Service:     "dealer-desk",
		Start:       r.randomDuration(0, span),
		Host:        r.randomInt(len(*r.hosts.Load())),
		PromptWords: 10 + r.randomInt(2000),
		Tokens:      identifier.Tokens(1 + r.randomInt(150)),
		Timeout:     r.randomDuration(time.Second, 30*time.Second),
		Name:        fmt.Sprint("mixed-", n),
	}
	if r.randomInt(2) == 0 {
		p.Service = "note-writer"
	}
	switch r.randomInt(4) {
	case 0:
		p.CancelAfter = r.randomDuration(time.Millisecond, 2*time.Second)
	case 1:
		p.CancelAtToken = identifier.Tokens(1 + r.randomInt(int(p.Tokens)))
	}
	return p
}
