package scheduler

// notInHeap is the heap index of an entry that has no expiry.
const notInHeap = -1

// expiryHeap is a min-heap of entries by expiry. It implements heap.Interface.
type expiryHeap[K comparable, V any] []*Entry[K, V]

func (h expiryHeap[K, V]) Len() int { return len(h) }

func (h expiryHeap[K, V]) Less(i, j int) bool { return h[i].Expiry.Before(h[j].Expiry) }

func (h expiryHeap[K, V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap[K, V]) Push(x any) {
	e := x.(*Entry[K, V])
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap[K, V]) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	e.heapIndex = notInHeap
	*h = old[:last]
	return e
}
