package router

// absent is the rank of an endpoint that is outside the heap.
const absent = -1

// Table holds the load of the endpoints that may be picked, as a heap with
// the least load first. Endpoints are numbered from 0.
type Table struct {
	load []float64
	rank []int32
	heap []int32
}

// NewTable gives a table of n endpoints, none of which may be picked yet.
func NewTable(n int) *Table {
	t := &Table{load: make([]float64, n), rank: make([]int32, n), heap: make([]int32, 0, n)}
	for i := range t.rank {
		t.rank[i] = absent
	}
	return t
}

// Len gives the number of endpoints that may be picked.
func (t *Table) Len() int {
	return len(t.heap)
}

// Has tells whether the endpoint may be picked.
func (t *Table) Has(endpoint int32) bool {
	return t.rank[endpoint] != absent
}

// Load gives the endpoint's load, as it was set.
func (t *Table) Load(endpoint int32) float64 {
	return t.load[endpoint]
}

// At gives the endpoint at a place of the heap; place 0 has the least load.
func (t *Table) At(place int) int32 {
	return t.heap[place]
}

// Set lets the endpoint be picked and sets its load.
func (t *Table) Set(endpoint int32, load float64) {
	t.load[endpoint] = load
	if t.rank[endpoint] == absent {
		t.rank[endpoint] = int32(len(t.heap))
		t.heap = append(t.heap, endpoint)
	}
	t.fix(int(t.rank[endpoint]))
}

// Remove keeps the endpoint from being picked.
func (t *Table) Remove(endpoint int32) {
	place := t.rank[endpoint]
	if place == absent {
		return
	}
	last := len(t.heap) - 1
	t.swap(int(place), last)
	t.heap = t.heap[:last]
	t.rank[endpoint] = absent
	if int(place) < last {
		t.fix(int(place))
	}
}

func (t *Table) fix(place int) {
	if !t.sink(place) {
		t.lift(place)
	}
}

func (t *Table) lift(place int) {
	for place > 0 {
		parent := (place - 1) / 2
		if !t.less(place, parent) {
			return
		}
		t.swap(place, parent)
		place = parent
	}
}

func (t *Table) sink(place int) bool {
	start := place
	for {
		child := 2*place + 1
		if child >= len(t.heap) {
			break
		}
		if child+1 < len(t.heap) && t.less(child+1, child) {
			child++
		}
		if !t.less(child, place) {
			break
		}
		t.swap(place, child)
		place = child
	}
	return place > start
}

func (t *Table) less(i, j int) bool {
	return t.load[t.heap[i]] < t.load[t.heap[j]]
}

func (t *Table) swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.rank[t.heap[i]] = int32(i)
	t.rank[t.heap[j]] = int32(j)
}
