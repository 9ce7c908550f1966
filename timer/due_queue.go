package timer

// dueQueue is a min-heap of subscriptions, ordered by due time.
type dueQueue []*Subscription

func (q dueQueue) Len() int { return len(q) }

func (q dueQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }

func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) {
	u := x.(*Subscription)
	u.index = len(*q)
	*q = append(*q, u)
}

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	old := *q
	last := len(old) - 1
	u := old[last]
	old[last] = nil
	u.index = -1
	*q = old[:last]
	return u
}
