package prover

import (
	"fmt"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// draw gives a number from 0 to n-1.
func (r *Run) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// drawDuration gives a time from least up to most.
func (r *Run) drawDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(r.draw(int(most-least)))
}

// drawShare gives a number between 0 and 1.
func (r *Run) drawShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}

// DrawLock draws what a caller does: when it starts within the span, whether
// its call is duplicated, and where it resends it to.
func (r *Run) DrawLock(span time.Duration) LockPlan {
	hosts := len(*r.hosts.Load())
	p := LockPlan{
		Start:   r.drawDuration(0, span),
		Issuer:  r.draw(hosts),
		Copies:  []int{r.draw(hosts)},
		Timeout: r.drawDuration(200*time.Millisecond, 3*time.Second),
		Pause:   r.drawDuration(0, time.Second),
	}
	if r.draw(2) == 0 {
		p.Copies = append(p.Copies, r.draw(hosts))
	}
	for host := range hosts {
		p.Resends = append(p.Resends, host)
	}
	return p
}

// DrawGenerate draws what the n-th caller does: which service it asks, when it
// starts within the span, how much it asks for, and whether it leaves early.
func (r *Run) DrawGenerate(span time.Duration, n int) GeneratePlan {
	p := GeneratePlan{
		Service:     "dealer-desk",
		Start:       r.drawDuration(0, span),
		Host:        r.draw(len(*r.hosts.Load())),
		PromptWords: 10 + r.draw(2000),
		Tokens:      identifier.Tokens(1 + r.draw(150)),
		Timeout:     r.drawDuration(time.Second, 30*time.Second),
		Name:        fmt.Sprint("mixed-", n),
	}
	if r.draw(2) == 0 {
		p.Service = "note-writer"
	}
	switch r.draw(4) {
	case 0:
		p.CancelAfter = r.drawDuration(time.Millisecond, 2*time.Second)
	case 1:
		p.CancelAtToken = identifier.Tokens(1 + r.draw(int(p.Tokens)))
	}
	return p
}
