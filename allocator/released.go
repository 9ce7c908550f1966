package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// releasedSet holds recently ended attempts, so that delayed reports and lists
// don't add them again.
type releasedSet struct {
	times map[identifier.Attempt]time.Time
	order []identifier.Attempt
}

func newReleasedSet() releasedSet {
	return releasedSet{times: map[identifier.Attempt]time.Time{}}
}

func (s *releasedSet) add(a identifier.Attempt, now time.Time) {
	if _, ok := s.times[a]; ok {
		return
	}
	s.times[a] = now
	s.order = append(s.order, a)
}

func (s *releasedSet) has(a identifier.Attempt) bool {
	_, ok := s.times[a]
	return ok
}

func (s *releasedSet) at(a identifier.Attempt) (time.Time, bool) {
	t, ok := s.times[a]
	return t, ok
}

// expire removes the attempts that ended before the time.
func (s *releasedSet) expire(before time.Time) {
	n := 0
	for n < len(s.order) && s.times[s.order[n]].Before(before) {
		delete(s.times, s.order[n])
		n++
	}
	s.order = s.order[n:]
}
