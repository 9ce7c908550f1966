package prover

import (
	"time"
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
