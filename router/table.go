package router

// notInHeap is the position of an endpoint that is unavailable.
const notInHeap = -1

// Table holds the loads of the available endpoints in a min-heap. Endpoints are
// numbered from 0.
type Table struct {
	loads []float64
	// positions holds each endpoint's index in heap, or notInHeap.
	positions []int32
	heap      []int32
}

// NewTable returns a table of n endpoints, none of which is available.
func NewTable(n int) *Table {
	t := &Table{loads: make([]float64, n), positions: make([]int32, n), heap: make([]int32, 0, n)}
	for i := range t.positions {
		t.positions[i] = notInHeap
	}
	return t
}

// Len returns the number of available endpoints.
func (t *Table) Len() int {
	return len(t.heap)
}

// Has reports whether the endpoint is available.
func (t *Table) Has(endpoint int32) bool {
	return t.positions[endpoint] != notInHeap
}

// Load returns the load that was last set for the endpoint.
func (t *Table) Load(endpoint int32) float64 {
	return t.loads[endpoint]
}

// At returns the endpoint at a position of the heap. The endpoint at position 0
// has the lowest load; the rest are only partially ordered.
func (t *Table) At(position int) int32 {
	return t.heap[position]
}

// Set makes the endpoint available and sets its load.
func (t *Table) Set(endpoint int32, load float64) {
	t.loads[endpoint] = load
	if t.positions[endpoint] == notInHeap {
		t.positions[endpoint] = int32(len(t.heap))
		t.heap = append(t.heap, endpoint)
	}
	t.fix(int(t.positions[endpoint]))
}

// Remove makes the endpoint unavailable.
func (t *Table) Remove(endpoint int32) {
	position := t.positions[endpoint]
	if position == notInHeap {
		return
	}
	last := len(t.heap) - 1
	t.swap(int(position), last)
	t.heap = t.heap[:last]
	t.positions[endpoint] = notInHeap
	if int(position) < last {
		t.fix(int(position))
	}
}

// fix restores the heap order after the load at position changed.
func (t *Table) fix(position int) {
	if !t.siftDown(position) {
		t.siftUp(position)
	}
}

func (t *Table) siftUp(position int) {
	for position > 0 {
		parent := (position - 1) / 2
		if !t.less(position, parent) {
			return
		}
		t.swap(position, parent)
		position = parent
	}
}

// siftDown reports whether the endpoint at position moved.
func (t *Table) siftDown(position int) bool {
	start := position
	for {
		child := 2*position + 1
		if child >= len(t.heap) {
			break
		}
		if child+1 < len(t.heap) && t.less(child+1, child) {
			child++
		}
		if !t.less(child, position) {
			break
		}
		t.swap(position, child)
		position = child
	}
	return position > start
}

func (t *Table) less(i, j int) bool {
	return t.loads[t.heap[i]] < t.loads[t.heap[j]]
}

func (t *Table) swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.positions[t.heap[i]] = int32(i)
	t.positions[t.heap[j]] = int32(j)
}
