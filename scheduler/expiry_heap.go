package scheduler

// notRanked is the rank of an entry outside the heap.
const notRanked = -1

// expiryHeap orders entries by expiry, the earliest first.
type expiryHeap[K comparable, V any] []*Entry[K, V]

func (h expiryHeap[K, V]) Len() int { return len(h) }

func (h expiryHeap[K, V]) Less(i, j int) bool { return h[i].Expiry.Before(h[j].Expiry) }

func (h expiryHeap[K, V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryRank = i
	h[j].expiryRank = j
}

// Push implements heap.Interface.
func (h *expiryHeap[K, V]) Push(x any) {
	e := x.(*Entry[K, V])
	e.expiryRank = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap[K, V]) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	e.expiryRank = notRanked
	*h = old[:last]
	return e
}
